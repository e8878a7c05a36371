package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimitMB is memory_mb of the settings.
	memoryLimitMB = 280
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = time.Second
)

// memoryWatch kills each control process that uses more than memory_mb and starts it again,
// as the platform does.
type memoryWatch struct {
	d *deployment

	mu    sync.Mutex
	kills map[int]int
	peak  float64
}

func newMemoryWatch(d *deployment) *memoryWatch {
	w := &memoryWatch{d: d, kills: map[int]int{}}
	for host := 1; host <= controlHosts; host++ {
		go w.watch(host)
	}
	return w
}

func (w *memoryWatch) watch(host int) {
	for ; ; time.Sleep(50 * time.Millisecond) {
		w.d.mu.Lock()
		p, isOver := w.d.processes[host], w.d.isOver
		w.d.mu.Unlock()
		if isOver {
			return
		}
		used := anonymousMB(p.cmd.Process.Pid)
		w.mu.Lock()
		w.peak = max(w.peak, used)
		w.mu.Unlock()
		if used <= memoryLimitMB {
			continue
		}
		w.mu.Lock()
		w.kills[host]++
		w.d.rec.line("platform: core-%d uses %.0f MB of %d and is killed, time %d", host, used, memoryLimitMB, w.kills[host])
		w.mu.Unlock()
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
		time.Sleep(restartDelay)
		if err := w.d.start(host, roleControl, false); err != nil {
			return
		}
		w.d.rec.line("platform: core-%d is started again", host)
	}
}

// killedTimes returns how many hosts were killed at least n times, and the highest use.
func (w *memoryWatch) killedTimes(n int) (hosts int, peak float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, kills := range w.kills {
		if kills >= n {
			hosts++
		}
	}
	return hosts, w.peak
}

// anonymousMB is the anonymous memory of a process: its program file does not count.
func anonymousMB(pid int) float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(data), "\n") {
		if text, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes := 0.0
			_, _ = fmt.Sscanf(strings.TrimSpace(text), "%f", &kilobytes)
			return kilobytes / 1024
		}
	}
	return 0
}

// playScheduled submits jobs that run every hour for a year, at the rate of the site, and
// asks for them after the end of the traffic.
func playScheduled(d *deployment, trouble bool) (bool, error) {
	const (
		jobs  = 130
		pause = 315 * time.Millisecond
		// finishTime is finish_s of the settings.
		finishTime = 14 * time.Second
		asked      = 4
		askPause   = 3 * time.Second
	)
	if err := d.configure(newConfiguration(1, newRoute("r-3ajwyy7"))); err != nil {
		return false, err
	}
	behave := func(string, string, int) (time.Duration, string) { return time.Second, "done" }
	if err := d.startExecutors(behave, nil); err != nil {
		return false, err
	}
	watch := newMemoryWatch(d)
	repeats := 8
	if trouble {
		repeats = 365 * 24
	}
	first := time.Now().Add(time.Hour).UnixMilli()
	var clients sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	for i := range jobs {
		path := fmt.Sprintf("%s%016x", routePrefix, i+1)
		body := fmt.Sprintf(`{"spec":"x","steps":[{"count":4,"cpu":1000,"mem_mb":256,"estimate_ms":2000}],"repeat_count":%d,"first_run_ms":%d,"interval_ms":3600000}`, repeats, first)
		clients.Go(func() {
			status, text, attempts := d.persist(http.MethodPost, path, body)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				accepted = append(accepted, path)
			}
			_, peak := watch.killedTimes(1)
			d.rec.line("client: POST %s %s -> %d %s, attempt %d (most memory of a core process so far: %.0f MB)", path, body, status, text, attempts, peak)
		})
		time.Sleep(pause)
	}
	clients.Wait()
	d.rec.line("the traffic ends, %d jobs are accepted", len(accepted))
	if len(accepted) < asked {
		return false, fmt.Errorf("too few jobs accepted")
	}
	time.Sleep(finishTime)
	answered := 0
	for _, path := range accepted[:asked] {
		clients.Go(func() {
			status, text, attempts := d.persist(http.MethodGet, path, "")
			d.rec.line("client: GET %s -> %d %s, attempt %d", path, status, text, attempts)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				answered++
			}
		})
		time.Sleep(askPause)
	}
	clients.Wait()
	hosts, peak := watch.killedTimes(3)
	d.rec.line("%d of %d core processes were killed three times or more for their memory, the most used %.0f MB", hosts, controlHosts, peak)
	d.rec.line("%d of %d accepted jobs were answered", answered, asked)
	return answered < asked, nil
}

// clientRetries is how often a client of the site sends a call again.
const clientRetries = 4

// persist makes a call as a client of the site: it waits for 3 s and sends the call again
// after 0.5 s, up to clientRetries times.
func (d *deployment) persist(method, path, body string) (status int, text string, attempts int) {
	for attempts = 1; ; attempts++ {
		status, text = d.call(method, d.address(entryHost, portFrontend)+path, routeHost, body)
		if status == http.StatusOK || attempts > clientRetries {
			return status, text, attempts
		}
		time.Sleep(500 * time.Millisecond)
	}
}
