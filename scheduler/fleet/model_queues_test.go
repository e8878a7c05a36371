package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranberrydrum.dev/scheduler/workload"
)

// modelPlace is the place of the queue of the model.
var modelPlace = workload.Place{Host: "h", Prefix: "/a/"}

// oldStartBound is the time after a change of the service from which nothing may start at the
// former one: a start is repeated for 3 s.
const oldStartBound = 4 * time.Second

// queueHistory is what the configurations have said about the queue of the model.
type queueHistory struct {
	// isDivided is set if every other executor has the service "t".
	isDivided bool
	// named holds the services that the queue has had beside "s", current the last one.
	named   map[string]bool
	current string
	// since is when the queue got its last service.
	since time.Duration
}

// serviceOf returns the service of the executor at an address.
func (q *queueHistory) serviceOf(address string) string {
	var n, port int
	if _, err := fmt.Sscanf(address, "10.0.0.%d:%d", &n, &port); err == nil && q.isDivided && n%2 == 1 {
		return "t"
	}
	return "s"
}

// changeQueue stores a configuration in which the queue has another name, another service, or
// does not exist, and in which the other service may be missing.
func (cl *cluster) changeQueue() {
	service := []string{"s", "t"}[cl.rng.IntN(2)]
	services := []string{service}
	if cl.chance(0.5) {
		services = []string{"s", "t"}
	}
	cl.configureQueue(services, service, cl.chance(0.75))
}

// configureQueue stores a configuration with or without the queue.
func (cl *cluster) configureQueue(services []string, service string, exists bool) {
	c := modelConfig()
	c.Version, c.Services, c.Queues = cl.state.Config().Version+1, nil, nil
	for _, name := range services {
		c.Services = append(c.Services, workload.Service{Name: name})
	}
	if exists {
		c.Queues = []workload.Queue{{
			Name: fmt.Sprintf("q%d", cl.rng.IntN(3)), Host: modelPlace.Host, Prefix: modelPlace.Prefix, Service: service, Timeout: time.Second,
		}}
	}
	cl.apply(&workload.Command{At: cl.now, Configure: c}, cl.leader.term)
	if exists && service != cl.queues.current {
		cl.queues.named[service] = true
		cl.queues.current, cl.queues.since = service, cl.now
	}
}

// checkService checks that a start goes to a service that the queue has or had, and not to a
// former one long after the change.
func (cl *cluster) checkService(e *modelExecutor, p *pendingCall) {
	q := &cl.queues
	if !q.isDivided {
		return
	}
	if e.service != "s" && !q.named[e.service] {
		cl.fail("ROUTE: %v starts at %s, which its queue never had", p.call.Task, e.service)
	}
	if !p.late && e.service != q.current && cl.now > q.since+oldStartBound {
		cl.fail("CONFIG: %v run %d starts at %s %v after its queue got %s", p.call.Task, p.call.Run, e.service, cl.now-q.since, q.current)
	}
}

// TestQueueChanges runs random jobs while versions rename, remove and add their queue, move it
// to another service and drop services, beside faults of executors and changes of the leader.
// It guards against starts at a service that the queue never had or no longer has, against the
// violations of TestModel, and against jobs that never end, also if their queue is gone.
func TestQueueChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := func(most float64, label string) float64 {
			return most * float64(rapid.IntRange(0, 4).Draw(t, label)) / 4
		}
		f := faults{
			requeue: 0.1 + share(0.9, "requeue"), loseResponse: share(0.1, "loseResponse"), delayCall: share(0.05, "delayCall"), fail: share(0.1, "fail"),
			crash: share(0.03, "crash"), partition: share(0.05, "partition"), newLeader: share(0.2, "newLeader"), drain: share(0.05, "drain"),
			leave: share(0.03, "leave"), refuse: share(0.2, "refuse"),
		}
		cl := newCluster(rapid.Uint64().Draw(t, "seed"), 0, f)
		cl.queues = queueHistory{isDivided: true, named: map[string]bool{}, current: "s"}
		for n := range 8 {
			cl.executors = append(cl.executors, cl.newExecutor(fmt.Sprintf("10.0.0.%d:80", n)))
		}
		cl.configureQueue([]string{"s", "t"}, "s", true)
		cl.run(3 * time.Second)
		var ids []string
		for n := range 12 {
			ids = append(ids, cl.submit(n+1))
			cl.run(time.Duration(cl.rng.IntN(2000)) * time.Millisecond)
			if cl.chance(0.15) {
				cl.cancel(ids[cl.rng.IntN(len(ids))])
			}
		}
		cl.run(10 * time.Second)
		cl.faults = faults{}
		for _, e := range cl.executors {
			e.partitioned = false
		}
		// A removed queue leaves its jobs at its last service.
		cl.configureQueue([]string{"s", "t"}, cl.queues.current, rapid.Bool().Draw(t, "queue exists at the end"))
		cl.run(settleTime)
		if cl.violation != "" {
			t.Fatal(cl.violation)
		}
		for _, id := range ids {
			if j := cl.state.Job(id); !cl.endedCorrectly(j) {
				t.Fatal(fmt.Sprintf("LOST: job %s of service %s is %s at the end: %+v", id, j.Service, j.Phase, j.Occurrences))
			}
		}
	})
}
