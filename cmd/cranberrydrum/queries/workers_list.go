package queries

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// WorkersList returns the command that lists workers.
func WorkersList(env *cli.Env) *cobra.Command {
	var quarantined bool
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List workers",
		Args:  cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			status, err := cli.Fetch(env, func(c *api.Client) (api.StatusResponse, error) { return c.Status(!quarantined) })
			if err != nil {
				return err
			}
			workers := status.Workers
			if quarantined {
				workers = status.Quarantined
			}
			return env.Print(cli.NonNil(workers), cli.WorkersTable(workers))
		},
	}
	cmd.Flags().BoolVar(&quarantined, "quarantined", false, "only quarantined workers")
	return cmd
}
