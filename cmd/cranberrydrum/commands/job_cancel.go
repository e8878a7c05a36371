package commands

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"github.com/spf13/cobra"
)

// JobCancel returns the command that cancels a job.
func JobCancel(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a job; cancelling it again is safe",
		Args:  cli.Args("ID"),
		RunE: func(_ *cobra.Command, args []string) error {
			client, err := env.Client()
			if err != nil {
				return err
			}
			job, err := client.CancelJob(args[0])
			if err != nil {
				return err
			}
			return env.PrintText(job, "job "+job.ID+" is "+string(job.Status)+"\n")
		},
	}
}
