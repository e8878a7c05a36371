package fleet

import (
	"testing"
	"time"
)

// TestAwaitedRunIsStopped guards against a run that has to stop and is sent no stop: its executor
// is not a target of the preemption any more, since a task was placed there.
func TestAwaitedRunIsStopped(t *testing.T) {
	const now = time.Hour
	placed, other := &executor{}, &executor{}
	awaited := &run{settledAt: now - time.Minute}
	pre := &preemption{targets: []*executor{other}, awaited: []endingRun{{run: awaited, executor: placed}}, awaitUntil: now}
	if !pre.stopAwaited(now, &Settings{}) || awaited.stopCause != stopPreempted {
		t.Fatal("the awaited run does not have to stop")
	}
	if !placed.hasOrders {
		t.Fatal("no stop is sent to the executor of the awaited run")
	}
}
