package commands

import (
	"slices"
	"strings"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/scheduler/experiment/serving"
	"cranberrydrum.dev/scheduler/structs"
	"github.com/spf13/cobra"
)

// servingPolicies maps the values of --policy to the weights of peak demand and
// completion time.
var servingPolicies = map[string]structs.Policy{
	"peak-demand": {Crest: 1},
	"balanced":    {Crest: 0.5, Completion: 0.5},
	"completion":  {Completion: 1},
}

// Limits of a quick run: executors per run and number of variants.
const (
	quickExecutors = 4
	quickVariants  = 3
)

// BenchServing returns the command that compares ways of dispatching requests.
func BenchServing(env *cli.Env) *cobra.Command {
	var o benchOptions
	var deployment, policy string
	var repeat int
	cmd := &cobra.Command{
		Use:   "serving",
		Short: "Compare request dispatching with baseline algorithms",
		Long: "Simulate the load of a deployment on stand-in executors and compare the dispatching of\n" +
			"cranberrydrum with a single queue (fifo) and round robin, for healthy, slow, failing\n" +
			"and unresponsive executors, different ways of sharing slots and policy settings.\n" +
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
	cmd.Flags().IntVar(&repeat, "repeat", 1, "number of consecutive seeds, starting at --seed, over which each row is averaged; violations and refusals are summed")
	cmd.Flags().StringVar(&policy, "policy", "", "policy of all variants: peak-demand, balanced or completion (default: the policy of each variant)")
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

// setPolicy applies one policy to all variants and removes the variants that
// compare policies.
func setPolicy(options *serving.Options, name string) error {
	if name == "" {
		return nil
	}
	policy, known := servingPolicies[name]
	if !known {
		return &cli.UsageError{Reason: "--policy must be peak-demand, balanced or completion"}
	}
	options.Variants = slices.DeleteFunc(options.Variants, func(v serving.Variant) bool { return strings.HasPrefix(v.Label, "policy ") })
	for i := range options.Variants {
		options.Variants[i].Policy = policy
	}
	return nil
}
