package cli

import (
	"strconv"
	"strings"

	"github.com/spf13/cobra"
)

// Args returns a validator that requires exactly one argument for each name. A
// last name that ends in "..." accepts one or more arguments.
func Args(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		variadic := len(names) > 0 && strings.HasSuffix(names[len(names)-1], "...")
		if len(args) == len(names) || (variadic && len(args) > len(names)) {
			return nil
		}
		return &UsageError{Reason: cmd.CommandPath() + " takes " + describeArgs(names) + ", not " + strconv.Itoa(len(args)) + " arguments"}
	}
}

func describeArgs(names []string) string {
	if len(names) == 0 {
		return "no arguments"
	}
	return strings.Join(names, " and ")
}

// Group returns a command that contains subcommands and does nothing itself.
func Group(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	group := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			return &UsageError{Reason: subcommandReason(cmd, args)}
		},
	}
	group.AddCommand(subcommands...)
	return group
}

func subcommandReason(cmd *cobra.Command, args []string) string {
	if len(args) == 0 {
		return cmd.CommandPath() + " needs a subcommand: " + strings.Join(subcommandNames(cmd), ", ")
	}
	reason := cmd.CommandPath() + " has no subcommand " + strconv.Quote(args[0])
	if suggestions := cmd.SuggestionsFor(args[0]); len(suggestions) > 0 {
		return reason + "; did you mean " + strings.Join(suggestions, " or ") + "?"
	}
	return reason + "; there are: " + strings.Join(subcommandNames(cmd), ", ")
}

func subcommandNames(cmd *cobra.Command) []string {
	var names []string
	for _, sub := range cmd.Commands() {
		names = append(names, sub.Name())
	}
	return names
}
