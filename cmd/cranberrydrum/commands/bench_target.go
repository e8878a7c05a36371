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

// daemonName is the file name of the daemon binary.
const daemonName = "cranberrydrumd"

// BoundExceededError reports the number of figures that exceed their bounds.
type BoundExceededError struct{ Count int }

// Error implements error.
func (e *BoundExceededError) Error() string {
	return fmt.Sprintf("%d figures exceed their bounds", e.Count)
}

// BenchTarget returns the command that measures a deployment of the target size.
func BenchTarget(env *cli.Env) *cobra.Command {
	var o benchOptions
	var daemon string
	var parts []string
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Measure a deployment of the target size against the bounds",
		Long: "Run a deployment of the target size on this machine, with 9 host processes, relays with\n" +
			"the latencies of the links, and 910 lightweight workers in this process, and measure the\n" +
			"promises that have a time limit: starts of urgent gangs, configuration changes, the cost\n" +
			"of control, the loss of a leader and restarts of workers. The figures depend on the\n" +
			"machine and its load, which is printed with the progress on standard error. The exit\n" +
			"status is 1 if a figure exceeds its bound.",
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

// finishTarget prints the measured figures, even if the run ended early, and
// returns an error if the run failed or a figure exceeds its bound.
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
	exceeded := 0
	for _, row := range table.Rows {
		if !row.WithinBound() {
			exceeded++
		}
	}
	if exceeded > 0 {
		return &BoundExceededError{Count: exceeded}
	}
	return nil
}

// daemonPath returns the given path of the daemon binary, or by default the path
// next to this binary.
func daemonPath(given string) (string, error) {
	if given == "" {
		own, err := os.Executable()
		if err != nil {
			return "", &cli.UsageError{Reason: "--daemon is required: the path of this binary is not known"}
		}
		given = filepath.Join(filepath.Dir(own), daemonName)
	}
	if _, err := os.Stat(given); err != nil {
		return "", &cli.UsageError{Reason: "--daemon must be the path of the cranberrydrumd binary; no binary found at " + given}
	}
	return given, nil
}
