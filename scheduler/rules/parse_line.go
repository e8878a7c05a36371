package rules

import (
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

const blanks = " \t"

// lineParser parses one line and collects its errors.
type lineParser struct {
	file string
	line int
	errs []*Error
}

func (p *lineParser) addError(column int, code Code, message, hint string) {
	p.errs = append(p.errs, &Error{Code: code, File: p.file, Line: p.line, Column: column, Message: message, Hint: hint})
}

// splitLines returns the lines of a text without line endings and trailing
// blanks.
func splitLines(text []byte) []string {
	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		lines[i] = strings.TrimRight(line, blanks+"\r")
	}
	return lines
}

// parseLine parses one line. The statement is nil for blank lines, full-line
// comments, overlong lines, lines with invalid characters and lines whose keyword
// is unknown and resembles no known keyword.
func parseLine(file string, number int, line string) (*statement, []*Error) {
	p := &lineParser{file: file, line: number}
	if !p.checkCharacters(line) {
		return nil, p.errs
	}
	body, comment, hasComment := strings.Cut(line, "#")
	tokens := splitTokens(body)
	if len(tokens) == 0 {
		return nil, p.errs
	}
	s := p.parseRule(tokens)
	if s == nil {
		return nil, p.errs
	}
	p.parseComment(s, comment, hasComment, len(body)+1)
	if len(p.errs) == 0 && len(s.canonicalLine()) > MaxLineBytes {
		p.addLineTooLong()
	}
	return s, p.errs
}

func (p *lineParser) addLineTooLong() {
	p.addError(1, CodeLineTooLong, "line is longer than "+strconv.Itoa(MaxLineBytes)+" bytes in canonical form", "shorten the comment")
}

// checkCharacters rejects overlong lines, and characters that editors do not
// show as they are stored: invalid UTF-8, control and invisible characters.
func (p *lineParser) checkCharacters(line string) bool {
	if len(strings.TrimLeft(line, blanks)) > MaxLineBytes {
		p.addLineTooLong()
		return false
	}
	for i, r := range line {
		if r == utf8.RuneError {
			p.addError(i+1, CodeBadCharacter, "invalid UTF-8", "save the file as UTF-8")
			return false
		}
		if r != '\t' && unicode.In(r, unicode.Cc, unicode.Cf, unicode.Zl, unicode.Zp) {
			p.addError(i+1, CodeBadCharacter, "control or invisible character "+strconv.QuoteRuneToASCII(r), "remove the character")
			return false
		}
	}
	return true
}

// splitTokens splits text at blanks.
func splitTokens(body string) []token {
	var tokens []token
	start := -1
	for i := 0; i <= len(body); i++ {
		blank := i == len(body) || strings.IndexByte(blanks, body[i]) >= 0
		if !blank && start < 0 {
			start = i
		}
		if blank && start >= 0 {
			tokens = append(tokens, token{text: body[start:i], column: start + 1})
			start = -1
		}
	}
	return tokens
}

// parseRule parses the tokens of a rule. A misspelled keyword is reported and
// replaced by the closest known one, so that the rest of the line is checked too.
func (p *lineParser) parseRule(tokens []token) *statement {
	keyword := tokens[0]
	spec := findSpec(keyword.text)
	malformed := spec == nil
	if spec == nil {
		suggestion := closestMatch(keyword.text, keywords())
		p.addError(keyword.column, CodeUnknownKeyword, "unknown keyword "+quote(keyword.text), didYouMean(suggestion, "keywords are "+strings.Join(keywords(), ", ")))
		spec = findSpec(suggestion)
	}
	if spec == nil {
		return nil
	}
	s := &statement{spec: spec, line: p.line, column: keyword.column, malformed: malformed}
	before := len(p.errs)
	p.parseArguments(s, tokens[1:])
	p.checkNames(s)
	s.dropBadNames()
	slices.SortStableFunc(s.fields, func(a, b field) int {
		return slices.Index(spec.fieldKeys(), a.key) - slices.Index(spec.fieldKeys(), b.key)
	})
	s.malformed = s.malformed || len(p.errs) > before
	return s
}

// parseArguments parses the names and the key=value fields after the keyword.
// Names must come before fields.
func (p *lineParser) parseArguments(s *statement, tokens []token) {
	seen := map[string]bool{}
	for _, t := range tokens {
		key, raw, isField := strings.Cut(t.text, "=")
		switch {
		case isField && seen[key]:
			p.addError(t.column, CodeRepeatedField, "field "+quote(key)+" is given twice", "keep one of them")
		case isField:
			seen[key] = true
			p.parseField(s, token{key, t.column}, raw)
		case len(seen) > 0 || len(s.names) == len(s.spec.names):
			p.addError(t.column, CodeUnexpectedArgument, "unexpected "+quote(t.text), "after its names, "+s.spec.keyword+" takes fields of the form key=value")
		default:
			s.names = append(s.names, t)
		}
	}
	p.checkMissing(s, seen)
}

func (p *lineParser) checkMissing(s *statement, seen map[string]bool) {
	for _, f := range s.spec.fields {
		if f.required && !seen[f.key] {
			p.addError(s.column, CodeMissingField, s.spec.keyword+" needs the field "+quote(f.key), f.hint())
		}
	}
}

func (p *lineParser) checkNames(s *statement) {
	for i, spec := range s.spec.names {
		if i >= len(s.names) {
			p.addError(s.column, CodeMissingName, s.spec.keyword+" needs the name of a "+spec.label, "")
			continue
		}
		name := s.names[i]
		if !validText(spec.kind, name.text, spec.allowed) {
			p.addError(name.column, CodeBadName, quote(name.text)+" is not a valid "+spec.label, textHint(spec.kind, name.text, spec.allowed))
		}
	}
}

// dropBadNames removes the first invalid name and all names after it, so that
// later checks use only valid names.
func (s *statement) dropBadNames() {
	for i, name := range s.names {
		spec := s.spec.names[i]
		if !validText(spec.kind, name.text, spec.allowed) {
			s.names = s.names[:i]
			return
		}
	}
}

func (p *lineParser) parseField(s *statement, key token, raw string) {
	spec := s.spec.field(key.text)
	if spec == nil {
		suggestion := closestMatch(key.text, s.spec.fieldKeys())
		p.addError(key.column, CodeUnknownField, s.spec.keyword+" has no field "+quote(key.text), didYouMean(suggestion, "its fields are "+strings.Join(s.spec.fieldKeys(), ", ")))
		return
	}
	column := key.column + len(key.text) + 1
	val, ok := p.parseValue(spec, raw, column)
	if !ok {
		return
	}
	s.fields = append(s.fields, field{key: spec.key, kind: spec.kind, val: val, keyColumn: key.column})
}

func (p *lineParser) parseValue(spec *fieldSpec, raw string, column int) (value, bool) {
	switch spec.kind {
	case kindName, kindDigest, kindWord, kindAddress:
		if !validText(spec.kind, raw, spec.allowed) {
			p.addError(column, CodeBadValue, quote(raw)+" is not a valid value of "+spec.key, textHint(spec.kind, raw, spec.allowed))
			return value{}, false
		}
		return value{text: raw}, true
	}
	n, ok := spec.kind.parseNumber(raw)
	if !ok {
		p.addError(column, CodeBadValue, quote(raw)+" is not a valid value of "+spec.key, spec.hint())
		return value{}, false
	}
	if n < spec.min || n > spec.max {
		p.addError(column, CodeValueOutOfRange, spec.key+"="+raw+" is out of range", spec.rangeHint())
		return value{}, false
	}
	return value{num: n}, true
}

// parseComment parses the comment of a rule, which has the form
// "requester: reason". Both parts must contain a letter.
func (p *lineParser) parseComment(s *statement, comment string, present bool, column int) {
	const form = "end the rule with a comment of the form # <who>: <why>"
	requester, reason, hasColon := strings.Cut(comment, ":")
	s.requester = singleSpaces(requester)
	s.reason = singleSpaces(reason)
	switch {
	case !present || strings.Trim(comment, blanks) == "":
		p.addError(column, CodeMissingComment, "rule has no comment", form)
	case !hasColon || !hasLetter(s.requester):
		p.addError(column, CodeMissingPerson, "comment does not name who asked for the rule", form)
	case !hasLetter(s.reason):
		p.addError(column, CodeMissingReason, "comment does not give a reason", form)
	}
}

// singleSpaces replaces each run of blanks by one space and removes leading and
// trailing blanks.
func singleSpaces(s string) string {
	words := strings.FieldsFunc(s, func(r rune) bool { return strings.ContainsRune(blanks, r) })
	return strings.Join(words, " ")
}

func hasLetter(s string) bool {
	return strings.IndexFunc(s, unicode.IsLetter) >= 0
}
