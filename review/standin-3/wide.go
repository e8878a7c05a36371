package main

import (
	"encoding/json"
	"time"
)

const (
	wideJobs  = 10
	wideCount = 10_000
	// wideCPU is the demand of a subtask, in thousandths of a core. All subtasks fit on the
	// executors at once.
	wideCPU      = 1
	wideSpec     = "20s"
	wideTraffic  = 40 * time.Second
	wideInterval = 500 * time.Millisecond
)

// wide hands in jobs of many small subtasks at once, and then ordinary jobs. Without trouble, the
// jobs have a hundredth of the subtasks.
func wide(r *record, binary string, trouble bool) ([]string, error) {
	d, executors, runs, err := setUp(r, binary, frontends, 8)
	if err != nil {
		return nil, err
	}
	defer d.close()
	defer d.peaks()
	// A line for each order and run would make the record very long.
	for _, e := range executors {
		e.isQuiet.Store(true)
	}
	count := wideCount
	if !trouble {
		count /= 100
	}
	step := map[string]any{"count": count, "cpu": wideCPU, "mem_mb": 1, "estimate_ms": 20_000}
	body, err := json.Marshal(map[string]any{"spec": wideSpec, "steps": []any{step}})
	if err != nil {
		return nil, err
	}
	client := newClient(answerTime)
	jobs := &submitted{others: map[int]int{}}
	for n := range wideJobs {
		jobs.submit(r, client, d.frontend(n%frontends), jobID(900_000+n), body)
	}
	stop := time.Now().Add(wideTraffic)
	for n := 0; time.Now().Before(stop); n++ {
		jobs.submit(r, client, d.frontend(n%frontends), jobID(n), smallJob())
		r.add("executors", "starts", runs.allStarts(), "active", runs.allActive())
		time.Sleep(wideInterval)
	}
	r.add("clients", "event", "end of the traffic", "accepted", len(jobs.accepted), "others", jobs.others)
	time.Sleep(finishTime)
	broken := checkAnswers(r, d, jobs.accepted, frontends)
	r.add("executors", "starts", runs.allStarts(), "active", runs.allActive(), "broken", len(runs.broken))
	if len(runs.broken) > 0 {
		broken = append(broken, runs.broken[0])
	}
	return append(broken, checkMemory(d, "control", 2)...), nil
}
