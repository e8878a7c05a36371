package node

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/daemon/metrics"
	"cranberrydrum.dev/scheduler/domain"
)

// Guards against an owner that drops its controller whenever a slow disk sync
// loses the leader lease for a moment, and against one that acts without the
// lease or keeps the controller of another term.
func TestOwnerKeepsItsControllerWithinATerm(t *testing.T) {
	g := NewWithT(t)
	o := &domainOwner{domain: "d", state: domain.New(), config: newConfigStore(), lease: 6 * time.Second, metrics: metrics.New(), log: logr.Discard()}
	now := time.Duration(0)
	step := func(term uint64, role raft.Role, lease, restored bool) {
		now += 20 * time.Millisecond
		o.Step(now, group.View{Status: raft.Status{Term: term, Role: role}, HoldsLease: lease, Ready: lease, Restored: restored})
	}
	step(1, raft.RoleLeader, true, false)
	first := o.controller
	g.Expect(o.isActive()).To(BeTrue())
	step(1, raft.RoleLeader, false, false)
	g.Expect(o.isActive()).To(BeFalse(), "without the lease")
	step(1, raft.RoleLeader, true, false)
	g.Expect(o.isActive()).To(BeTrue())
	g.Expect(o.controller).To(BeIdenticalTo(first))
	step(1, raft.RoleLeader, false, true)
	g.Expect(o.controller).To(BeNil(), "a snapshot replaced the state")
	step(1, raft.RoleLeader, true, false)
	step(1, raft.RoleLeader, false, false)
	step(1, raft.RoleFollower, false, false)
	g.Expect(o.controller).To(BeNil(), "another host may lead")
	step(2, raft.RoleLeader, true, false)
	second := o.controller
	step(3, raft.RoleLeader, true, false)
	g.Expect(o.controller).NotTo(BeIdenticalTo(second), "another term")
}
