package commands

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/experiment/target"
	"github.com/spf13/cobra"
)

// daemonName is the name of the binary of a host.
const daemonName = "cranberrydrumd"

// BoundPassedError reports figures beyond their bounds.
type BoundPassedError struct{ Count int }

// Error implements error.
func (e *BoundPassedError) Error() string {
	return fmt.Sprintf("%d figures pass their bounds", e.Count)
}

// BenchTarget measures a deployment of the target size.
func BenchTarget(env *cli.Env) *cobra.Command {
	var o benchOptions
	var daemon string
	var parts []string
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Measure a deployment of the target size against the bounds",
		Long: "Run a deployment of the target size on this machine, with 9 host processes, relays with\n" +
			"the latencies of the links, and 910 light workers in this process, and measure the\n" +
			"promises with a bound in time: starts of urgent gangs, configuration changes, the cost\n" +
			"of control, the loss of a leader and restarts of workers. The figures depend on the\n" +
			"machine and its load, which is printed with the progress on standard error. The status\n" +
			"is 1 if a figure passes its bound.",
		Example: "  cranberrydrum bench target --csv target.csv\n" +
			"  cranberrydrum bench target --quick --daemon ./cranberrydrumd",
		Args: cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			path, err := daemonPath(daemon)
			if err != nil {
				return err
			}
			options := target.Options{Seed: o.seed, Quick: o.quick, Daemon: path}
			for _, part := range parts {
				options.Parts = append(options.Parts, target.Part(part))
			}
			options.Progress = func(line string) { _, _ = fmt.Fprintln(env.Stderr, line) }
			table, err := target.Run(options)
			return finishTarget(env, o, table, err)
		},
	}
	o.bind(cmd)
	o.bindSeed(cmd)
	cmd.Flags().StringSliceVar(&parts, "part", nil, "parts to run, separated by commas: idle, config, link, urgent, restarts, leader (default: all)")
	cmd.Flags().StringVar(&daemon, "daemon", "", "path of cranberrydrumd (default: next to this binary)")
	return cmd
}

// finishTarget prints what was measured, also if the run ended early.
func finishTarget(env *cli.Env, o benchOptions, table target.Table, failure error) error {
	var unknown *target.UnknownPartError
	if errors.As(failure, &unknown) {
		return &cli.UsageError{Reason: unknown.Error()}
	}
	if err := o.print(env, table.Rows, table); err != nil {
		return err
	}
	if failure != nil {
		return failure
	}
	passed := 0
	for _, row := range table.Rows {
		if !row.OK() {
			passed++
		}
	}
	if passed > 0 {
		return &BoundPassedError{Count: passed}
	}
	return nil
}

// daemonPath returns the path of the daemon binary.
func daemonPath(given string) (string, error) {
	if given == "" {
		own, err := os.Executable()
		if err != nil {
			return "", &cli.UsageError{Reason: "--daemon is needed: the path of this binary is not known"}
		}
		given = filepath.Join(filepath.Dir(own), daemonName)
	}
	if _, err := os.Stat(given); err != nil {
		return "", &cli.UsageError{Reason: "--daemon must name the cranberrydrumd binary; there is none at " + given}
	}
	return given, nil
}
