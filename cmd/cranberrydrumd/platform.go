package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cranberrydrum.dev/daemon/control"
	"cranberrydrum.dev/daemon/entry"
	"cranberrydrum.dev/daemon/logging"
	"cranberrydrum.dev/daemon/metrics"
	"cranberrydrum.dev/daemon/settings"
	"cranberrydrum.dev/platform"
)

const (
	// gcPercent trades processor time for memory; the heap is small.
	gcPercent = 100
	// heapShare of the machine's memory is where the collector works harder.
	heapShare = 0.6
	// readinessDelay is how long a stopping entry host goes on serving: the
	// platform notices after two questions, one second apart.
	readinessDelay = 2500 * time.Millisecond
	// stopMargin of the time to stop is left for the end of the process.
	stopMargin  = 1 * time.Second
	metricsPath = "/metrics"
)

// roles are the processes of a deployment on the platform.
var roles = map[string]func(*platform.Settings, logr.Logger) error{
	"control": runControl,
	"entry":   runEntry,
}

// runRole runs a process whose settings the platform has written.
func runRole(role func(*platform.Settings, logr.Logger) error) int {
	s, err := readSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cranberrydrumd: "+err.Error())
		return settings.ExitStatus
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB<<20)))
	out := logging.NewBounded(os.Stdout)
	defer out.Close()
	log := logging.New(out, "info", "json").WithValues("node", s.Node)
	log.Info("starting", "host", s.Host, "zone", s.Domain, "bootstrap", s.Bootstrap, "seeds", s.Seeds)
	if err := role(s, log); err != nil {
		log.Error(err, "the host failed")
		return exitFailed
	}
	log.Info("stopped")
	return exitDone
}

func readSettings() (*platform.Settings, error) {
	return platform.ReadSettings(os.Getenv(platform.SettingsVariable))
}

// seeds returns a function that reads the seeds from the settings as they are
// now, and goes on with those of the start if the file cannot be used.
func seeds(s *platform.Settings, log logr.Logger) func() []string {
	return func() []string {
		fresh, err := readSettings()
		if err != nil {
			log.Info("settings cannot be read; those of the start stay in force", "error", err.Error())
			return s.Seeds
		}
		return fresh.Seeds
	}
}

// storagePause is the time between two attempts to open a log whose disk failed:
// long enough for a full or stuck disk not to keep the processor busy.
const storagePause = 500 * time.Millisecond

func runControl(s *platform.Settings, log logr.Logger) error {
	if s.DataDir == "" || s.ControlListen == "" {
		return &platform.SettingsError{Field: "data_dir, listen.control", Reason: "missing on a control host"}
	}
	figures := metrics.NewPlatform()
	serveMetrics(s, figures, log)
	cfg := control.Config{
		Host: s.Host, PeerPort: s.PeerPort, ReportAddress: s.ControlListen, DataDir: s.DataDir, Bootstrap: s.Bootstrap,
		Seeds: seeds(s, log), Faults: s.Faults, LowPriority: s.Remote(), Fleet: s.Fleet,
		Executors: platform.NewExecutors(s.AdviceAddress, log), Advised: s.AdviceAddress != "", Logger: log, Observer: figures,
	}
	stop := stopSignal(log)
	for {
		err := serveControl(cfg, s, stop)
		if err == nil {
			return nil
		}
		// A disk that fails may work again; what it holds is read anew then.
		log.Error(err, "the control host starts again")
		select {
		case <-stop:
			return nil
		case <-time.After(storagePause):
		}
	}
}

// serveControl runs a control host until it is asked to stop or its log fails.
func serveControl(cfg control.Config, s *platform.Settings, stop <-chan struct{}) error {
	node, err := control.New(cfg)
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		node.Stop()
		return err
	}
	server := platform.NewControlServer(node, cfg.Logger)
	served := make(chan error, 1)
	go func() { served <- server.Serve(s.ControlListen) }()
	select {
	case err = <-served:
	case err = <-node.Failed():
	case <-stop:
		node.HandOver()
	}
	server.Shutdown(s.Grace / 2)
	node.Stop()
	return err
}

func runEntry(s *platform.Settings, log logr.Logger) error {
	if s.CustomerListen == "" || s.ReadyListen == "" {
		return &platform.SettingsError{Field: "listen.frontend, listen.readiness", Reason: "missing on an entry host"}
	}
	figures := metrics.NewPlatform()
	node := entry.New(entry.Config{Host: s.Host, PeerPort: s.PeerPort, Seeds: seeds(s, log), Logger: log, Observer: figures})
	if err := node.Start(); err != nil {
		return err
	}
	serveMetrics(s, figures, log)
	server := platform.NewCustomerServer(node, log)
	served := make(chan error, 2)
	go func() { served <- server.Serve(s.CustomerListen) }()
	go func() { served <- server.ServeReadiness(s.ReadyListen) }()
	stop := stopSignal(log)
	select {
	case err := <-served:
		return err
	case <-stop:
	}
	node.Drain()
	time.Sleep(readinessDelay)
	server.Shutdown(s.Grace - readinessDelay - stopMargin)
	node.Stop()
	return nil
}

// stopSignal is closed when the process is asked to stop. Other signals only
// say that the settings have changed; they are read when they are needed.
func stopSignal(log logr.Logger) <-chan struct{} {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	stop := make(chan struct{})
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				log.Info("settings have changed")
				continue
			}
			log.Info("stopping", "signal", s.String())
			close(stop)
			return
		}
	}()
	return stop
}

func serveMetrics(s *platform.Settings, figures *metrics.Platform, log logr.Logger) {
	mux := http.NewServeMux()
	mux.Handle(metricsPath, promhttp.HandlerFor(figures.Registry(), promhttp.HandlerOpts{}))
	server := &http.Server{Addr: s.Host + ":" + strconv.Itoa(s.MetricsPort), Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { log.Info("metrics end", "error", server.ListenAndServe().Error()) }()
}
