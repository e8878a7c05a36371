package commands

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// DomainRestore returns the command that ends the evacuation of a failure domain.
func DomainRestore(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "restore FAILURE-DOMAIN",
		Short: "End the evacuation of a failure domain; repeating it is safe",
		Args:  cli.Args("FAILURE-DOMAIN"),
		RunE: func(_ *cobra.Command, args []string) error {
			return orderEvacuation(env, (*api.Client).RestoreDomain, args[0], " is in use\n")
		},
	}
}
