package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/structs"
)

// exchange passes the entries that each directory lacks to the other.
func exchange(now time.Duration, a, b *backendDirectory) {
	b.merge(now, a.delta(now, b.digest(now)))
	a.merge(now, b.delta(now, a.digest(now)))
}

// Guards against a backend server that left and is used again by a host that restarted
// without its state, through an announcement that is delayed or an entry of a host that
// has not heard of the departure.
func TestBackendServerThatLeftStaysAwayAfterARestart(t *testing.T) {
	const ttl = 3 * time.Second
	backend := structs.Backend{ID: "e", Service: "s", Domain: "d", Address: "e:1", Slots: 4, Connections: 8, Incarnation: 1, State: structs.BackendUp}
	left := backend
	left.State = structs.BackendLeft
	for name, heard := range map[string]bool{"the other host has heard of the departure": true, "the other host has not heard of it": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, b := newBackendDirectory("d", ttl), newBackendDirectory("d", ttl)
			g.Expect(a.announce(0, backend, 5)).To(BeNil())
			exchange(0, a, b)
			g.Expect(a.announce(time.Second, left, 6)).To(BeNil())
			if heard {
				exchange(time.Second, a, b)
			}
			restarted := newBackendDirectory("d", ttl)
			restarted.startAccepting(time.Second)
			for now := time.Second; now < 6*ttl; now += 100 * time.Millisecond {
				if now%time.Second == 500*time.Millisecond {
					restarted.merge(now, b.delta(now, restarted.digest(now)))
					g.Expect(restarted.announce(now, backend, 5)).To(BeNil(), "a delayed announcement")
				}
				exchange(now, restarted, b)
				if heard || now > ttl {
					g.Expect(restarted.isUp(now, "e")).To(BeFalse(), "after %v", now)
					g.Expect(b.isUp(now, "e")).To(BeFalse(), "after %v", now)
				}
			}
		})
	}
}
