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

// field is a key=value field whose value was checked.
type field struct {
	key   string
	kind  kind
	val   value
	start int // column of the key
}

// statement is one rule line. Its names and fields are in the order of the
// specification, and only well-formed ones are present.
type statement struct {
	spec   *ruleSpec
	line   int
	column int
	names  []token
	fields []field
	who    string
	why    string
	// broken marks a rule with a malformed or missing part other than its comment.
	broken bool
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

// share returns a percentage as a number from 0 to 1.
func (s *statement) share(key string) float64 {
	return float64(s.num(key)) / hundredPercent
}

func (s *statement) text(key string) string {
	f, _ := s.lookup(key)
	return f.val.text
}

// columnOf returns the column of a field, or of the keyword if it is absent.
func (s *statement) columnOf(key string) int {
	if f, ok := s.lookup(key); ok {
		return f.start
	}
	return s.column
}

func (s *statement) comment() string { return s.who + ": " + s.why }

func (s *statement) source() structs.Source {
	return structs.Source{Comment: s.comment(), Line: s.line}
}

// identity tells rules apart: two rules with the same identity are duplicates.
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

// sortedNames returns the names; the two ends of a link have no order.
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

// rule returns the canonical form of the rule without its comment.
func (s *statement) rule() string {
	parts := []string{s.spec.keyword}
	for _, n := range s.names {
		parts = append(parts, n.text)
	}
	for _, f := range s.fields {
		parts = append(parts, f.key+"="+f.render())
	}
	return strings.Join(parts, " ")
}

// canonical returns the whole line in canonical form.
func (s *statement) canonical() string { return s.rule() + " # " + s.comment() }

func (f field) render() string {
	switch f.kind {
	case kindCount, kindDuration, kindRate, kindPercent:
		return f.kind.formatNumber(f.val.num)
	}
	return f.val.text
}
