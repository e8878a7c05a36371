package target

import (
	"bufio"
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Bounds of the control overhead on each host and worker: CPU in percent of a
// core, resident memory in MB and traffic in KB/s.
const (
	cpuBoundPercent         = 1.8
	memoryBoundMB           = 64
	trafficBoundKBPerSecond = 19
	bytesPerKB              = 1_000
	// idleSettleTime passes before the first sample, so that the start of jobs is
	// not measured.
	idleSettleTime = time.Second
	percent        = 100
	// peerBytesMetric counts the bytes exchanged with the other hosts.
	peerBytesMetric = "cranberrydrum_peer_bytes_total"
)

// idle measures the hosts and the workers while the jobs run and no job, worker or
// rule changes.
func (r *run) idle() error {
	time.Sleep(idleSettleTime)
	before, err := r.sampleUsage()
	if err != nil {
		return err
	}
	time.Sleep(r.size.idleTime)
	after, err := r.sampleUsage()
	if err != nil {
		return err
	}
	for i, h := range r.cluster.hosts {
		r.addHostRows(h, before[i], after[i])
	}
	r.addWorkerRows(before[len(before)-1], after[len(after)-1])
	return nil
}

// sampleUsage returns the usage of each host and, as the last element, of this
// process.
func (r *run) sampleUsage() ([]usage, error) {
	var all []usage
	for _, h := range r.cluster.hosts {
		peerBytes, err := h.peerBytes()
		if err != nil {
			return nil, err
		}
		u, err := usageOf(h.cmd.Process.Pid)
		if err != nil {
			return nil, err
		}
		u.peerBytes, u.httpBytes = peerBytes, float64(r.fleet.bytes[h.http].Load())
		all = append(all, u)
	}
	own, err := usageOf(os.Getpid())
	own.httpBytes = float64(r.fleet.totalBytes())
	return append(all, own), err
}

// peerBytes returns the bytes exchanged with other hosts in both directions.
func (h *host) peerBytes() (float64, error) {
	status, body, err := fasthttp.Get(nil, "http://"+h.http+"/metrics")
	if err != nil || status != fasthttp.StatusOK {
		return 0, &SetupError{Step: "metrics of " + h.id, Cause: err}
	}
	sum := 0.0
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), "} ")
		if found && strings.HasPrefix(name, peerBytesMetric+"{") {
			n, _ := strconv.ParseFloat(value, 64)
			sum += n
		}
	}
	return sum, nil
}

// addHostRows adds the usage of a host between two samples.
func (r *run) addHostRows(h *host, before, after usage) {
	seconds := after.at.Sub(before.at).Seconds()
	role := ""
	if r.cluster.leader(h.domain) == h {
		role = "leads the log of its failure domain"
	}
	cpu := percent * (after.cpu - before.cpu) / seconds
	r.add(bounded("host "+h.id+", CPU", "% of a core", cpuBoundPercent, cpu, role),
		bounded("host "+h.id+", resident memory", "MB", memoryBoundMB, after.megabytes, role),
		bounded("host "+h.id+", traffic with hosts", "KB/s", trafficBoundKBPerSecond, (after.peerBytes-before.peerBytes)/seconds/bytesPerKB, role),
		unbounded("host "+h.id+", traffic with workers", "KB/s", (after.httpBytes-before.httpBytes)/seconds/bytesPerKB, role))
}

// addWorkerRows divides the usage of this process by the number of workers. The
// figures are upper bounds for one agent, because the relays run in this process
// too.
func (r *run) addWorkerRows(before, after usage) {
	seconds := after.at.Sub(before.at).Seconds()
	workers := float64(r.size.workers)
	note := "this process divided by the workers, relays included"
	r.add(bounded("agent of a worker, CPU", "% of a core", cpuBoundPercent, percent*(after.cpu-before.cpu)/seconds/workers, note),
		bounded("agent of a worker, memory", "MB", memoryBoundMB, after.megabytes/workers, note),
		bounded("agent of a worker, traffic", "KB/s", trafficBoundKBPerSecond, (after.httpBytes-before.httpBytes)/seconds/workers/bytesPerKB, "payload of TCP in both directions"))
}
