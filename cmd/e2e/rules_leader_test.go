package e2e_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// disturbance harms the leader of the configuration and returns how to undo it.
type disturbance func(c *cluster, leader *process) (undo func())

// Guards against a leader that goes on accepting changes after another one was
// elected, and against a host that follows the wrong one of the two.
var _ = DescribeTable("Configuration while its leader is in trouble (P8)",
	func(disturb disturbance) {
		c := newCluster(sixHosts)
		c.begin(baseRules())
		w := watchVersions(c)
		o := startOperators(c, 3)
		time.Sleep(time.Second)
		var leader *process
		Eventually(func() *process {
			leader = c.leader("config", c.hosts...)
			return leader
		}, "5s", "50ms").ShouldNot(BeNil())
		from := time.Now()
		undo := disturb(c, leader)
		time.Sleep(4 * time.Second)
		undo()
		healed := time.Now()
		time.Sleep(3 * time.Second)
		o.done()
		time.Sleep(inForceBound)
		o.check(w, from, healed, map[string]bool{leader.id: true})
	},
	Entry("is frozen and woken", disturbance(func(_ *cluster, leader *process) func() {
		leader.freeze()
		return leader.thaw
	})),
	Entry("is heard by nobody but hears the others", disturbance(func(c *cluster, leader *process) func() {
		c.cutFrom(true, leader)
		return func() { c.cutFrom(false, leader) }
	})),
	Entry("hears nobody but is heard by the others", disturbance(func(c *cluster, leader *process) func() {
		c.cutTo(true, leader)
		return func() { c.cutTo(false, leader) }
	})),
)

// killLeader kills the leader of the configuration as soon as one of the given
// hosts leads it.
func (c *cluster) killLeader(among ...*process) *process {
	var leader *process
	Eventually(func() bool {
		leader = c.leader("config", among...)
		return leader != nil && slices.Contains(among, leader)
	}, "10s", "5ms").Should(BeTrue())
	leader.kill()
	return leader
}

var _ = Describe("Configuration while its leader is lost twice (P8)", func() {
	// Guards against an accepted change that only the two lost leaders had, and
	// against a second winner for its version: the successor is killed before it
	// has committed much of its own, in the middle of the changes.
	It("keeps what was accepted when the successor is killed as soon as it leads", func() {
		c := newCluster(sixHosts)
		c.begin(baseRules())
		w := watchVersions(c)
		o := startOperators(c, 3)
		time.Sleep(500 * time.Millisecond)
		from := time.Now()
		first := c.killLeader(c.hosts...)
		next := c.killLeader(c.others(first)...)
		between := time.Since(from)
		Eventually(func() bool {
			return slices.Contains(c.others(first, next), c.leader("config", c.others(first, next)...))
		}, "10s", "20ms").Should(BeTrue())
		first.start()
		next.start()
		started := time.Now()
		time.Sleep(500 * time.Millisecond)
		o.done()
		time.Sleep(inForceBound)
		AddReportEntry("second loss", fmt.Sprint(next.id, " ", between, " after ", first.id), ReportEntryVisibilityAlways)
		o.check(w, from, started, map[string]bool{first.id: true, next.id: true})
	})
})
