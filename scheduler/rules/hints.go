package rules

import (
	"slices"
	"strconv"
	"strings"
)

func quote(s string) string { return strconv.Quote(s) }

// didYouMean names the near miss, or gives the fallback if there is none.
func didYouMean(near, fallback string) string {
	if near == "" {
		return fallback
	}
	return "did you mean " + quote(near) + "?"
}

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

func textHint(k kind, s string, allowed []string) string {
	if k == kindWord {
		return didYouMean(nearest(s, allowed), "allowed are "+strings.Join(allowed, ", "))
	}
	return k.example()
}

func (f *fieldSpec) hint() string {
	if f.kind == kindWord {
		return "allowed are " + strings.Join(f.allowed, ", ")
	}
	if f.kind == kindName {
		return "write " + f.key + "=<name>"
	}
	return f.kind.example()
}

func (f *fieldSpec) rangeHint() string {
	return "allowed is " + f.kind.formatNumber(f.min) + " to " + f.kind.formatNumber(f.max)
}
