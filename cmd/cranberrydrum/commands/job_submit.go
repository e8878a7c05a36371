package commands

import (
	"strconv"
	"time"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// JobSubmit returns the command that submits a job.
func JobSubmit(env *cli.Env) *cobra.Command {
	var r api.JobSubmitRequest
	var runtime, checkpoint time.Duration
	cmd := &cobra.Command{
		Use:   "submit --name NAME --accelerators N [flags] [-- COMMAND...]",
		Short: "Submit a job",
		Long: "Submit a job. Submitting the same name again is safe and returns the same job,\n" +
			"even after an unknown outcome.",
		Args: requireDash,
		RunE: func(_ *cobra.Command, args []string) error {
			r.Command = args
			r.DeclaredRuntimeMS = api.Milliseconds(runtime)
			r.CheckpointTimeMS = api.Milliseconds(checkpoint)
			return submitJob(env, r)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&r.Name, "name", "", "name of the submission, unique for the customer")
	flags.StringVar(&r.Customer, "customer", "", "customer (default: the customer of the token)")
	flags.StringVar(&r.FailureDomain, "failure-domain", "", "failure domain (default: derived from the name)")
	flags.StringVar(&r.Priority, "priority", "normal", "bulk, normal or urgent")
	flags.IntVar(&r.Accelerators, "accelerators", 0, "size of the gang")
	flags.DurationVar(&runtime, "runtime", 0, "declared run time, such as 90m")
	flags.DurationVar(&checkpoint, "checkpoint-time", 0, "how long a checkpoint takes; 0 if the job cannot checkpoint")
	return cmd
}

// requireDash requires "--" before the command of the job, so that a misplaced
// argument is not mistaken for the command.
func requireDash(cmd *cobra.Command, args []string) error {
	if len(args) > 0 && cmd.ArgsLenAtDash() != 0 {
		return &cli.UsageError{Reason: "unexpected argument " + strconv.Quote(args[0]) + "; the command of the job follows --"}
	}
	return nil
}

func submitJob(env *cli.Env, r api.JobSubmitRequest) error {
	if _, refusal := r.Spec(); refusal != nil {
		return &cli.UsageError{Reason: refusal.Message}
	}
	client, err := env.Client()
	if err != nil {
		return err
	}
	job, err := client.SubmitJob(r)
	if err != nil {
		return err
	}
	return env.PrintText(job, "job "+job.ID+" is "+string(job.Status)+" in "+job.FailureDomain+"\n")
}
