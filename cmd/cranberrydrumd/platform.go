package main

import (
	"flag"
	"fmt"
	"maps"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/daemon/control"
	"cranberrydrum.dev/daemon/descriptors"
	"cranberrydrum.dev/daemon/entry"
	"cranberrydrum.dev/daemon/intake"
	"cranberrydrum.dev/daemon/logging"
	"cranberrydrum.dev/daemon/metrics"
	"cranberrydrum.dev/daemon/settings"
	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/platform"
	"cranberrydrum.dev/scheduler/admission"
)

const (
	// gcPercent is the GOGC value: the heap may grow by this percentage between two
	// garbage collections. A higher value costs memory and saves CPU time; the heap
	// is small.
	gcPercent = 100
	// heapFraction is the fraction of the machine's memory that is the soft memory
	// limit of the Go runtime, near which it collects garbage more often.
	heapFraction = 0.6
	// callShareDivisor is the inverse of the share of the machine's memory that the bodies of
	// calls of other hosts may take; minCallBytes is that of a few frames of the largest size.
	callShareDivisor = 16
	minCallBytes     = 4 * transport.MaxFrameBytes
	metricsPath      = "/metrics"
	// metricsTimeout bounds reading a request for metrics and writing its response,
	// maxMetricsRequests the requests in progress.
	metricsTimeout     = 5 * time.Second
	maxMetricsRequests = 4
	maxMetricsHeader   = 16 << 10
	// profilePath is the path below which profiles are served if the flag of a role asks for it.
	profilePath = "/debug/pprof/"
	// profileTimeout bounds a request for a profile, which is collected for 30 s by default.
	profileTimeout = 2 * time.Minute
)

// roles maps each role of a deployment on the platform to the function that runs a
// host in this role.
var roles = map[string]func(*platform.Settings, <-chan struct{}, logr.Logger) error{
	"control": runControl,
	"entry":   runEntry,
}

// runRole runs a host with the settings file written by the platform and returns
// the exit status.
func runRole(role func(*platform.Settings, <-chan struct{}, logr.Logger) error, args []string) int {
	flags := flag.NewFlagSet("cranberrydrumd", flag.ContinueOnError)
	profiles := flags.Bool("pprof", false, "serve profiles of the process at the address of the metrics")
	if err := flags.Parse(args); err != nil {
		// It has printed the reason and the usage.
		return settings.ExitInvalidSettings
	}
	if flags.NArg() > 0 {
		flags.Usage()
		return settings.ExitInvalidSettings
	}
	// Until a signal is registered, it ends the process at once.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s, err := readSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cranberrydrumd: "+err.Error())
		return settings.ExitInvalidSettings
	}
	s.Profiles = *profiles
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapFraction * float64(s.MemoryMB<<20)))
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log := logging.New(out, "info", "json").WithValues("node", s.Node)
	log.Info("starting", "host", s.Host, "zone", s.Domain, "bootstrap", s.Bootstrap, "seeds", s.Seeds)
	if err := role(s, stopSignal(signals, log), log); err != nil {
		log.Error(err, "host failed")
		return exitFailure
	}
	log.Info("stopped")
	return exitSuccess
}

func readSettings() (*platform.Settings, error) {
	return platform.ReadSettings(os.Getenv(platform.SettingsVariable))
}

// seedReader returns a function that reads the current seeds from the settings
// file. If the file cannot be read or is invalid, the function returns the seeds
// that were read at startup.
func seedReader(s *platform.Settings, log logr.Logger) func() []string {
	return func() []string {
		current, err := readSettings()
		if err != nil {
			log.Info("cannot read settings; using the seeds read at startup", "error", err.Error())
			return s.Seeds
		}
		return current.Seeds
	}
}

// storageRetryDelay is the time between two attempts to open the log after a disk
// failure. It keeps a full or stuck disk from causing a busy loop.
const storageRetryDelay = 500 * time.Millisecond

func runControl(s *platform.Settings, stop <-chan struct{}, log logr.Logger) error {
	if s.DataDir == "" || s.ControlListen == "" {
		return &platform.SettingsError{Field: "data_dir, listen.control", Reason: "missing on a control host"}
	}
	observer := metrics.NewPlatform()
	serveMetrics(s, observer, log)
	budget := descriptors.NewBudget(s.UsableDescriptors, true, observer)
	memory := int64(s.MemoryMB) << 20
	maxCallBytes := max(memory/callShareDivisor, minCallBytes)
	cfg := control.Config{
		Host: s.Host, PeerPort: s.PeerPort, ReportAddress: s.ControlListen, AcceptLimit: budget.AcceptLimit, DataDir: s.DataDir, Bootstrap: s.Bootstrap,
		Domains: slices.Sorted(maps.Keys(s.Domains)),
		Seeds:   seedReader(s, log), MaxFaults: s.MaxFaults, ReplaceWithin: s.ReplaceWithin, LowPriority: s.HasLargerRemoteRegion(), Fleet: s.Fleet,
		MaxCallBytes: int(maxCallBytes),
		Executors:    platform.NewExecutorClient(s.AdviceAddress, budget, log), Logger: log, Observer: observer,
		Admission: admission.Policy{
			HasAdviceService: s.AdviceAddress != "", Retention: s.Fleet.JobRetention(),
			MaxTombstones: admission.TombstoneLimit(memory), MaxStateBytes: admission.StateLimit(memory),
		},
	}
	requests := intake.NewBudget(intake.BudgetConfig{
		MemoryBytes: memory, StateBytes: admission.StateLimit(memory) + maxCallBytes, Observer: observer, Logger: log,
	})
	for {
		err := serveControl(&cfg, s, budget, requests, stop)
		if err == nil {
			return nil
		}
		// A failed disk may recover. The restarted host reads its state from disk
		// again.
		log.Error(err, "control host failed; restarting after a delay")
		select {
		case <-stop:
			return nil
		case <-time.After(storageRetryDelay):
		}
	}
}

// serveControl runs a control host until stop is closed or its log or its API
// server fails. Before a requested stop it transfers leadership to another host.
//
// It records the control hosts that it has learned of, for the next attempt.
func serveControl(cfg *control.Config, s *platform.Settings, budget *descriptors.Budget, requests *intake.Budget, stop <-chan struct{}) error {
	node, err := control.New(*cfg)
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		node.Stop()
		return err
	}
	budget.SetPeers(node.PeerConnections)
	server := platform.NewControlServer(node, budget, requests, cfg.Observer, cfg.Logger)
	served := make(chan error, 1)
	go func() { served <- server.Serve(s.ControlListen) }()
	select {
	case err = <-served:
	case err = <-node.Failed():
	case <-stop:
	}
	grace := s.ShutdownGrace
	if err != nil {
		// Nobody stops this process; the host restarts sooner with a shorter wait.
		grace /= 2
	}
	schedule := platform.NewShutdownSchedule(grace)
	if err == nil {
		node.TransferLeadership(schedule.TransferBy)
		node.HandOverVote(schedule.HandOverBy)
	}
	cfg.KnownHosts = node.KnownHosts()
	server.Shutdown(schedule)
	node.Stop()
	server.WaitClosed(schedule)
	return err
}

func runEntry(s *platform.Settings, stop <-chan struct{}, log logr.Logger) error {
	if s.CustomerListen == "" || s.ReadyListen == "" {
		return &platform.SettingsError{Field: "listen.frontend, listen.readiness", Reason: "missing on an entry host"}
	}
	observer := metrics.NewPlatform()
	node := entry.New(entry.Config{Host: s.Host, PeerPort: s.PeerPort, Seeds: seedReader(s, log), Logger: log, Observer: observer})
	if err := node.Start(); err != nil {
		return err
	}
	serveMetrics(s, observer, log)
	budget := descriptors.NewBudget(s.UsableDescriptors, false, observer)
	budget.SetPeers(node.PeerConnections)
	requests := intake.NewBudget(intake.BudgetConfig{MemoryBytes: int64(s.MemoryMB) << 20, Observer: observer, Logger: log})
	server := platform.NewCustomerServer(node, budget, requests, observer, log)
	served := make(chan error, 2)
	go func() { served <- server.Serve(s.CustomerListen) }()
	go func() { served <- server.ServeReadiness(s.ReadyListen) }()
	select {
	case err := <-served:
		return err
	case <-stop:
	}
	schedule := platform.NewShutdownSchedule(s.ShutdownGrace)
	node.Drain(schedule.AnswerBy)
	time.Sleep(schedule.AcceptUntil - clock.Boot())
	server.Shutdown(schedule)
	node.Stop()
	server.WaitClosed(schedule)
	return nil
}

// stopSignal returns a channel that is closed on SIGTERM or SIGINT. SIGHUP only
// announces changed settings and is logged: the settings are read again when they
// are next needed.
func stopSignal(signals <-chan os.Signal, log logr.Logger) <-chan struct{} {
	stop := make(chan struct{})
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				log.Info("settings changed; they are read again when needed")
				continue
			}
			log.Info("stopping", "signal", s.String())
			close(stop)
			return
		}
	}()
	return stop
}

func serveMetrics(s *platform.Settings, observer *metrics.Platform, log logr.Logger) {
	mux := http.NewServeMux()
	mux.Handle(metricsPath, promhttp.HandlerFor(observer.Registry(), promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests}))
	server := &http.Server{
		Addr: s.Host + ":" + strconv.Itoa(s.MetricsPort), Handler: mux, MaxHeaderBytes: maxMetricsHeader,
		ReadHeaderTimeout: time.Second, ReadTimeout: metricsTimeout, WriteTimeout: 2 * metricsTimeout,
	}
	if s.Profiles {
		mux.HandleFunc(profilePath, pprof.Index)
		mux.HandleFunc(profilePath+"profile", pprof.Profile)
		mux.HandleFunc(profilePath+"trace", pprof.Trace)
		server.WriteTimeout = profileTimeout
		log.Info("profiles are served", "port", s.MetricsPort, "path", profilePath)
	}
	go func() { log.Info("metrics server stopped", "error", server.ListenAndServe().Error()) }()
}
