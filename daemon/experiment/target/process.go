package target

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cranberrydrum.dev/daemon/api"
)

// host is one host and its cranberrydrumd process.
type host struct {
	id, domain, region string
	http, peer         string
	args               []string
	cmd                *exec.Cmd
	exited             chan struct{}
	client             *api.Client
}

// start starts the daemon. Its log is appended to a file in logDir.
func (h *host) start(daemon, logDir string) error {
	log, err := os.OpenFile(filepath.Join(logDir, h.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logFileMode)
	if err != nil {
		return &SetupError{Step: "log of " + h.id, Cause: err}
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(daemon, h.args...)
	cmd.Stderr = log
	// The kernel kills the daemon when this process ends, so that an interrupted
	// run leaves no hosts behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return &SetupError{Step: "host " + h.id, Cause: err}
	}
	h.cmd, h.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(h.exited)
	return nil
}

const logFileMode = 0o600

// kill kills the process without a graceful shutdown and waits for its end.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
	h.cmd = nil
}

// usage is the resource usage of a process: CPU time in seconds and bytes since its
// start, and the present resident memory.
type usage struct {
	at        time.Time
	cpu       float64
	megabytes float64
	peerBytes float64
	httpBytes float64
}

const (
	// ticksPerSecond is the unit of CPU times in /proc/PID/stat on Linux.
	ticksPerSecond = 100
	// userTimeField is the index of the user time in /proc/PID/stat, counted from
	// the field after the command. The system time follows it.
	userTimeField = 11
	// statmResident is the index of the resident pages in /proc/PID/statm.
	statmResident = 1
	bytesPerMB    = 1 << 20
)

// usageOf reads the CPU time in seconds and the resident memory of a process.
func usageOf(pid int) (usage, error) {
	u := usage{at: time.Now()}
	stat, err := procFields(pid, "stat")
	if err != nil {
		return u, err
	}
	statm, err := procFields(pid, "statm")
	if err != nil {
		return u, err
	}
	if len(stat) <= userTimeField+1 || len(statm) <= statmResident {
		return u, StateError("process " + strconv.Itoa(pid) + " has too few fields in /proc/PID/stat or /proc/PID/statm")
	}
	user, _ := strconv.ParseFloat(stat[userTimeField], 64)
	system, _ := strconv.ParseFloat(stat[userTimeField+1], 64)
	pages, _ := strconv.ParseFloat(statm[statmResident], 64)
	u.cpu = (user + system) / ticksPerSecond
	u.megabytes = pages * float64(os.Getpagesize()) / bytesPerMB
	return u, nil
}

// procFields returns the fields of a file in /proc/PID after the command, if the
// file has one.
func procFields(pid int, file string) ([]string, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/" + file)
	if err != nil {
		return nil, &SetupError{Step: "process " + strconv.Itoa(pid), Cause: err}
	}
	text := string(data)
	return strings.Fields(text[strings.LastIndexByte(text, ')')+1:]), nil
}

// machineLoad returns the load averages over 1, 5 and 15 minutes.
func machineLoad() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}
