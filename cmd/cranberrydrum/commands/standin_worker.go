package commands

import (
	"time"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/structs"
	"github.com/spf13/cobra"
)

// StandinWorker runs a worker whose tasks only take time.
func StandinWorker(env *cli.Env) *cobra.Command {
	worker := structs.Worker{}
	cfg := standin.WorkerConfig{Log: standin.NewTaskLog()}
	cmd := &cobra.Command{
		Use:   "worker ID",
		Short: "Run a worker whose tasks only take time",
		Long: "Run a stand-in worker until it is interrupted. A task takes the time that is the\n" +
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
			awaitInterrupt()
			running.Kill()
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&cfg.Hosts, "renew", nil, "base URLs of entry hosts that it renews its lease with")
	flags.StringVar(&worker.Domain, "failure-domain", "", "failure domain of the worker")
	flags.StringVar(&worker.Rack, "rack", "", "rack of the worker")
	flags.IntVar(&worker.Accelerators, "accelerators", 8, "number of accelerators")
	flags.DurationVar(&cfg.TaskTime, "task-time", time.Second, "time of a task whose job states none")
	flags.DurationVar(&cfg.CheckpointTime, "checkpoint-time", 100*time.Millisecond, "time of a checkpoint")
	return cmd
}
