package e2e_test

import (
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/api"
)

// sentCallBytes returns the number of bytes of calls that a host sent to other
// hosts, summed over the matching metrics.
func (c *cluster) sentCallBytes(p *process) float64 {
	a, err := c.do(p, "GET", api.PathMetrics, "", nil, nil)
	Expect(err).NotTo(HaveOccurred())
	sum := 0.0
	for line := range strings.Lines(string(a.body)) {
		name, value, found := strings.Cut(strings.TrimSpace(line), "} ")
		if !found || !strings.HasPrefix(name, "cranberrydrum_peer_bytes_total{") {
			continue
		}
		if strings.Contains(name, `direction="sent"`) && strings.Contains(name, `kind="call"`) {
			n, err := strconv.ParseFloat(value, 64)
			Expect(err).NotTo(HaveOccurred())
			sum += n
		}
	}
	return sum
}

var _ = Describe("Renewals", func() {
	const (
		workers = 2
		members = workers * accelerators
		// disruptionTime is longer than an election and than a worker waits for
		// a response, and shorter than the default lease of 6 s.
		disruptionTime = 5 * time.Second
		sampleTime     = 2 * time.Second
		// maxForwardedBytes is less than the size of one forwarded renewal.
		maxForwardedBytes = 100
	)

	// Guards against renewals that are always forwarded by other hosts, and
	// against workers that lose their lease and thus their tasks, either because
	// the owner with which they renew directly is frozen or partitioned, or
	// because they continue to renew with an owner that has lost its leadership.
	It("go to the owner directly and elsewhere when it is frozen or cut off", func() {
		c := newCluster(threeHosts)
		c.applyInitialRules(baseRules())
		c.awaitOwner(oerlikon)
		var urls []string
		for _, p := range []*process{c.host("alt-1"), c.host("oer-1"), c.host("oer-2")} {
			urls = append(urls, "http://"+p.http)
		}
		w := startWorkersAt(c, workers, urls)
		id := c.submit(api.JobSubmitRequest{Name: "long", Customer: customer, Accelerators: members, DeclaredRuntimeMS: 60_000, Command: []string{"run", "60s"}})
		Eventually(func() int { return w.log.Running(id) }, "8s", "20ms").Should(Equal(members))

		entry := c.host("alt-1")
		forwardedBytes := func() float64 {
			before := c.sentCallBytes(entry)
			time.Sleep(sampleTime)
			return c.sentCallBytes(entry) - before
		}
		Expect(forwardedBytes()).To(BeNumerically("<", maxForwardedBytes))

		owner := c.awaitOwner(oerlikon)
		owner.freeze()
		Consistently(func() int { return w.log.Running(id) }, disruptionTime, "20ms").Should(Equal(members), "with a frozen owner")
		owner.unfreeze()
		next := c.awaitOwner(oerlikon, c.others(owner)...)
		Expect(next).NotTo(Equal(owner))

		c.setCut(true, next)
		Consistently(func() int { return w.log.Running(id) }, disruptionTime, "20ms").Should(Equal(members), "with an owner that is cut off")
		c.setCut(false, next)
		Consistently(func() int { return w.log.Running(id) }, disruptionTime, "20ms").Should(Equal(members), "after the cut")
		Expect(w.log.Starts()).To(HaveLen(workers), "no task was started again")
		Eventually(forwardedBytes, "20s").Should(BeNumerically("<", maxForwardedBytes))
		Expect(w.log.Violations()).To(BeEmpty())
	})
})
