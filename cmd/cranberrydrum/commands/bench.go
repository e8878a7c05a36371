package commands

import (
	"cmp"
	"os"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"github.com/spf13/cobra"
)

// Allowed values of --deployment.
const (
	korbfrisch = "korbfrisch"
	remada     = "remada"
)

// Bench returns the experiments and measurements. They run in this process
// and need no server.
func Bench(env *cli.Env) *cobra.Command {
	group := cli.Group("bench", "Experiments and measurements with fixed seeds, without a server",
		BenchPlacement(env), BenchServing(env), BenchControl(env), BenchTarget(env))
	group.Long = "Run experiments and measurements in this process and print a table. Runs with equal\n" +
		"options give equal decisions; times depend on the machine and its load. docs/CAPACITY.md\n" +
		"and docs/measurements.md list the figures and the commands that produced them."
	return group
}

// csvMode is the mode of a CSV file.
const csvMode = 0o644

// benchOptions are the flags that measurements share. Those that draw no random
// numbers have no seed.
type benchOptions struct {
	csv   string
	seed  uint64
	quick bool
}

func (o *benchOptions) bind(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&o.csv, "csv", "", "also write the table as comma-separated values to this file")
	flags.BoolVar(&o.quick, "quick", false, "shorter run with less exact figures")
}

func (o *benchOptions) bindSeed(cmd *cobra.Command) {
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the random numbers")
}

// benchTable is the result of an experiment.
type benchTable interface {
	String() string
	CSV() string
}

// print writes the table, as JSON with the rows if asked for, and the CSV file.
func (o *benchOptions) print(env *cli.Env, rows any, table benchTable) error {
	if o.csv != "" {
		if err := os.WriteFile(o.csv, []byte(table.CSV()), csvMode); err != nil {
			return &cli.OutputError{Cause: err}
		}
	}
	return env.PrintText(rows, table.String())
}

// checkDeployment refuses an unknown deployment; empty means all.
func checkDeployment(name string) error {
	if name = cmp.Or(name, korbfrisch); name != korbfrisch && name != remada {
		return &cli.UsageError{Reason: "--deployment must be korbfrisch or remada"}
	}
	return nil
}
