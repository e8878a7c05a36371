// Package commands contains the subcommands that change state or start something,
// one per file.
package commands

import (
	"crypto/rand"
	"strconv"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/rules"
	"github.com/spf13/cobra"
)

// RulesApply returns the command that replaces the rules of a base version.
func RulesApply(env *cli.Env) *cobra.Command {
	var base uint64
	var author, requestID string
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the rules in force",
		Long: "Replace the rules in force.\n\n" +
			"--base-version is the version that the file was edited from; \"rules show\" prints\n" +
			"it. The change is refused if another one has been accepted since. Running the command\n" +
			"again with the same file and base version is safe and returns the first result.",
		Args: cli.Args("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("base-version") {
				return &cli.UsageError{Reason: "--base-version is required"}
			}
			if author = env.Author(author); author == "" {
				return &cli.UsageError{Reason: "no author: use --author or " + cli.EnvAuthor}
			}
			if requestID == "" {
				requestID = rand.Text()
			}
			return applyRules(env, args[0], api.RulesApplyRequest{BaseVersion: base, Author: author, RequestID: requestID})
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&base, "base-version", 0, "version that the file was edited from; 0 for the first rules")
	flags.StringVar(&author, "author", "", "person who applies the change (default: "+cli.EnvAuthor+" or the user name)")
	flags.StringVar(&requestID, "request-id", "", "id shown in the history (default: random)")
	return cmd
}

// applyRules checks the file locally and then sends it.
func applyRules(env *cli.Env, file string, r api.RulesApplyRequest) error {
	text, err := env.ReadFile(file)
	if err != nil {
		return err
	}
	if _, errs := rules.Parse(file, text, env.Checks...); len(errs) > 0 {
		return &cli.RulesError{Errors: errs}
	}
	client, err := env.Client()
	if err != nil {
		return err
	}
	r.Text = string(text)
	accepted, err := client.ApplyRules(r)
	if err != nil {
		return err
	}
	return env.PrintText(accepted, "version "+strconv.FormatUint(accepted.Version, 10)+" accepted, digest "+accepted.Digest+"\n")
}
