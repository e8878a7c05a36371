package structs

import "unicode/utf8"

// Truncate cuts a text to at most the given number of bytes, at the end of a character.
func Truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	for maxBytes > 0 && !utf8.RuneStart(text[maxBytes]) {
		maxBytes--
	}
	return text[:maxBytes]
}
