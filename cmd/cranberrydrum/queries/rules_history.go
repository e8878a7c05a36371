package queries

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// RulesHistory returns the command that lists the accepted versions of the rules.
func RulesHistory(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the accepted versions of the rules, oldest first",
		Args:  cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			history, err := cli.Fetch(env, (*api.Client).RulesHistory)
			if err != nil {
				return err
			}
			t := cli.Table{Header: []string{"VERSION", "AUTHOR", "ADDED", "REMOVED", "CHANGED", "COMMENTS", "REQUEST", "DIGEST"}}
			for _, e := range history.Entries {
				t.Rows = append(t.Rows, []string{
					cli.Number(e.Version), e.Author, cli.Number(e.Added), cli.Number(e.Removed),
					cli.Number(e.Changed), cli.Number(e.Comments), e.RequestID, e.Digest,
				})
			}
			return env.Print(history, t)
		},
	}
}
