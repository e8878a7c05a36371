package commands

import (
	"time"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/structs"
	"github.com/spf13/cobra"
)

// StandinWorker returns the command that runs a worker whose tasks only wait for
// their run time.
func StandinWorker(env *cli.Env) *cobra.Command {
	worker := structs.Worker{}
	cfg := standin.WorkerConfig{Log: standin.NewTaskLog()}
	cmd := &cobra.Command{
		Use:   "worker ID",
		Short: "Run a worker whose tasks only wait for their run time",
		Long: "Run a stand-in worker until it is interrupted. The run time of a task is the\n" +
			"second word of the job's command, for example \"run 5s\".",
		Args: cli.Args("ID"),
		RunE: func(_ *cobra.Command, args []string) error {
			if len(cfg.Hosts) == 0 || worker.Domain == "" || worker.Rack == "" {
				return &cli.UsageError{Reason: "--renew, --failure-domain and --rack are required"}
			}
			worker.ID = args[0]
			cfg.Worker = worker
			cfg.Token = env.Getenv(cli.EnvToken)
			running := standin.NewWorker(cfg)
			if err := env.PrintText(nil, "worker "+worker.ID+" is running\n"); err != nil {
				return err
			}
			waitForInterrupt()
			running.Kill()
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&cfg.Hosts, "renew", nil, "base URLs of the entry hosts with which the worker renews its lease")
	flags.StringVar(&worker.Domain, "failure-domain", "", "failure domain of the worker")
	flags.StringVar(&worker.Rack, "rack", "", "rack of the worker")
	flags.IntVar(&worker.Accelerators, "accelerators", 8, "number of accelerators")
	flags.DurationVar(&cfg.TaskTime, "task-time", time.Second, "run time of a task whose job does not specify one")
	flags.DurationVar(&cfg.CheckpointTime, "checkpoint-time", 100*time.Millisecond, "duration of a checkpoint")
	return cmd
}
