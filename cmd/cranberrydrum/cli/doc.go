// Package cli holds what the commands and queries of the command line share:
// global flags, the client, output as table or JSON, errors and exit statuses.
package cli

// Exit statuses of the command line.
const (
	// ExitDone means that the command did what it says.
	ExitDone = 0
	// ExitRefused means that it was refused or failed without effect; the
	// code of the refusal is printed.
	ExitRefused = 1
	// ExitUsage means that the arguments or settings are wrong.
	ExitUsage = 2
	// ExitUnknown means that the command was sent and may have had its effect.
	ExitUnknown = 3
)

// Environment variables of the command line.
const (
	EnvServer = "CRANBERRYDRUM_SERVER"
	EnvToken  = "CRANBERRYDRUM_TOKEN"
	EnvAuthor = "CRANBERRYDRUM_AUTHOR"
)
