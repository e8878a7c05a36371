package e2e_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	// jobLease is the worker lease in these specs. The default of 6 s would make
	// them too long, and the relation between lease and margin does not depend
	// on the length of the lease.
	jobLease = 2 * time.Second
	// leaseMargin is how long the owner waits beyond the end of a lease.
	leaseMargin = time.Second
	// partialRunBound is how long a gang may run with only part of its members.
	// A member that the owner cannot reach stops when its own lease ends; the
	// others stop as soon as they receive the order.
	partialRunBound = jobLease + leaseMargin + time.Second
	workersPerRack  = 8
	accelerators    = 8
)

// workerPool is the set of workers of zrh-oerlikon: two racks of 8.
type workerPool struct {
	c       *cluster
	log     *standin.TaskLog
	workers []*standin.Worker
}

func startWorkers(c *cluster, count int) *workerPool {
	return startWorkersAt(c, count, c.hostURLs(oerlikon))
}

// startWorkersAt starts workers that call the given entry hosts.
func startWorkersAt(c *cluster, count int, urls []string) *workerPool {
	return startWorkersWith(c, count, func(_ int, cfg *standin.WorkerConfig) { cfg.Hosts = urls })
}

// alternateHosts makes every second worker call the second host first. The
// workers are redirected to the owner and fall back to the two hosts when it
// fails.
func alternateHosts(i int, cfg *standin.WorkerConfig) {
	if i%2 == 1 {
		slices.Reverse(cfg.Hosts)
	}
}

func workerID(i int) string { return fmt.Sprintf("w-%02d", i) }

// startWorkersWith starts workers whose configuration is adjusted by change.
func startWorkersWith(c *cluster, count int, change func(i int, cfg *standin.WorkerConfig)) *workerPool {
	w := &workerPool{c: c, log: standin.NewTaskLog()}
	for i := range count {
		cfg := standin.WorkerConfig{
			Worker: structs.Worker{ID: workerID(i), Domain: oerlikon, Rack: fmt.Sprintf("rack-%d", i/workersPerRack),
				Accelerators: accelerators, Cores: 64, MemoryMB: 256 << 10},
			Hosts: c.hostURLs(oerlikon), Token: workerToken, RenewInterval: 300 * time.Millisecond,
			CheckpointTime: 50 * time.Millisecond, Log: w.log,
		}
		change(i, &cfg)
		worker := standin.NewWorker(cfg)
		w.workers = append(w.workers, worker)
		DeferCleanup(worker.Kill)
	}
	return w
}

// submit submits a job through any host that accepts it and returns its id.
func (c *cluster) submit(r api.JobSubmitRequest) string {
	r.FailureDomain = oerlikon
	body, err := json.Marshal(r)
	Expect(err).NotTo(HaveOccurred())
	var job api.Job
	attempt := 0
	Eventually(func() string {
		p := c.hosts[attempt%len(c.hosts)]
		attempt++
		a, err := c.doWithTimeout(6*time.Second, p, "POST", api.PathJobs, operatorToken, nil, body)
		if err != nil {
			return err.Error()
		}
		_ = json.Unmarshal(a.body, &job)
		return a.String()
	}, "15s", "50ms").Should(HavePrefix("200"))
	return job.ID
}

// job returns a job as reported by the first host that knows it.
func (c *cluster) job(id string) api.Job {
	var job api.Job
	for _, p := range c.hosts {
		if c.getJSON(p, api.JobPath(id), &job) {
			return job
		}
	}
	return job
}

func (c *cluster) awaitSucceeded(bound string, ids ...string) {
	Eventually(func() []string {
		var unfinished []string
		for _, id := range ids {
			if job := c.job(id); job.Status != structs.JobSucceeded {
				unfinished = append(unfinished, id+" "+string(job.Status)+" "+job.Reason)
			}
		}
		return unfinished
	}, bound, "100ms").Should(BeEmpty())
}

// check requires that no accelerator was used by two tasks at once, that no job
// had two concurrent runs, and that no gang ran partially for longer than
// partialRunBound, neither at its start nor after its first member had ended.
func (w *workerPool) check(sizes map[string]int) {
	Expect(w.log.Violations()).To(BeEmpty())
	type run struct {
		job string
		run uint64
	}
	used := map[run]int{}
	first, last := map[run]time.Time{}, map[run]time.Time{}
	started, ended := map[run]time.Time{}, map[run]time.Time{}
	for _, s := range w.log.Starts() {
		r := run{s.Job, s.Run}
		used[r] += len(s.Accelerators)
		if first[r].IsZero() {
			first[r] = s.At
		}
		if s.Ended.IsZero() {
			s.Ended = time.Now()
		}
		if s.Ended.After(last[r]) {
			last[r] = s.Ended
		}
		started[r] = s.At
		if ended[r].IsZero() || s.Ended.Before(ended[r]) {
			ended[r] = s.Ended
		}
	}
	whole, partial := 0, 0
	for r, n := range used {
		if n >= sizes[r.job] {
			whole++
			Expect(started[r].Sub(first[r])).To(BeNumerically("<", partialRunBound), "job %s run %d until its last member started", r.job, r.run)
			Expect(last[r].Sub(ended[r])).To(BeNumerically("<", partialRunBound), "job %s run %d after its first member ended", r.job, r.run)
			continue
		}
		partial++
		Expect(last[r].Sub(first[r])).To(BeNumerically("<", partialRunBound), "job %s run %d on %d of %d accelerators", r.job, r.run, n, sizes[r.job])
	}
	AddReportEntry("runs", fmt.Sprint(whole, " whole, ", partial, " ended before all members had started"), ReportEntryVisibilityAlways)
}

// submitGangs submits gangs of different sizes and returns their sizes by id.
func (c *cluster) submitGangs(count int, runtime time.Duration) (map[string]int, []string) {
	sizes := map[string]int{}
	var ids []string
	for i := range count {
		size := []int{8, 16, 32, 64}[i%4]
		id := c.submit(api.JobSubmitRequest{Name: "gang-" + strconv.Itoa(i), Customer: customer, Accelerators: size,
			DeclaredRuntimeMS: 1000, CheckpointTimeMS: 50, Command: []string{"run", runtime.String()}})
		sizes[id] = size
		ids = append(ids, id)
	}
	return sizes, ids
}

func startJobDeployment(workers int) (*cluster, *workerPool) {
	c := startJobHosts()
	return c, startWorkers(c, workers)
}

func startJobHosts() *cluster {
	c := newClusterWith(threeHosts, shortBalancerWait, "--worker-lease="+jobLease.String())
	c.applyInitialRules(baseRules())
	c.awaitOwner(oerlikon)
	return c
}

var _ = Describe("Jobs (P2)", func() {
	// Guards against a gang that keeps running partially, is started twice or is
	// lost when its owner fails between the steps reserve, prepare and start.
	It("keep gangs whole while their owner is killed and frozen", func() {
		c := startJobHosts()
		w := startWorkersWith(c, 16, alternateHosts)
		// The runs outlast an election, so that the first new owner finds them
		// running. The second new owner also finds runs that are reserved or
		// preparing.
		sizes, ids := c.submitGangs(8, freezeTime)
		Eventually(func() int { return len(w.log.Starts()) }, "10s", "10ms").Should(BeNumerically(">", 0))
		for round := range 2 {
			owner := c.awaitOwner(oerlikon)
			time.Sleep(time.Duration(150+170*round) * time.Millisecond)
			if round == 1 {
				owner.kill()
				owner.start()
				c.awaitReady(owner)
				continue
			}
			owner.freeze()
			time.Sleep(freezeTime)
			owner.unfreeze()
		}
		c.awaitSucceeded("25s", ids...)
		w.check(sizes)
	})

	// Guards against a worker that resumes after its lease has expired and
	// continues tasks that were reassigned, and against a gang that waits for
	// this worker forever.
	It("keep gangs whole while workers are frozen beyond their lease or killed", func() {
		c, w := startJobDeployment(16)
		sizes, ids := c.submitGangs(8, 900*time.Millisecond)
		time.Sleep(700 * time.Millisecond)
		resume := w.workers[0].Freeze()
		w.workers[1].Kill()
		time.Sleep(jobLease + leaseMargin + 500*time.Millisecond)
		resume()
		c.awaitSucceeded("20s", ids...)
		w.check(sizes)
	})

	// Guards against a failure domain that stops its jobs or accepts no new ones
	// while it is partitioned from the others.
	It("go on in a failure domain that is cut off", func() {
		c, w := startJobDeployment(16)
		sizes, ids := c.submitGangs(4, 700*time.Millisecond)
		local := c.inDomain(oerlikon)
		c.setCut(true, local...)
		time.Sleep(freezeTime)
		late := c.submit(api.JobSubmitRequest{Name: "late", Customer: customer, Accelerators: 64, DeclaredRuntimeMS: 500, Command: []string{"run", "300ms"}})
		sizes[late] = 64
		c.awaitSucceeded("12s", append(ids, late)...)
		c.setCut(false, local...)
		w.check(sizes)
	})
})
