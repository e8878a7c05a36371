package commands

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/demo"
	"github.com/spf13/cobra"
)

// Demo returns the command that runs a deployment with stand-ins in this process.
func Demo(env *cli.Env) *cobra.Command {
	var deployment string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment in one process and check its promises",
		Long: "Run six hosts with stand-in executors and workers on loopback addresses, partition a\n" +
			"failure domain from the others and reconnect it. The demo ends by itself in less than\n" +
			"30 s. The exit status is 0 only if every promise that was checked held.",
		Args: cli.Args(),
		RunE: func(*cobra.Command, []string) error { return demo.Run(deployment, env.Stdout) },
	}
	cmd.Flags().StringVar(&deployment, "deployment", "korbfrisch", "example deployment: korbfrisch or remada")
	return cmd
}
