package queries

import (
	"strings"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/rules"
	"github.com/spf13/cobra"
)

// RulesDiff returns the command that compares two rules files, or the rules in
// force with a file.
func RulesDiff(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "diff [OLD] NEW",
		Short: "Compare two rules files, or the rules in force with a file",
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				return nil
			}
			return cli.Args("OLD", "NEW")(cmd, args)
		},
		RunE: func(_ *cobra.Command, args []string) error {
			old, err := oldRules(env, args)
			if err != nil {
				return err
			}
			text, err := env.ReadFile(args[len(args)-1])
			if err != nil {
				return err
			}
			changes := rules.Diff(old, text)
			return env.PrintText(cli.NonNil(changes), diffText(changes))
		},
	}
}

func oldRules(env *cli.Env, args []string) ([]byte, error) {
	if len(args) > 1 {
		return env.ReadFile(args[0])
	}
	current, err := cli.Fetch(env, (*api.Client).Rules)
	return []byte(current.Text), err
}

// diffText formats removed rules with a leading "-" and added rules with a leading
// "+". A changed rule has one line of each.
func diffText(changes []rules.Change) string {
	var b strings.Builder
	for _, c := range changes {
		if c.Kind != rules.Added {
			b.WriteString("- " + formatRule(c.Old, c.OldComment))
		}
		if c.Kind != rules.Removed {
			b.WriteString("+ " + formatRule(c.New, c.NewComment))
		}
	}
	return b.String()
}

func formatRule(rule, comment string) string {
	if comment == "" {
		return rule + "\n"
	}
	return rule + " # " + comment + "\n"
}
