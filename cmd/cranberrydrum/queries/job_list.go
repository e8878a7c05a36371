package queries

import (
	"io"
	"strings"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/structs"
	"github.com/spf13/cobra"
)

// JobList returns the command that lists jobs.
func JobList(env *cli.Env) *cobra.Command {
	var customer, status string
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List jobs",
		Args:  cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			list, err := cli.Fetch(env, func(c *api.Client) (api.JobListResponse, error) { return c.Jobs(customer, structs.JobStatus(status)) })
			if err != nil {
				return err
			}
			if len(list.Unreachable) > 0 {
				_, _ = io.WriteString(env.Stderr, "warning: jobs of these failure domains are missing: "+strings.Join(list.Unreachable, ", ")+"\n")
			}
			return env.Print(list, cli.JobsTable(list.Jobs))
		},
	}
	cmd.Flags().StringVar(&customer, "customer", "", "only jobs of this customer")
	cmd.Flags().StringVar(&status, "status", "", "only jobs in this state")
	return cmd
}
