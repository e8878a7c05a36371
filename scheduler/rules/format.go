package rules

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Format returns the canonical form of a rules file: single spaces, fields in
// a fixed order, values in the largest exact unit. It keeps comments, blank
// lines and the order of lines, so that line numbers stay the same; only
// blank lines at the end are dropped. A line with an error is kept as it is,
// without surrounding blanks, and so is a text that is too large.
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

// tooLarge reports whether a text exceeds a limit as it is written.
func tooLarge(text []byte) bool {
	return len(text) > MaxTextBytes || bytes.Count(text, []byte("\n")) > MaxLines
}

func formatLine(line string) string {
	s, errs := parseLine("", 0, line)
	if s == nil || len(errs) > 0 {
		return strings.TrimLeft(line, blanks)
	}
	return s.canonical()
}

// Digest returns the SHA-256 digest of the canonical form in lower-case
// hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(Format(text))
	return hex.EncodeToString(sum[:])
}
