// Package rules parses, checks, formats, compares and digests the rules file:
// the plain text in which operators describe regions, failure domains,
// customers, guarantees, quotas, services and access.
//
// A rule is one line: a keyword, names, key=value fields and a comment that
// states who asked for the rule and why:
//
//	customer melonbank weight=3 # Ines Prado: largest contract, signed for two years
//
// All functions are deterministic: the same text gives the same result on
// every host. Replicas depend on this when they replay configuration commands.
package rules

// Limits of a rules file. They bound the size of a replicated configuration
// and the time of one check.
const (
	// MaxTextBytes bounds the text. A command with a text of this size fits in
	// one message of 1 MiB; the text can hold about 5,000 rules of typical length.
	MaxTextBytes = 512 << 10
	// MaxLines bounds the time to check a file in which every line has an error.
	// A file of 512 KiB with 262,144 such lines took 0.66 s, which is close to
	// an election timeout.
	MaxLines = 10_000
	// MaxLineBytes bounds one line, as written and in canonical form.
	MaxLineBytes = 1000
	// maxSuggestions bounds the searches for a similar name in one check,
	// because each search compares an unknown name with all declared names.
	maxSuggestions = 10
)
