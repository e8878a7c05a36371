package queries

import (
	"io"
	"strconv"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// RulesShow returns the command that prints the rules in force.
func RulesShow(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the rules in force; their version is written to standard error",
		Args:  cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			current, err := cli.Fetch(env, (*api.Client).Rules)
			if err != nil {
				return err
			}
			if !env.JSON() {
				_, _ = io.WriteString(env.Stderr, "version "+strconv.FormatUint(current.Version, 10)+", digest "+current.Digest+"\n")
			}
			return env.PrintText(current, current.Text)
		},
	}
}
