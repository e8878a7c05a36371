package settings

import "strconv"

// Error reports a refused setting. Its message is one line.
type Error struct {
	// Flag is the flag name without leading dashes, or empty for a positional
	// argument.
	Flag string
	// FromEnv is true if the value comes from an environment variable.
	FromEnv bool
	// Value is the refused value. It is empty for secrets.
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

// HelpRequested is returned for --help. Usage is the text to print.
type HelpRequested struct{ Usage string }

// Error implements error.
func (e *HelpRequested) Error() string { return "help requested" }

// VersionRequested is returned for --version.
type VersionRequested struct{}

// Error implements error.
func (e *VersionRequested) Error() string { return "version requested" }
