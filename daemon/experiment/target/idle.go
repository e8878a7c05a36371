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

// Bounds of the control overhead on each node.
const (
	cpuBound    = 1.8
	memoryBound = 64
	trafficKB   = 19
	bytesPerKB  = 1_000
	// calmTime passes before the observation, so that no start is part of it.
	calmTime = time.Second
	percent  = 100
	// peerBytesMetric counts the bytes exchanged with the other hosts.
	peerBytesMetric = "cranberrydrum_peer_bytes_total"
)

// idle measures the hosts and the workers while the jobs run and nothing changes.
func (r *run) idle() error {
	time.Sleep(calmTime)
	before, err := r.observe()
	if err != nil {
		return err
	}
	time.Sleep(r.size.idle)
	after, err := r.observe()
	if err != nil {
		return err
	}
	for i, h := range r.cluster.hosts {
		r.hostRows(h, before[i], after[i])
	}
	r.workerRows(before[len(before)-1], after[len(after)-1])
	return nil
}

// observe returns the usage of each host and of this process.
func (r *run) observe() ([]usage, error) {
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
	own.httpBytes = float64(r.fleet.total())
	return append(all, own), err
}

// peerBytes sums the bytes exchanged with other hosts in both directions.
func (h *host) peerBytes() (float64, error) {
	status, body, err := fasthttp.Get(nil, "http://"+h.http+"/metrics")
	if err != nil || status != fasthttp.StatusOK {
		return 0, &SetupError{What: "metrics of " + h.id, Cause: err}
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

func (r *run) hostRows(h *host, before, after usage) {
	seconds := after.at.Sub(before.at).Seconds()
	role := ""
	if r.cluster.leader(h.domain) == h {
		role = "leads the log of its failure domain"
	}
	cpu := percent * (after.cpu - before.cpu) / seconds
	r.add(bounded("host "+h.id+", CPU", "% of a core", cpuBound, cpu, role),
		bounded("host "+h.id+", resident memory", "MB", memoryBound, after.megabytes, role),
		bounded("host "+h.id+", traffic with hosts", "KB/s", trafficKB, (after.peerBytes-before.peerBytes)/seconds/bytesPerKB, role),
		free("host "+h.id+", traffic with workers", "KB/s", (after.httpBytes-before.httpBytes)/seconds/bytesPerKB, role))
}

// workerRows divides what this process uses among the workers. The figures are
// upper bounds of the agents, because the relays run in this process too.
func (r *run) workerRows(before, after usage) {
	seconds := after.at.Sub(before.at).Seconds()
	workers := float64(r.size.workers)
	note := "this process divided by the workers, relays included"
	r.add(bounded("agent of a worker, CPU", "% of a core", cpuBound, percent*(after.cpu-before.cpu)/seconds/workers, note),
		bounded("agent of a worker, memory", "MB", memoryBound, after.megabytes/workers, note),
		bounded("agent of a worker, traffic", "KB/s", trafficKB, (after.httpBytes-before.httpBytes)/seconds/workers/bytesPerKB, "payload of TCP in both directions"))
}
