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

// Bench returns the group of experiments and measurements. They run in this
// process and need no server. There are two exceptions: BenchTarget starts host
// processes, and the part "process" of BenchControl measures a running daemon.
func Bench(env *cli.Env) *cobra.Command {
	group := cli.Group("bench", "Experiments and measurements with fixed seeds, without a server",
		BenchPlacement(env), BenchServing(env), BenchReturns(env), BenchControl(env), BenchTarget(env))
	group.Long = "Run experiments and measurements in this process and print a table. Runs with equal\n" +
		"options give equal decisions; times depend on the machine and its load. docs/CAPACITY.md\n" +
		"and docs/measurements.md list the figures and the commands that produced them."
	return group
}

// csvMode is the file mode of a CSV file.
const csvMode = 0o644

// benchOptions holds the flags shared by the bench commands. Commands that use no
// random numbers do not bind the seed.
type benchOptions struct {
	csv   string
	seed  uint64
	quick bool
}

func (o *benchOptions) bind(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&o.csv, "csv", "", "also write the table as comma-separated values to this file")
	flags.BoolVar(&o.quick, "quick", false, "shorter run with less accurate figures")
}

func (o *benchOptions) bindSeed(cmd *cobra.Command) {
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the random number generator")
}

// benchTable is the result table of an experiment.
type benchTable interface {
	String() string
	CSV() string
}

// print writes the CSV file, if one was requested, and then the table as text or
// its rows as JSON.
func (o *benchOptions) print(env *cli.Env, rows any, table benchTable) error {
	if o.csv != "" {
		if err := os.WriteFile(o.csv, []byte(table.CSV()), csvMode); err != nil {
			return &cli.OutputError{Cause: err}
		}
	}
	return env.PrintText(rows, table.String())
}

// checkDeployment returns a usage error for an unknown deployment. An empty name
// means all deployments.
func checkDeployment(name string) error {
	if name = cmp.Or(name, korbfrisch); name != korbfrisch && name != remada {
		return &cli.UsageError{Reason: "--deployment must be korbfrisch or remada"}
	}
	return nil
}
