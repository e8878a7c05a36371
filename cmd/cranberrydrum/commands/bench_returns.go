package commands

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/scheduler/experiment/returns"
	"github.com/spf13/cobra"
)

// BenchReturns returns the command that measures what becomes of refused callers.
func BenchReturns(env *cli.Env) *cobra.Command {
	var o benchOptions
	var repeat int
	cmd := &cobra.Command{
		Use:   "returns",
		Short: "Count refused callers that return and are served",
		Long: "Simulate callers that are refused and return, under patterns such as a burst, a\n" +
			"customer far above its share and a time without executors, and count those that are\n" +
			"served in time, served late and refused for good, and their refused tries.",
		Example: "  cranberrydrum bench returns --repeat 3 --csv returns.csv",
		Args:    cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			if repeat < 1 {
				return &cli.UsageError{Reason: "--repeat must be at least 1"}
			}
			patterns := returns.All()
			if o.quick {
				patterns = patterns[:quickVariants]
			}
			table := returns.Run(patterns, o.seed, repeat)
			return o.print(env, table.Rows, table)
		},
	}
	o.bind(cmd)
	o.bindSeed(cmd)
	cmd.Flags().IntVar(&repeat, "repeat", 1, "number of consecutive seeds, starting at --seed, over which each row is summed")
	return cmd
}
