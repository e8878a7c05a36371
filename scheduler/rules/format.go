package rules

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Format returns the canonical form of a rules file: single spaces, fields in
// a fixed order, and each value in the largest unit that needs no fraction. It
// keeps comments, blank lines and the order of lines, so that line numbers stay
// the same; only blank lines at the end are dropped. A line with an error is
// kept without its surrounding blanks. A text that is too large is returned
// unchanged.
func Format(text []byte) []byte {
	if tooLarge(text) {
		return text
	}
	lines := splitLines(text)
	for i, line := range lines {
		lines[i] = formatLine(line)
	}
	for len(lines) > 0 && lines[len(lines)-1] == "" {
		lines = lines[:len(lines)-1]
	}
	if len(lines) == 0 {
		return nil
	}
	return []byte(strings.Join(lines, "\n") + "\n")
}

// tooLarge reports whether a text exceeds MaxTextBytes or MaxLines.
func tooLarge(text []byte) bool {
	return len(text) > MaxTextBytes || bytes.Count(text, []byte("\n")) > MaxLines
}

func formatLine(line string) string {
	s, errs := parseLine("", 0, line)
	if s == nil || len(errs) > 0 {
		return strings.TrimLeft(line, blanks)
	}
	return s.canonicalLine()
}

// Digest returns the SHA-256 digest of the canonical form in lower-case
// hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(Format(text))
	return hex.EncodeToString(sum[:])
}
