package commands

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// BackendDrain returns the command that drains a backend server: it gets no new
// requests.
func BackendDrain(env *cli.Env) *cobra.Command {
	var service string
	cmd := &cobra.Command{
		Use:   "drain ID --service SERVICE",
		Short: "Send no new work to a backend server; draining it again is safe",
		Args:  cli.Args("ID"),
		RunE: func(_ *cobra.Command, args []string) error {
			if service == "" {
				return &cli.UsageError{Reason: "--service is required"}
			}
			client, err := env.Client()
			if err != nil {
				return err
			}
			if err := client.DrainBackend(api.BackendRequest{ID: args[0], Service: service}); err != nil {
				return err
			}
			return env.PrintText(api.EmptyResponse{Done: true}, "backend server "+args[0]+" is draining\n")
		},
	}
	cmd.Flags().StringVar(&service, "service", "", "service of the backend server")
	return cmd
}
