package commands

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/standin"
	"github.com/spf13/cobra"
)

// Limits of one executor, as in the current deployments.
const (
	executorSlots       = 8
	executorConnections = 64
)

// StandinExecutor returns the command that runs an executor which responds to each
// request with the body of the request.
func StandinExecutor(env *cli.Env) *cobra.Command {
	cfg := standin.ExecutorConfig{Slots: executorSlots, Connections: executorConnections, Seed: 1}
	cmd := &cobra.Command{
		Use:   "executor ID",
		Short: "Run an executor that returns the body of each request",
		Long: "Run a stand-in executor until it is interrupted. It announces itself to the hosts\n" +
			"given by --announce and deregisters before it exits.",
		Args: cli.Args("ID"),
		RunE: func(_ *cobra.Command, args []string) error {
			if len(cfg.Hosts) == 0 || cfg.Domain == "" || cfg.Service == "" {
				return &cli.UsageError{Reason: "--announce, --failure-domain and --service are required"}
			}
			cfg.ID = args[0]
			cfg.Token = env.Getenv(cli.EnvToken)
			executor, err := standin.NewExecutor(cfg)
			if err != nil {
				return err
			}
			if err := env.PrintText(nil, "executor "+cfg.ID+" listens on "+executor.Address()+"\n"); err != nil {
				return err
			}
			waitForInterrupt()
			executor.Close()
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&cfg.Hosts, "announce", nil, "base URLs of entry hosts of its failure domain, for example http://127.0.0.1:7400")
	flags.StringVar(&cfg.Domain, "failure-domain", "", "failure domain of the executor")
	flags.StringVar(&cfg.Service, "service", "", "service of the executor")
	flags.DurationVar(&cfg.ServiceTime, "service-time", 20*time.Millisecond, "mean processing time of one request")
	return cmd
}

func waitForInterrupt() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
}
