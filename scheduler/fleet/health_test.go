package fleet

import (
	"fmt"
	"testing"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// TestQuarantineShare covers two jobs whose runs fail on every executor of a pool. It guards against
// a pool that is in quarantine as a whole, where a sound job waits although all executors are idle.
func TestQuarantineShare(t *testing.T) {
	for _, test := range []struct{ pool, others, want int }{{40, 0, 10}, {8, 0, 2}, {8, 100, 2}, {4, 0, 1}, {3, 0, 1}, {2, 0, 1}, {1, 0, 0}} {
		c := &Controller{executors: map[string]*executor{}}
		for n := range test.pool + test.others {
			id := fmt.Sprintf("i-%03d", n)
			service := "s"
			if n >= test.pool {
				service = "other"
			}
			c.executors[id] = &executor{key: workload.ExecutorKey{ID: id}, service: service}
		}
		for _, job := range []string{"one", "two", "one", "two"} {
			for n := range test.pool {
				e := c.executors[fmt.Sprintf("i-%03d", n)]
				e.health.observe(time.Second, job, workload.EndFailed, c.roomFor(time.Second, e))
			}
		}
		quarantined := 0
		for _, e := range c.executors {
			if e.health.suspendedUntil > 0 {
				quarantined++
			}
		}
		if quarantined != test.want {
			t.Errorf("%+v: %d executors are in quarantine", test, quarantined)
		}
	}
}
