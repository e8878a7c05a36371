package queries

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// BackendsList returns the command that lists the backend servers known to the
// responding host.
func BackendsList(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the backend servers known to the responding host",
		Args:  cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			status, err := cli.Fetch(env, func(c *api.Client) (api.StatusResponse, error) { return c.Status(false) })
			if err != nil {
				return err
			}
			return env.Print(cli.NonNil(status.Backends), cli.BackendsTable(status.Backends))
		},
	}
}
