package returns

import (
	"container/heap"
	"time"
)

// agenda runs functions in the order of their virtual times.
type agenda struct {
	now    time.Duration
	number int
	queue  eventQueue
}

type event struct {
	at     time.Duration
	number int
	run    func()
}

func (a *agenda) after(delay time.Duration, run func()) {
	a.number++
	heap.Push(&a.queue, event{at: a.now + delay, number: a.number, run: run})
}

func (a *agenda) runAll() {
	for a.queue.Len() > 0 {
		next := heap.Pop(&a.queue).(event)
		a.now = next.at
		next.run()
	}
}

// eventQueue implements heap.Interface. Events at the same time run in the order in
// which they were added.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
}

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
