package commands

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// MembersRemove returns the command that removes a host from a replicated log.
func MembersRemove(env *cli.Env) *cobra.Command {
	var allowFewerLosses bool
	c := &cobra.Command{
		Use:   "remove GROUP HOST",
		Short: "Remove a host from a replicated log",
		Args:  cli.Args("GROUP", "HOST"),
		RunE: func(_ *cobra.Command, args []string) error {
			r := api.MemberRequest{Group: args[0], Host: args[1], AllowFewerLosses: allowFewerLosses}
			return changeMembers(env, (*api.Client).RemoveMember, r)
		},
	}
	c.Flags().BoolVar(&allowFewerLosses, "allow-fewer-losses", false, "remove the host although the log then tolerates fewer losses")
	return c
}
