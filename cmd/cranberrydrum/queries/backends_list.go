package queries

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"github.com/spf13/cobra"
)

// BackendsList lists the backend servers that the answering host knows.
func BackendsList(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the backend servers that the answering host knows",
		Args:  cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			client, err := env.Client()
			if err != nil {
				return err
			}
			status, err := client.Status(false)
			if err != nil {
				return cli.Query(err)
			}
			return env.Print(cli.List(status.Backends), cli.BackendsTable(status.Backends))
		},
	}
}
