// Command cranberrydrum is the command-line client of a deployment: it applies
// rules, submits jobs, sends requests and shows the state.
package main

import (
	"os"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/node"
	"cranberrydrum.dev/scheduler/rules"
)

func main() {
	env := &cli.Env{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Getenv: os.Getenv,
		Checks: []rules.GuaranteeCheck{node.CheckGuarantees},
	}
	os.Exit(run(env, os.Args[1:]))
}
