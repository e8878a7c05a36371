// Package cli contains the parts shared by all subcommands: global flags, the API
// client, table and JSON output, errors and exit statuses.
package cli

// Exit statuses of the command line.
const (
	// ExitSuccess means that the command succeeded.
	ExitSuccess = 0
	// ExitRefused means that the command was refused, or failed with a known
	// outcome. The code of the refusal or of the error is printed.
	ExitRefused = 1
	// ExitUsage means that the arguments or settings are wrong.
	ExitUsage = 2
	// ExitUnknown means that the command was sent and may or may not have taken
	// effect.
	ExitUnknown = 3
)

// Environment variables of the command line.
const (
	EnvServer = "CRANBERRYDRUM_SERVER"
	EnvToken  = "CRANBERRYDRUM_TOKEN"
	EnvAuthor = "CRANBERRYDRUM_AUTHOR"
)
