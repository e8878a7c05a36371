package rules

import (
	"slices"
	"strconv"
	"strings"
)

func quote(s string) string { return strconv.Quote(s) }

// didYouMean returns a hint with the suggestion, or the fallback if the
// suggestion is empty.
func didYouMean(suggestion, fallback string) string {
	if suggestion == "" {
		return fallback
	}
	return "did you mean " + quote(suggestion) + "?"
}

// validText reports whether s is well formed for a kind that is not a number.
func validText(k kind, s string, allowed []string) bool {
	switch k {
	case kindDigest:
		return validDigest(s)
	case kindAddress:
		return validAddress(s)
	case kindWord:
		return slices.Contains(allowed, s)
	}
	return validName(s)
}

// textHint says how to correct the invalid text s.
func textHint(k kind, s string, allowed []string) string {
	if k == kindWord {
		return didYouMean(closestMatch(s, allowed), "allowed are "+strings.Join(allowed, ", "))
	}
	return k.formatHint()
}

// hint describes the form of the field's value.
func (f *fieldSpec) hint() string {
	if f.kind == kindWord {
		return "allowed are " + strings.Join(f.allowed, ", ")
	}
	if f.kind == kindName {
		return "write " + f.key + "=<name>"
	}
	return f.kind.formatHint()
}

func (f *fieldSpec) rangeHint() string {
	return "allowed is " + f.kind.formatNumber(f.min) + " to " + f.kind.formatNumber(f.max)
}
