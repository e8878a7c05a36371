package queries

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// MembersList returns the command that lists the members of the replicated logs.
func MembersList(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the members of the replicated logs",
		Args:  cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			members, err := cli.Fetch(env, (*api.Client).Members)
			if err != nil {
				return err
			}
			return env.Print(members, cli.MembersTable(members.Groups))
		},
	}
}
