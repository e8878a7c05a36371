package queries

import (
	"fmt"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// JobShow returns the command that shows one job and the workers of its current
// run.
func JobShow(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "show ID",
		Short: "Show a job and the workers of its current run",
		Args:  cli.Args("ID"),
		RunE: func(_ *cobra.Command, args []string) error {
			job, err := cli.Fetch(env, func(c *api.Client) (api.Job, error) { return c.Job(args[0]) })
			if err != nil {
				return err
			}
			return env.Print(job, jobTable(job))
		},
	}
}

func jobTable(j api.Job) cli.Table {
	t := cli.Table{
		Header: []string{"FIELD", "VALUE"},
		Rows: [][]string{
			{"id", j.ID},
			{"name", j.Name},
			{"customer", j.Customer},
			{"failure domain", j.FailureDomain},
			{"priority", j.Priority},
			{"accelerators", cli.Number(j.Accelerators)},
			{"declared run time", cli.Duration(j.DeclaredRuntimeMS)},
			{"status", string(j.Status)},
			{"reason", j.Reason},
			{"run", cli.Number(j.Run)},
			{"failed attempts", cli.Number(j.Attempts)},
		},
	}
	for _, m := range j.Members {
		t.Rows = append(t.Rows, []string{"worker " + m.Worker, "accelerators " + fmt.Sprint(m.Accelerators)})
	}
	return t
}
