package queries

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"github.com/spf13/cobra"
)

// MembersList lists the members of the replicated logs.
func MembersList(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the members of the replicated logs",
		Args:  cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			client, err := env.Client()
			if err != nil {
				return err
			}
			members, err := client.Members()
			if err != nil {
				return cli.Query(err)
			}
			return env.Print(members, cli.MembersTable(members.Groups))
		},
	}
}
