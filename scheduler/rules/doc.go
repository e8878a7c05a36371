// Package rules reads the rules file: the plain text in which operators
// describe regions, failure domains, customers, guarantees, quotas, services
// and access. It parses, checks, formats, compares and digests that text.
//
// A rule is one line: a keyword, names, key=value fields and a comment that
// states who asked for the rule and why:
//
//	customer melonbank weight=3 # Ines Prado: largest contract, signed for two years
//
// The package is pure: the same text gives the same result on every host.
package rules

// Limits of a rules file. They bound the size of a replicated configuration
// and the time that one check takes.
const (
	// MaxTextBytes leaves room for the other fields of a command in one
	// message of 1 MiB, and holds about 5,000 rules of ordinary length.
	MaxTextBytes = 512 << 10
	// MaxLines bounds the time that a file with only faulty lines takes: one of
	// 512 KiB with 262,144 lines took 0.66 s, which is close to an election timeout.
	MaxLines = 10_000
	// MaxLineBytes bounds one line.
	MaxLineBytes = 1000
	// maxSuggestions bounds the searches for near misses in one run, because
	// each compares an unknown name with all known ones.
	maxSuggestions = 10
)
