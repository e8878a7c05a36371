package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/registry"
	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/scheduler/structs"
)

const testTTL = 3 * time.Second

var testBackend = structs.Backend{ID: "e", Service: "s", Domain: "d", Address: "e:1", Slots: 4, Connections: 8, Incarnation: 1, State: structs.BackendUp}

// suspendedDirectory returns a directory with one backend server, of a host that was
// suspended between two times.
func suspendedDirectory(g *WithT, from, to time.Duration) *backendDirectory {
	d := newBackendDirectory("d", testTTL)
	d.startAccepting(hostStatusInterval)
	g.Expect(d.announce(hostStatusInterval, testBackend, 1)).To(BeNil())
	for now := hostStatusInterval; now <= from; now += hostStatusInterval {
		d.digest(now)
	}
	d.live(to)
	return d
}

// Guards against new requests to a backend server that has left while this host was
// suspended: an announcement that arrived before is read afterwards and is not new.
func TestAnnouncementsReadAfterASuspension(t *testing.T) {
	const from, resumed = 2 * time.Second, 6 * time.Second
	entry := func(state registry.State) []registry.Entry {
		return []registry.Entry{{ID: "e", Incarnation: 1, Sequence: 3, State: state, TTL: testTTL}}
	}
	t.Run("of a backend server", func(t *testing.T) {
		g := NewWithT(t)
		d := suspendedDirectory(g, from, resumed)
		refusal := d.announce(resumed+time.Millisecond, testBackend, 2)
		g.Expect(refusal).NotTo(BeNil())
		g.Expect(refusal.Code).To(Equal(structs.CodeDeadlineExpired))
		g.Expect(d.isUp(resumed+time.Millisecond, "e")).To(BeFalse())
		later := resumed + time.Millisecond + refusal.RetryAfter
		g.Expect(d.announce(later, testBackend, 2)).To(BeNil(), "sent again")
		g.Expect(d.isUp(later, "e")).To(BeTrue())
	})
	t.Run("of another host", func(t *testing.T) {
		g := NewWithT(t)
		d := suspendedDirectory(g, from, resumed)
		d.merge(resumed, entry(registry.Up))
		g.Expect(d.isUp(resumed, "e")).To(BeFalse())
		later := resumed + hostStatusInterval
		d.merge(later, entry(registry.Up))
		g.Expect(d.isUp(later, "e")).To(BeTrue(), "sent again at the next exchange")
	})
	t.Run("of a drain", func(t *testing.T) {
		g := NewWithT(t)
		d := suspendedDirectory(g, from, resumed)
		d.merge(resumed, entry(registry.Draining))
		g.Expect(d.digest(resumed)[0].State).To(Equal(registry.Draining))
		g.Expect(d.isUp(resumed, "e")).To(BeFalse())
	})
	t.Run("while the first caller was suspended before it locked the directory", func(t *testing.T) {
		g := NewWithT(t)
		d := suspendedDirectory(g, from, resumed)
		g.Expect(d.announce(from, testBackend, 2)).To(BeNil(), "dated before the suspension")
		g.Expect(d.isUp(resumed, "e")).To(BeFalse())
		d.merge(resumed-time.Millisecond, entry(registry.Up))
		g.Expect(d.isUp(resumed, "e")).To(BeFalse(), "dated after it, by a caller that locks second")
	})
}

// Guards against backend servers that are taken out of use by a suspension shorter than
// their time to live, and against announcements that then count for longer than it.
func TestAnnouncementsReadAfterAShortSuspension(t *testing.T) {
	const from, resumed = 2 * time.Second, 4 * time.Second
	g := NewWithT(t)
	d := suspendedDirectory(g, from, resumed)
	g.Expect(d.announce(resumed, testBackend, 2)).To(BeNil())
	g.Expect(d.isUp(resumed, "e")).To(BeTrue())
	g.Expect(d.isUp(from+testTTL, "e")).To(BeTrue())
	g.Expect(d.isUp(from+testTTL+time.Millisecond, "e")).To(BeFalse())
}

// Guards against a request to a backend server that is looked up with a time before a
// suspension, because the process was suspended while it waited for the directory.
func TestBackendServerIsNotUpAfterAWaitForTheDirectory(t *testing.T) {
	g := NewWithT(t)
	n := &Node{backends: newBackendDirectory("d", time.Minute), booted: clock.Boot()}
	g.Expect(n.backends.announce(n.now(), testBackend, 1)).To(BeNil())
	g.Expect(n.isBackendUp("e")).To(BeTrue())
	unlock := n.backends.lock(n.now())
	up := make(chan bool)
	go func() { up <- n.isBackendUp("e") }()
	time.Sleep(suspensionBound + hostStatusInterval)
	unlock()
	g.Expect(<-up).To(BeFalse())
	g.Expect(n.isBackendUp("e")).To(BeTrue(), "asked again")
}
