// Command cranberrydrumd runs one host of the system.
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

// Exit statuses beside settings.ExitStatus.
const (
	exitDone   = 0
	exitFailed = 1
)

func main() { os.Exit(run(os.Args[1:], os.Environ())) }

func run(args, env []string) int {
	if len(args) == 1 {
		if role, known := roles[args[0]]; known {
			return runRole(role)
		}
	}
	cfg, err := settings.Parse(args, env)
	var help *settings.HelpRequested
	if errors.As(err, &help) {
		fmt.Print(help.Usage)
		return exitDone
	}
	var version *settings.VersionRequested
	if errors.As(err, &version) {
		fmt.Println("cranberrydrumd " + node.Build)
		return exitDone
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cranberrydrumd: "+err.Error())
		return settings.ExitStatus
	}
	log := logging.New(os.Stderr, cfg.LogLevel, cfg.LogFormat)
	if err := serve(*cfg, log); err != nil {
		log.Error(err, "the host failed")
		return exitFailed
	}
	return exitDone
}

// serve runs the host until a signal asks it to stop or a failure ends it.
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
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	select {
	case err := <-served:
		return err
	case err := <-n.Failed():
		return err
	case <-signals.Done():
	}
	bound, done := context.WithTimeout(context.Background(), cfg.StopTimeout)
	defer done()
	n.Stop(bound, func() { server.Shutdown(bound) })
	return nil
}
