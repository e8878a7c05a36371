// Package queries contains the read-only subcommands, one per file.
package queries

import (
	"strconv"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/scheduler/rules"
	"github.com/spf13/cobra"
)

// checkResult is the JSON output of RulesCheck for one file.
type checkResult struct {
	File   string `json:"file"`
	Digest string `json:"digest"`
	Rules  int    `json:"rules"`
}

// RulesCheck returns the command that checks rules files without a server.
func RulesCheck(env *cli.Env) *cobra.Command {
	var format bool
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check rules files without a server",
		Args:  cli.Args("FILE..."),
		RunE: func(_ *cobra.Command, args []string) error {
			if format {
				return formatRules(env, args)
			}
			return checkRules(env, args)
		},
	}
	cmd.Flags().BoolVar(&format, "print", false, "print the canonical form of one file")
	return cmd
}

func checkRules(env *cli.Env, files []string) error {
	var results []checkResult
	var ruleErrors []*rules.Error
	table := cli.Table{Header: []string{"FILE", "RULES", "DIGEST"}}
	for _, file := range files {
		text, err := env.ReadFile(file)
		if err != nil {
			return err
		}
		_, errs := rules.Parse(file, text, env.Checks...)
		ruleErrors = append(ruleErrors, errs...)
		c := checkResult{File: file, Digest: rules.Digest(text), Rules: len(rules.Diff(nil, text))}
		results = append(results, c)
		table.Rows = append(table.Rows, []string{c.File, strconv.Itoa(c.Rules), c.Digest})
	}
	if len(ruleErrors) > 0 {
		return &cli.RulesError{Errors: ruleErrors}
	}
	return env.Print(results, table)
}

func formatRules(env *cli.Env, files []string) error {
	if len(files) > 1 {
		return &cli.UsageError{Reason: "--print takes one file"}
	}
	text, err := env.ReadFile(files[0])
	if err != nil {
		return err
	}
	if _, errs := rules.Parse(files[0], text, env.Checks...); len(errs) > 0 {
		return &cli.RulesError{Errors: errs}
	}
	canonical := string(rules.Format(text))
	return env.PrintText(struct {
		Text string `json:"text"`
	}{canonical}, canonical)
}
