package commands

import (
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/scheduler/experiment/placement"
	"github.com/spf13/cobra"
)

// quickPlacementTime is the simulated time of a quick run.
const quickPlacementTime = 2 * time.Hour

// placementPolicies lists the policies that the experiment compares.
var placementPolicies = []placement.Policy{placement.PolicyScheduler, placement.PolicyFCFS, placement.PolicyQuota}

// BenchPlacement returns the command that compares placement policies.
func BenchPlacement(env *cli.Env) *cobra.Command {
	var o benchOptions
	var deployment, policy string
	var target bool
	cmd := &cobra.Command{
		Use:   "placement",
		Short: "Compare gang placement with baseline policies",
		Long: "Simulate one day of jobs of a deployment and compare the placement of cranberrydrum\n" +
			"with first come, first served (fcfs-first-fit) and with quotas that ignore the shape\n" +
			"(quota-without-shape): completion times by gang size, fragmentation, lost work,\n" +
			"reclaimed guarantees and the waiting time of urgent jobs. Times are\n" +
			"simulated, so the table does not depend on the machine.",
		Example: "  cranberrydrum bench placement --deployment remada --csv placement.csv\n" +
			"  cranberrydrum bench placement --target --policy cranberrydrum",
		Args: cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			options, err := placementOptions(o, deployment, policy, target)
			if err != nil {
				return err
			}
			return runPlacement(env, o, options)
		},
	}
	o.bind(cmd)
	o.bindSeed(cmd)
	cmd.Flags().StringVar(&deployment, "deployment", "", "only this deployment: korbfrisch or remada (default: both)")
	cmd.Flags().StringVar(&policy, "policy", "", "only this placement policy: cranberrydrum, fcfs-first-fit or quota-without-shape (default: all)")
	cmd.Flags().BoolVar(&target, "target", false, "a failure domain of the target size instead of a current deployment")
	return cmd
}

// placementOptions returns the options of the runs, one for each deployment.
func placementOptions(o benchOptions, deployment, policy string, target bool) ([]placement.Options, error) {
	if err := checkDeployment(deployment); err != nil {
		return nil, err
	}
	if target && deployment != "" {
		return nil, &cli.UsageError{Reason: "--target and --deployment exclude each other"}
	}
	if policy != "" && !slices.Contains(placementPolicies, placement.Policy(policy)) {
		return nil, &cli.UsageError{Reason: "--policy must be cranberrydrum, fcfs-first-fit or quota-without-shape"}
	}
	sizes := []placement.Size{placement.SizeKorbfrisch, placement.SizeRemada}
	if deployment != "" {
		sizes = []placement.Size{placement.Size(deployment)}
	}
	if target {
		sizes = []placement.Size{placement.SizeTarget}
	}
	var runs []placement.Options
	for _, size := range sizes {
		run := placement.Options{Size: size, Seed: o.seed}
		if policy != "" {
			run.Policies = []placement.Policy{placement.Policy(policy)}
		}
		if o.quick {
			run.Length = quickPlacementTime
		}
		runs = append(runs, run)
	}
	return runs, nil
}

func runPlacement(env *cli.Env, o benchOptions, runs []placement.Options) error {
	var tables placementTables
	rows := map[placement.Size][]placement.Row{}
	for _, run := range runs {
		table := placement.Run(run)
		tables = append(tables, table)
		rows[run.Size] = table.Rows
	}
	return o.print(env, rows, tables)
}

// placementTables holds the results of several deployments.
type placementTables []placement.Table

// String returns the tables, each preceded by the name of its deployment.
func (t placementTables) String() string {
	var b strings.Builder
	for _, table := range t {
		b.WriteString("deployment " + string(table.Options.Size) + "\n" + table.String())
	}
	return b.String()
}

// CSV returns all rows as one table whose first column is the deployment.
func (t placementTables) CSV() string {
	var b strings.Builder
	for i, table := range t {
		lines := strings.SplitAfter(strings.TrimSuffix(table.CSV(), "\n"), "\n")
		if i == 0 {
			b.WriteString("deployment," + lines[0])
		}
		for _, line := range lines[1:] {
			b.WriteString(string(table.Options.Size) + "," + strings.TrimSuffix(line, "\n") + "\n")
		}
	}
	return b.String()
}
