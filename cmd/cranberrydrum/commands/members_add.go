package commands

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// MembersAdd returns the command that adds a host to a replicated log.
func MembersAdd(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "add GROUP HOST",
		Short: "Add a host to a replicated log, as a learner first and then as a voter",
		Args:  cli.Args("GROUP", "HOST"),
		RunE: func(_ *cobra.Command, args []string) error {
			return changeMembers(env, (*api.Client).AddMember, api.MemberRequest{Group: args[0], Host: args[1]})
		},
	}
}

func changeMembers(env *cli.Env, change func(*api.Client, api.MemberRequest) (api.GroupStatus, error), r api.MemberRequest) error {
	client, err := env.Client()
	if err != nil {
		return err
	}
	group, err := change(client, r)
	if err != nil {
		return err
	}
	return env.Print(group, cli.MembersTable([]api.GroupStatus{group}))
}
