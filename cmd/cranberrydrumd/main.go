// Command cranberrydrumd is the daemon that runs one host of a deployment.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/daemon/httpapi"
	"cranberrydrum.dev/daemon/logging"
	"cranberrydrum.dev/daemon/node"
	"cranberrydrum.dev/daemon/settings"
)

// Exit statuses. Invalid settings have the status settings.ExitInvalidSettings.
const (
	exitSuccess = 0
	exitFailure = 1
)

func main() { os.Exit(run(os.Args[1:], os.Environ())) }

func run(args, env []string) int {
	if len(args) > 0 {
		if role, known := roles[args[0]]; known {
			return runRole(role, args[1:])
		}
	}
	cfg, err := settings.Parse(args, env)
	var help *settings.HelpRequested
	if errors.As(err, &help) {
		fmt.Print(help.Usage)
		return exitSuccess
	}
	var version *settings.VersionRequested
	if errors.As(err, &version) {
		fmt.Println("cranberrydrumd " + node.Build)
		return exitSuccess
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cranberrydrumd: "+err.Error())
		return settings.ExitInvalidSettings
	}
	log := logging.New(os.Stderr, cfg.LogLevel, cfg.LogFormat)
	if err := serve(*cfg, log); err != nil {
		log.Error(err, "host failed")
		return exitFailure
	}
	return exitSuccess
}

// serve runs the host until SIGTERM or SIGINT arrives, and then stops it gracefully,
// or until the host fails.
func serve(cfg settings.Settings, log logr.Logger) error {
	signals, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	n, err := node.New(cfg, log)
	if err != nil {
		return err
	}
	server, err := httpapi.New(n, log)
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	log.Info("serving", "http", server.Address(), "peer", n.PeerAddress(), "failure_domain", cfg.Domain)
	return server.Run(signals.Done())
}
