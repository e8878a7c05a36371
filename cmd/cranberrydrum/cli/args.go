package cli

import (
	"strconv"
	"strings"

	"github.com/spf13/cobra"
)

// Args requires exactly one argument for each name. A last name that ends
// with "..." stands for one or more.
func Args(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		repeated := len(names) > 0 && strings.HasSuffix(names[len(names)-1], "...")
		if len(args) == len(names) || (repeated && len(args) > len(names)) {
			return nil
		}
		return &UsageError{Reason: cmd.CommandPath() + " takes " + expected(names) + ", not " + strconv.Itoa(len(args)) + " arguments"}
	}
}

func expected(names []string) string {
	if len(names) == 0 {
		return "no arguments"
	}
	return strings.Join(names, " and ")
}

// Group returns a command that only holds subcommands.
func Group(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	group := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			return &UsageError{Reason: missingSubcommand(cmd, args)}
		},
	}
	group.AddCommand(subcommands...)
	return group
}

func missingSubcommand(cmd *cobra.Command, args []string) string {
	if len(args) == 0 {
		return cmd.CommandPath() + " needs a subcommand: " + strings.Join(subcommandNames(cmd), ", ")
	}
	reason := cmd.CommandPath() + " has no subcommand " + strconv.Quote(args[0])
	if near := cmd.SuggestionsFor(args[0]); len(near) > 0 {
		return reason + "; did you mean " + strings.Join(near, " or ") + "?"
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
