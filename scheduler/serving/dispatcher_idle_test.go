package serving_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// TestUrgentNeverWaitsForIdleSlot guards against a queue that is not dispatched: a
// healthy executor must not have a free slot while an urgent request is queued.
func TestUrgentNeverWaitsForIdleSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newDispatcherModel(t)
		arrive := func(t *rapid.T) {
			m.serial++
			id := fmt.Sprintf("r%d", m.serial)
			class := rapid.SampledFrom([]structs.Class{structs.ClassUrgent, structs.ClassUrgent, structs.ClassBulk}).Draw(t, "class")
			m.requests[id] = &modelRequest{deadline: m.now + 3*time.Second}
			m.step(t, serving.RequestArrived{Request: structs.Request{ID: id, Class: class, Remaining: 3 * time.Second}})
		}
		answer := func(t *rapid.T) {
			if len(m.live) == 0 {
				t.Skip("no attempt")
			}
			i := rapid.IntRange(0, len(m.live)-1).Draw(t, "attempt")
			a := m.live[i]
			m.endAttempt(i, true)
			m.step(t, serving.AttemptFinished{RequestID: a.request, Attempt: a.number, Result: serving.ResultOK})
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive2": arrive, "arrive3": arrive, "answer": answer, "answer2": answer,
			"backend": m.updateBackend,
			"advance": func(t *rapid.T) { m.advance(t, time.Duration(rapid.IntRange(1, 100).Draw(t, "ms"))*time.Millisecond) },
			"":        m.checkNoIdleSlotWhileUrgentQueued,
		})
	})
}

func (m *dispatcherModel) checkNoIdleSlotWhileUrgentQueued(t *rapid.T) {
	s := m.d.Snapshot()
	if s.Queued[structs.ClassUrgent] == 0 {
		return
	}
	for _, e := range s.Executors {
		if e.State == structs.BackendUp && e.Breaker == "closed" && e.Running < min(e.Limit, e.Own) {
			t.Fatalf("%d urgent requests are queued while executor %s runs %d attempts with a limit of %d", s.Queued[structs.ClassUrgent], e.ID, e.Running, e.Limit)
		}
	}
}
