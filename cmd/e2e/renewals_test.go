package e2e_test

import (
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/api"
)

// calledBytes sums the bytes of calls that a host sent to others.
func (c *cluster) calledBytes(p *process) float64 {
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
		// away is longer than an election and than a worker waits for an answer,
		// and shorter than the default lease of 6 s.
		away  = 5 * time.Second
		quiet = 2 * time.Second
		// fewBytes is less than one renewal that is passed on.
		fewBytes = 100
	)

	// Guards against renewals that keep passing through other hosts, and against
	// workers that lose their lease, and with it their tasks, because the owner
	// that they renew with directly is frozen or cut off, or because they go on
	// with it when it has lost its leadership.
	It("go to the owner directly and elsewhere when it is frozen or cut off", func() {
		c := newCluster(threeHosts)
		c.begin(baseRules())
		c.owner(oerlikon)
		var urls []string
		for _, p := range []*process{c.host("alt-1"), c.host("oer-1"), c.host("oer-2")} {
			urls = append(urls, "http://"+p.http)
		}
		w := startWorkersAt(c, workers, urls)
		id := c.submit(api.JobSubmitRequest{Name: "long", Customer: customer, Accelerators: members, DeclaredRuntimeMS: 60_000, Command: []string{"run", "60s"}})
		Eventually(func() int { return w.log.Running(id) }, "8s", "20ms").Should(Equal(members))

		entry := c.host("alt-1")
		passedOn := func() float64 {
			before := c.calledBytes(entry)
			time.Sleep(quiet)
			return c.calledBytes(entry) - before
		}
		Expect(passedOn()).To(BeNumerically("<", fewBytes))

		owner := c.owner(oerlikon)
		owner.freeze()
		Consistently(func() int { return w.log.Running(id) }, away, "20ms").Should(Equal(members), "with a frozen owner")
		owner.thaw()
		next := c.owner(oerlikon, c.others(owner)...)
		Expect(next).NotTo(Equal(owner))

		c.cut(true, next)
		Consistently(func() int { return w.log.Running(id) }, away, "20ms").Should(Equal(members), "with an owner that is cut off")
		c.cut(false, next)
		Consistently(func() int { return w.log.Running(id) }, away, "20ms").Should(Equal(members), "after the cut")
		Expect(w.log.Starts()).To(HaveLen(workers), "no task was started again")
		Eventually(passedOn, "20s").Should(BeNumerically("<", fewBytes))
		Expect(w.log.Faults()).To(BeEmpty())
	})
})
