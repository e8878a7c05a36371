package queries

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// BackendsList lists the backend servers that the answering host knows.
func BackendsList(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the backend servers that the answering host knows",
		Args:  cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			status, err := cli.Fetch(env, func(c *api.Client) (api.StatusResponse, error) { return c.Status(false) })
			if err != nil {
				return err
			}
			return env.Print(cli.List(status.Backends), cli.BackendsTable(status.Backends))
		},
	}
}
