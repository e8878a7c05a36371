package commands

import (
	"slices"
	"strings"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/scheduler/experiment/serving"
	"cranberrydrum.dev/scheduler/structs"
	"github.com/spf13/cobra"
)

// policies are the settings of the balance between the metrics.
var policies = map[string]structs.Policy{
	"peak-demand": {Crest: 1},
	"balanced":    {Crest: 0.5, Completion: 0.5},
	"completion":  {Completion: 1},
}

// Size of a quick run.
const (
	quickExecutors = 4
	quickVariants  = 3
)

// BenchServing compares ways of dispatching requests.
func BenchServing(env *cli.Env) *cobra.Command {
	var o benchOptions
	var deployment, policy string
	var repeat int
	cmd := &cobra.Command{
		Use:   "serving",
		Short: "Compare request dispatching with its baselines",
		Long: "Play the load of a deployment against stand-in executors in a simulation and compare\n" +
			"the dispatching of cranberrydrum with one queue (fifo) and round robin, with healthy,\n" +
			"slow, failing and silent executors, ways of sharing slots and settings of the policy.\n" +
			"Latencies are simulated, so the table does not depend on the machine.",
		Example: "  cranberrydrum bench serving --deployment korbfrisch --csv serving.csv\n" +
			"  cranberrydrum bench serving --policy completion --quick\n" +
			"  cranberrydrum bench serving --repeat 8",
		Args: cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			options, err := servingOptions(o, deployment, policy)
			if err != nil {
				return err
			}
			if repeat < 1 {
				return &cli.UsageError{Reason: "--repeat must be at least 1"}
			}
			options.Repeat = repeat
			table := serving.Run(options)
			return o.print(env, table.Rows, table)
		},
	}
	o.bind(cmd)
	o.bindSeed(cmd)
	cmd.Flags().StringVar(&deployment, "deployment", "", "only the load of this deployment: korbfrisch or remada")
	cmd.Flags().IntVar(&repeat, "repeat", 1, "number of seeds, counted from --seed, over which each row is averaged; breaches and refusals are added up")
	cmd.Flags().StringVar(&policy, "policy", "", "policy of all variants: peak-demand, balanced or completion (default: the variants' own)")
	return cmd
}

func servingOptions(o benchOptions, deployment, policy string) (serving.Options, error) {
	options := serving.DefaultOptions()
	options.Seed = o.seed
	if err := checkDeployment(deployment); err != nil {
		return options, err
	}
	if deployment != "" {
		options.Variants = slices.DeleteFunc(options.Variants, func(v serving.Variant) bool { return v.Shape != deployment })
	}
	if err := setPolicy(&options, policy); err != nil {
		return options, err
	}
	if o.quick {
		options.Executors = quickExecutors
		options.Variants = options.Variants[:quickVariants]
	}
	return options, nil
}

// setPolicy applies one policy to all variants and drops those that compare
// policies.
func setPolicy(options *serving.Options, name string) error {
	if name == "" {
		return nil
	}
	policy, known := policies[name]
	if !known {
		return &cli.UsageError{Reason: "--policy must be peak-demand, balanced or completion"}
	}
	options.Variants = slices.DeleteFunc(options.Variants, func(v serving.Variant) bool { return strings.HasPrefix(v.Label, "policy ") })
	for i := range options.Variants {
		options.Variants[i].Policy = policy
	}
	return nil
}
