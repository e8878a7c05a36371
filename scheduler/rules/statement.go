package rules

import (
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// token is a word of a line and its 1-based column.
type token struct {
	text   string
	column int
}

// field is a key=value field with a well-formed value.
type field struct {
	key       string
	kind      kind
	val       value
	keyColumn int
}

// statement is one parsed rule. Its names and fields are in the order of spec.
// Malformed names and fields are omitted.
type statement struct {
	spec      *ruleSpec
	line      int
	column    int
	names     []token
	fields    []field
	requester string
	reason    string
	// malformed marks a rule with a malformed or missing part other than its
	// comment.
	malformed bool
}

func (s *statement) lookup(key string) (field, bool) {
	for _, f := range s.fields {
		if f.key == key {
			return f, true
		}
	}
	return field{}, false
}

func (s *statement) num(key string) int64 {
	f, _ := s.lookup(key)
	return f.val.num
}

func (s *statement) count(key string) int { return int(s.num(key)) }

func (s *statement) duration(key string) time.Duration {
	return time.Duration(s.num(key)) * time.Millisecond
}

// fraction returns a percentage as a number from 0 to 1.
func (s *statement) fraction(key string) float64 {
	return float64(s.num(key)) / hundredPercent
}

func (s *statement) text(key string) string {
	f, _ := s.lookup(key)
	return f.val.text
}

// columnOf returns the column of a field, or of the keyword if the field is
// absent.
func (s *statement) columnOf(key string) int {
	if f, ok := s.lookup(key); ok {
		return f.keyColumn
	}
	return s.column
}

func (s *statement) comment() string { return s.requester + ": " + s.reason }

func (s *statement) source() structs.Source {
	return structs.Source{Comment: s.comment(), Line: s.line}
}

// identity returns the keyword, names and identity fields of a rule. Two rules
// with the same identity are duplicates.
func (s *statement) identity() string {
	parts := []string{s.spec.keyword}
	parts = append(parts, s.sortedNames()...)
	for _, f := range s.fields {
		if s.spec.field(f.key).identity {
			parts = append(parts, f.key+"="+f.val.text)
		}
	}
	return strings.Join(parts, " ")
}

// sortedNames returns the names. The two regions of a link are sorted, because a
// link has no direction.
func (s *statement) sortedNames() []string {
	names := make([]string, 0, len(s.names))
	for _, n := range s.names {
		names = append(names, n.text)
	}
	if s.spec.keyword == kwLink && len(names) == 2 && names[0] > names[1] {
		names[0], names[1] = names[1], names[0]
	}
	return names
}

// canonicalRule returns the canonical form of the rule without its comment.
func (s *statement) canonicalRule() string {
	parts := []string{s.spec.keyword}
	for _, n := range s.names {
		parts = append(parts, n.text)
	}
	for _, f := range s.fields {
		parts = append(parts, f.key+"="+f.formatValue())
	}
	return strings.Join(parts, " ")
}

// canonicalLine returns the rule with its comment in canonical form.
func (s *statement) canonicalLine() string { return s.canonicalRule() + " # " + s.comment() }

// formatValue returns the value in canonical form.
func (f field) formatValue() string {
	switch f.kind {
	case kindCount, kindDuration, kindRate, kindPercent:
		return f.kind.formatNumber(f.val.num)
	}
	return f.val.text
}
