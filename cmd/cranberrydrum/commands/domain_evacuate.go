package commands

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// DomainEvacuate returns the command that evacuates a failure domain.
func DomainEvacuate(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "evacuate FAILURE-DOMAIN",
		Short: "Start no job in a failure domain; running jobs go on, and repeating it is safe",
		Args:  cli.Args("FAILURE-DOMAIN"),
		RunE: func(_ *cobra.Command, args []string) error {
			return orderEvacuation(env, (*api.Client).Evacuate, args[0], " is evacuated\n")
		},
	}
}

// orderEvacuation sends an order about a failure domain and prints its result.
func orderEvacuation(env *cli.Env, order func(*api.Client, api.EvacuationRequest) (api.EvacuationStatus, error), domain, result string) error {
	client, err := env.Client()
	if err != nil {
		return err
	}
	status, err := order(client, api.EvacuationRequest{FailureDomain: domain})
	if err != nil {
		return err
	}
	return env.PrintText(status, "failure domain "+domain+result)
}
