package e2e_test

import (
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
	// reclaimBound is the bound of the design page on the start of urgent work.
	// The loss of the owner adds an election of two timeouts; the loss of a
	// worker adds its lease and the margin.
	reclaimBound = 4800 * time.Millisecond
	electionTime = 2 * time.Second
	// messageDelay is the one-way delay of each message between a worker and the
	// hosts.
	messageDelay = 150 * time.Millisecond
)

// fillWithBulkJobs occupies all workers with bulk jobs of a customer that has no
// guarantee, and returns the sizes of the jobs by id.
func (w *workerPool) fillWithBulkJobs() map[string]int {
	sizes := map[string]int{}
	for i := range w.workers {
		id := w.c.submit(api.JobSubmitRequest{Name: "bulk-" + strconv.Itoa(i), Customer: "lindt", Priority: "bulk", Accelerators: accelerators,
			DeclaredRuntimeMS: 60_000, CheckpointTimeMS: 50, Command: []string{"run", "60s"}})
		sizes[id] = accelerators
	}
	Eventually(func() int { return len(w.log.Starts()) }, "8s", "50ms").Should(Equal(len(w.workers)))
	return sizes
}

// submitGuaranteed submits a gang that needs the whole guaranteed rack.
func (c *cluster) submitGuaranteed(sizes map[string]int) string {
	id := c.submit(api.JobSubmitRequest{Name: "menu", Customer: customer, Priority: "urgent", Accelerators: 64, DeclaredRuntimeMS: 60_000, Command: []string{"run", "60s"}})
	sizes[id] = 64
	return id
}

func (w *workerPool) awaitReclaim(id string, submitted time.Time, bound time.Duration) {
	Eventually(func() int { return w.log.Running(id) }, bound+5*time.Second, "20ms").Should(Equal(64))
	took := time.Since(submitted)
	AddReportEntry("reclaimed after", took.String(), ReportEntryVisibilityAlways)
	Expect(took).To(BeNumerically("<", bound))
}

// killGangMember kills a worker of the rack that is being reclaimed for a job,
// before the gang has started.
func (w *workerPool) killGangMember(id string) {
	var members []structs.Member
	Eventually(func() []structs.Member {
		members = w.c.job(id).Members
		return members
	}, "5s", "10ms").ShouldNot(BeEmpty())
	Expect(w.log.Running(id)).To(BeZero())
	for i, worker := range w.workers {
		if workerID(i) == members[0].Worker {
			worker.Kill()
		}
	}
}

// delayedHostURLs returns the URLs of relays that reach the given hosts with a
// delay. The owner comes first: a worker that calls another host is redirected
// to the direct address of the owner and would bypass the delay.
func (c *cluster) delayedHostURLs(list []*process) []string {
	var delayed []string
	owner := c.awaitOwner(oerlikon)
	for _, p := range list {
		r, err := standin.NewRelay(p.http, standin.NewLink(messageDelay, 0))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Close)
		position := len(delayed)
		if p == owner {
			position = 0
		}
		delayed = slices.Insert(delayed, position, "http://"+r.Address())
	}
	return delayed
}

var _ = Describe("A guarantee (P1)", func() {
	// Guards against bulk jobs that keep the accelerators of a guarantee,
	// including while the owner that must reclaim them is lost.
	DescribeTable("is met while bulk jobs of others fill the failure domain", func(ownerLost bool, bound time.Duration) {
		c, w := startJobDeployment(16)
		sizes := w.fillWithBulkJobs()
		submitted := time.Now()
		id := c.submitGuaranteed(sizes)
		if ownerLost {
			c.awaitOwner(oerlikon).kill()
		}
		w.awaitReclaim(id, submitted, bound)
		w.check(sizes)
	},
		Entry("with all hosts up", false, reclaimBound),
		Entry("with the owner killed after the submission", true, reclaimBound+electionTime),
	)

	// Guards against a reclaim that waits for a worker lost in the reclaimed
	// rack, that reassigns accelerators before their tasks have ended, or that
	// needs a majority outside the failure domain. Reports and orders of the
	// workers are delayed.
	DescribeTable("is met with lagging reports while a worker is lost", func(cutOff bool, bound time.Duration) {
		c := startJobHosts()
		local := c.inDomain(oerlikon)
		Eventually(func() string { return c.awaitOwner(oerlikon).domain }, "5s", "50ms").Should(Equal(oerlikon))
		w := startWorkersAt(c, 16, c.delayedHostURLs(local))
		sizes := w.fillWithBulkJobs()
		if cutOff {
			c.setCut(true, local...)
		}
		submitted := time.Now()
		id := c.submitGuaranteed(sizes)
		w.killGangMember(id)
		w.awaitReclaim(id, submitted, bound)
		c.setCut(false, local...)
		w.check(sizes)
	},
		Entry("with all hosts up", false, reclaimBound+jobLease+leaseMargin),
		// The cut may isolate the owner, which requires an election.
		Entry("in a failure domain that is cut off", true, reclaimBound+jobLease+leaseMargin+electionTime),
	)
})
