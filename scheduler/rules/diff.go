package rules

import (
	"cmp"
	"slices"
	"strings"
)

// ChangeKind tells whether a rule was added, removed or changed.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two rules files. Old and New are in
// canonical form and do not include the comments.
type Change struct {
	Kind ChangeKind `json:"kind" msgpack:"kind"`
	// ID identifies the rule: the keyword, the names and the identity fields.
	ID         string `json:"id" msgpack:"id"`
	Old        string `json:"old,omitempty" msgpack:"old"`
	New        string `json:"new,omitempty" msgpack:"new"`
	OldComment string `json:"old_comment,omitempty" msgpack:"old_comment"`
	NewComment string `json:"new_comment,omitempty" msgpack:"new_comment"`
	OldLine    int    `json:"old_line,omitempty" msgpack:"old_line"`
	NewLine    int    `json:"new_line,omitempty" msgpack:"new_line"`
}

// entry is one rule, or one line with errors, prepared for comparison.
type entry struct {
	id      string
	order   int
	rule    string
	comment string
	line    int
}

// Diff compares two rules files rule by rule. Rules of the two files correspond
// if they have the same keyword, names and identity fields. Order, spacing and
// full-line comments are ignored. Lines with errors are compared by their text.
// The result is sorted by keyword and names.
func Diff(before, after []byte) []Change {
	old := entries(before)
	latest := entries(after)
	var changes []Change
	i, j := 0, 0
	for i < len(old) || j < len(latest) {
		switch order := compareNext(old[i:], latest[j:]); {
		case order < 0:
			o := old[i]
			changes = append(changes, Change{Kind: Removed, ID: o.id, Old: o.rule, OldComment: o.comment, OldLine: o.line})
			i++
		case order > 0:
			n := latest[j]
			changes = append(changes, Change{Kind: Added, ID: n.id, New: n.rule, NewComment: n.comment, NewLine: n.line})
			j++
		default:
			changes = appendChanged(changes, old[i], latest[j])
			i++
			j++
		}
	}
	return changes
}

// compareNext compares the first entries of two lists. An empty list sorts last.
func compareNext(a, b []entry) int {
	if len(a) == 0 {
		return 1
	}
	if len(b) == 0 {
		return -1
	}
	return compareIdentity(a[0], b[0])
}

func compareIdentity(a, b entry) int {
	return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.id, b.id))
}

// appendChanged appends a change if two corresponding rules differ.
func appendChanged(changes []Change, o, n entry) []Change {
	if o.rule == n.rule && o.comment == n.comment {
		return changes
	}
	return append(changes, Change{
		Kind: Changed, ID: n.id,
		Old: o.rule, New: n.rule,
		OldComment: o.comment, NewComment: n.comment,
		OldLine: o.line, NewLine: n.line,
	})
}

// entries returns the rules of a text, sorted by keyword, identity and line.
func entries(text []byte) []entry {
	var list []entry
	for i, line := range splitLines(text) {
		if e, ok := parseEntry(i+1, line); ok {
			list = append(list, e)
		}
	}
	slices.SortStableFunc(list, compareIdentity)
	return list
}

// parseEntry returns the entry of one line, or false for a blank line or a
// full-line comment. Lines with errors sort after all rules.
func parseEntry(number int, line string) (entry, bool) {
	s, errs := parseLine("", number, line)
	if len(errs) > 0 {
		raw := strings.TrimLeft(line, blanks)
		return entry{id: raw, order: len(specs), rule: raw, line: number}, true
	}
	if s == nil {
		return entry{}, false
	}
	return entry{
		id:      s.identity(),
		order:   slices.Index(specs, s.spec),
		rule:    s.canonicalRule(),
		comment: s.comment(),
		line:    number,
	}, true
}
