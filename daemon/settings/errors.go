package settings

import "strconv"

// Error reports a refused setting. The text is one line.
type Error struct {
	// Flag is the name without dashes, or empty for a stray argument.
	Flag string
	// FromEnv is set if the value came from the environment.
	FromEnv bool
	// Value is empty for secrets.
	Value   string
	Reason  string
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	name := "--" + e.Flag
	if e.FromEnv {
		name = EnvName(e.Flag)
	}
	if e.Flag == "" {
		name = "argument"
	}
	text := name
	if e.Value != "" {
		text += " " + strconv.Quote(e.Value)
	}
	text += ": " + e.Reason
	if e.Allowed != "" {
		text += "; allowed: " + e.Allowed
	}
	return text
}

// HelpRequested is returned for --help and carries the text to print.
type HelpRequested struct{ Usage string }

// Error implements error.
func (e *HelpRequested) Error() string { return "help requested" }

// VersionRequested is returned for --version.
type VersionRequested struct{}

// Error implements error.
func (e *VersionRequested) Error() string { return "version requested" }
