package queries

import (
	"io"
	"strconv"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"github.com/spf13/cobra"
)

// RulesShow prints the rules in force.
func RulesShow(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the rules in force; their version goes to the error stream",
		Args:  cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			client, err := env.Client()
			if err != nil {
				return err
			}
			current, err := client.Rules()
			if err != nil {
				return cli.Query(err)
			}
			if !env.JSON() {
				_, _ = io.WriteString(env.Stderr, "version "+strconv.FormatUint(current.Version, 10)+", digest "+current.Digest+"\n")
			}
			return env.PrintText(current, current.Text)
		},
	}
}
