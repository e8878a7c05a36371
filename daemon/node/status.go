package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/structs"
)

// statusCallTimeout bounds each call to another host for a status.
const statusCallTimeout = time.Second

// Build is the version of the program. It is set at link time.
var Build = "dev"

// refusalCounts counts refusals by code since the start of the process.
type refusalCounts struct {
	mu     sync.Mutex
	counts map[structs.Code]uint64
}

// CountRefusal counts a refusal that was sent to a client.
func (n *Node) CountRefusal(r *structs.Refusal) {
	n.metrics.CountRefusal(r)
	n.refusals.mu.Lock()
	defer n.refusals.mu.Unlock()
	n.refusals.counts[r.Code]++
}

func (c *refusalCounts) list() []api.RefusalCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]api.RefusalCount, 0, len(c.counts))
	for code, count := range c.counts {
		list = append(list, api.RefusalCount{Code: code, Count: count})
	}
	slices.SortFunc(list, func(a, b api.RefusalCount) int { return cmp.Compare(a.Code, b.Code) })
	return list
}

// domainReport is the status of a failure domain as reported by its owner.
type domainReport struct {
	Workers       []api.WorkerStatus   `msgpack:"w"`
	Fragmentation api.Fragmentation    `msgpack:"f"`
	Evacuation    api.EvacuationStatus `msgpack:"e"`
}

type domainQuery struct {
	Domain string `msgpack:"d"`
}

func (n *Node) handleDomainStatus(_ string, q *domainQuery, _ time.Duration) (any, error) {
	report := &domainReport{}
	err := n.readAsOwner(q.Domain, func(now time.Duration, o *domainOwner) error {
		report.Evacuation = evacuationOf(now, o)
		report.Workers = workersOf(o)
		report.Fragmentation = fragmentationOf(o, report.Workers)
		return nil
	})
	return report, err
}

// workersOf returns the workers of a failure domain with the number of
// accelerators in use.
func workersOf(o *domainOwner) []api.WorkerStatus {
	used := map[string]int{}
	for _, job := range o.state.Jobs().Jobs("") {
		for _, m := range job.Members {
			if !job.Status.Terminal() {
				used[m.Worker] += len(m.Accelerators)
			}
		}
	}
	workers := o.state.Jobs().Workers()
	list := make([]api.WorkerStatus, 0, len(workers))
	for _, w := range workers {
		status := api.WorkerStatus{Worker: w.Worker, Used: used[w.ID]}
		if w.Lost {
			status.Reason = "lost"
		}
		list = append(list, status)
	}
	return list
}

// fragmentationOf compares the largest gang that could start in one rack with the
// largest that could start if all free accelerators were in one rack of the
// largest size. The index is 0 without fragmentation and approaches 1 as the free
// accelerators spread over racks. It also sets the fragmentation metric.
func fragmentationOf(o *domainOwner, workers []api.WorkerStatus) api.Fragmentation {
	f := api.Fragmentation{FailureDomain: o.domain}
	freeInRack := map[string]int{}
	sizeOfRack := map[string]int{}
	for _, w := range workers {
		f.Total += w.Accelerators
		sizeOfRack[w.Rack] += w.Accelerators
		if w.Quarantined || w.Reason != "" {
			continue
		}
		free := w.Accelerators - w.Used
		f.Free += free
		freeInRack[w.Rack] += free
	}
	for _, free := range freeInRack {
		f.LargestGang = max(f.LargestGang, free)
	}
	largestRack := 0
	for _, size := range sizeOfRack {
		largestRack = max(largestRack, size)
	}
	if possible := min(f.Free, largestRack); possible > 0 {
		f.Index = 1 - float64(f.LargestGang)/float64(possible)
	}
	o.metrics.SetFragmentation(o.domain, f.Index)
	return f
}

// Status returns the status of the deployment as known to this host.
func (n *Node) Status(withWorkers bool) api.StatusResponse {
	current := n.config.current()
	status := api.StatusResponse{
		Host: api.HostStatus{
			ID:            n.cfg.HostID,
			FailureDomain: n.cfg.Domain,
			Region:        n.cfg.Region,
			Build:         Build,
			UptimeMS:      n.now().Milliseconds(),
			Stopping:      n.stopping.Load(),
			NotReady:      n.NotReadyReason(),
			Readiness:     n.config.readiness(),
		},
		Config:   api.ConfigStatus{Version: current.Version, Digest: current.Digest, Hosts: n.hostConfigs()},
		Groups:   n.Members(statusCallTimeout),
		Backends: n.backendStatus(),
		Queues:   n.queueStatus(),
		Refusals: n.refusals.list(),
	}
	n.addDomains(&status, withWorkers)
	return status
}

func (n *Node) hostConfigs() []api.HostConfig {
	configs := []api.HostConfig{{Host: n.cfg.HostID, FailureDomain: n.cfg.Domain, Version: n.config.version(), Reachable: true}}
	for _, h := range n.hosts.all() {
		configs = append(configs, api.HostConfig{
			Host:          h.ID,
			FailureDomain: h.Domain,
			Version:       h.status.ConfigVersion,
			Reachable:     h.fresh(n.now()),
			SeenMS:        n.age(h).Milliseconds(),
		})
	}
	slices.SortFunc(configs, func(a, b api.HostConfig) int { return cmp.Compare(a.Host, b.Host) })
	return configs
}

func (n *Node) backendStatus() []api.BackendStatus {
	running := map[string]int{}
	for _, s := range n.allServices() {
		for _, e := range s.publishedSnapshot().Executors {
			running[e.ID] = e.Running
		}
	}
	list := []api.BackendStatus{}
	for _, b := range n.backends.live(n.now()) {
		list = append(list, api.BackendStatus{Backend: b, InFlight: running[b.ID]})
	}
	return list
}

func (n *Node) queueStatus() []api.QueueStatus {
	list := []api.QueueStatus{}
	for _, s := range n.allServices() {
		snapshot := s.publishedSnapshot()
		for class, queued := range snapshot.Queued {
			list = append(list, api.QueueStatus{Service: s.name, Class: class, Queued: queued})
		}
	}
	slices.SortFunc(list, func(a, b api.QueueStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return list
}

// addDomains adds the fragmentation and the workers of each failure domain, as
// reported by its owner. It skips domains whose owner does not reply.
func (n *Node) addDomains(status *api.StatusResponse, withWorkers bool) {
	status.Quarantined = []api.WorkerStatus{}
	status.Fragmentation = []api.Fragmentation{}
	status.Evacuations = []api.EvacuationStatus{}
	for _, d := range n.domains() {
		report, err := callCurrentLeader[domainReport](n, domainGroup(d), methodDomainStatus, &domainQuery{Domain: d}, statusCallTimeout)
		if err != nil {
			continue
		}
		status.Fragmentation = append(status.Fragmentation, report.Fragmentation)
		if report.Evacuation.Evacuated {
			status.Evacuations = append(status.Evacuations, report.Evacuation)
		}
		for _, w := range report.Workers {
			if w.Quarantined {
				status.Quarantined = append(status.Quarantined, w)
			}
			if withWorkers {
				status.Workers = append(status.Workers, w)
			}
		}
	}
}
