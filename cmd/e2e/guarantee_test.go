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
	// reclaimBound is the bound of the design page for the start of urgent
	// work; a lost owner adds an election of two timeouts, a lost worker its
	// lease and the margin.
	reclaimBound = 4800 * time.Millisecond
	electionTime = 2 * time.Second
	// reportLag delays each message between a worker and the hosts, one way.
	reportLag = 150 * time.Millisecond
)

// fill occupies all workers with bulk jobs of a customer without a guarantee.
func (w *workforce) fill() map[string]int {
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

func (w *workforce) awaitReclaim(id string, submitted time.Time, bound time.Duration) {
	Eventually(func() int { return w.log.Running(id) }, bound+5*time.Second, "20ms").Should(Equal(64))
	took := time.Since(submitted)
	AddReportEntry("reclaimed after", took.String(), ReportEntryVisibilityAlways)
	Expect(took).To(BeNumerically("<", bound))
}

// loseMember kills a worker of the rack that is being taken back for a job,
// before the gang has started.
func (w *workforce) loseMember(id string) {
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

// laggingHosts returns addresses at which hosts are reached with a lag. The
// owner comes first, because a worker that calls another host is told the
// direct address of the owner.
func (c *cluster) laggingHosts(list []*process) []string {
	var lagged []string
	owner := c.owner(oerlikon)
	for _, p := range list {
		r, err := standin.NewRelay(p.http, standin.NewLink(reportLag, 0))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Close)
		at := len(lagged)
		if p == owner {
			at = 0
		}
		lagged = slices.Insert(lagged, at, "http://"+r.Address())
	}
	return lagged
}

var _ = Describe("A guarantee (P1)", func() {
	// Guards against bulk jobs that keep the accelerators of a guarantee, also
	// while the owner that has to take them back is lost.
	DescribeTable("is met while bulk jobs of others fill the failure domain", func(ownerLost bool, bound time.Duration) {
		c, w := jobDeployment(16)
		sizes := w.fill()
		submitted := time.Now()
		id := c.submitGuaranteed(sizes)
		if ownerLost {
			c.owner(oerlikon).kill()
		}
		w.awaitReclaim(id, submitted, bound)
		w.check(sizes)
	},
		Entry("with all hosts up", false, reclaimBound),
		Entry("with the owner killed after the submission", true, reclaimBound+electionTime),
	)

	// Guards against a reclaim that waits for a worker that is lost in the rack
	// it takes back, that gives accelerators away before their tasks have ended,
	// or that needs a majority outside the failure domain. Reports and orders of
	// the workers lag.
	DescribeTable("is met with lagging reports while a worker is lost", func(cutOff bool, bound time.Duration) {
		c := jobHosts()
		local := c.inDomain(oerlikon)
		Eventually(func() string { return c.owner(oerlikon).domain }, "5s", "50ms").Should(Equal(oerlikon))
		w := startWorkersAt(c, 16, c.laggingHosts(local))
		sizes := w.fill()
		if cutOff {
			c.cut(true, local...)
		}
		submitted := time.Now()
		id := c.submitGuaranteed(sizes)
		w.loseMember(id)
		w.awaitReclaim(id, submitted, bound)
		c.cut(false, local...)
		w.check(sizes)
	},
		Entry("with all hosts up", false, reclaimBound+jobLease+leaseMargin),
		// The cut may take the owner away.
		Entry("in a failure domain that is cut off", true, reclaimBound+jobLease+leaseMargin+electionTime),
	)
})
