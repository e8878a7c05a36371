package commands

import (
	"slices"
	"strings"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/experiment/control"
	"github.com/spf13/cobra"
)

// BenchControl returns the command that measures the cost of control.
func BenchControl(env *cli.Env) *cobra.Command {
	var o benchOptions
	var parts []string
	var process control.Process
	cmd := &cobra.Command{
		Use:   "control",
		Short: "Measure the bytes, CPU time, memory and syncs used by control",
		Long: "Measure the cost of control. Each quantity is measured at three or more sizes and given\n" +
			"with the line fitted to the measured values (base and slope). Hosts run in this process\n" +
			"on loopback addresses with their files in a temporary folder. CPU times include garbage\n" +
			"collection and do not grow with the load of the machine; the other times do.\n\n" +
			"Parts: " + strings.Join(partNames(), ", ") + ". Without --part, all parts\n" +
			"except process run. The part process measures a running cranberrydrumd, given by its\n" +
			"process id and with rules in force, while stand-in workers renew their leases with it.",
		Example: "  cranberrydrum bench control --csv control.csv\n" +
			"  cranberrydrum bench control --part renewal,log\n" +
			"  CRANBERRYDRUM_TOKEN=... cranberrydrum bench control --part process --pid 4711 --server 127.0.0.1:7400 --failure-domain zrh-oerlikon",
		Args: cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			options, err := controlOptions(env, o, parts, process)
			if err != nil {
				return err
			}
			table, err := control.Run(options)
			if err != nil {
				return err
			}
			return o.print(env, table.Rows, table)
		},
	}
	o.bind(cmd)
	cmd.Flags().StringSliceVar(&parts, "part", nil, "parts to run, separated by commas")
	cmd.Flags().IntVar(&process.ID, "pid", 0, "process id of the daemon that the part process measures")
	cmd.Flags().StringVar(&process.Domain, "failure-domain", "", "failure domain of the stand-in workers of the part process")
	return cmd
}

func partNames() []string {
	var names []string
	for _, p := range control.Parts() {
		names = append(names, string(p))
	}
	return names
}

func controlOptions(env *cli.Env, o benchOptions, parts []string, process control.Process) (control.Options, error) {
	options := control.Options{Quick: o.quick, Process: process}
	for _, name := range parts {
		part := control.Part(name)
		if !slices.Contains(control.Parts(), part) {
			return options, &cli.UsageError{Reason: (&control.UnknownPartError{Part: part}).Error()}
		}
		options.Parts = append(options.Parts, part)
	}
	if !slices.Contains(options.Parts, control.PartProcess) {
		return options, nil
	}
	servers, token, err := env.Access()
	if err != nil {
		return options, err
	}
	options.Process.Servers, options.Process.Token = servers, token
	if process.ID <= 0 || process.Domain == "" {
		return options, &cli.UsageError{Reason: "--part process needs --pid and --failure-domain"}
	}
	return options, nil
}
