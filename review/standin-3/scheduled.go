package main

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	scheduledJobs        = 4
	scheduledSteps       = 10
	scheduledOccurrences = 10_000
	scheduledInterval    = time.Millisecond
	ordinaryJobs         = 100
	ordinaryInterval     = 200 * time.Millisecond
	frontends            = 2
)

// scheduled hands in jobs of many times whose steps require a label that no executor has,
// and then ordinary jobs. Without trouble, there are only the ordinary jobs.
func scheduled(r *record, binary string, trouble bool) ([]string, error) {
	d, _, runs, err := setUp(r, binary, frontends, 8)
	if err != nil {
		return nil, err
	}
	defer d.close()
	defer d.peaks()
	client := newClient(answerTime)
	if trouble {
		var steps []any
		for range scheduledSteps {
			steps = append(steps, map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1000, "requirements": "zz"})
		}
		body, err := json.Marshal(map[string]any{
			"spec": "1s", "steps": steps, "repeat_count": scheduledOccurrences, "first_run_ms": time.Now().Add(time.Second).UnixMilli(),
			"interval_ms": scheduledInterval.Milliseconds(),
		})
		if err != nil {
			return nil, err
		}
		for n := range scheduledJobs {
			begin := time.Now()
			status, _ := call(client, http.MethodPost, d.frontend(0), prefix+jobID(900_000+n), clientHost, clientKey, body)
			r.add("client", "call", "POST", "job", jobID(900_000+n), "bytes", len(body), "occurrences", scheduledOccurrences, "steps", scheduledSteps, "status", status, "ms", time.Since(begin).Milliseconds())
		}
	}
	jobs := &submitted{others: map[int]int{}}
	done := make(chan struct{}, ordinaryJobs)
	for n := range ordinaryJobs {
		go func() {
			jobs.submit(r, client, d.frontend(n%frontends), jobID(n), smallJob())
			done <- struct{}{}
		}()
		time.Sleep(ordinaryInterval)
	}
	for range ordinaryJobs {
		<-done
	}
	r.add("clients", "event", "end of the traffic", "accepted", len(jobs.accepted), "others", jobs.others)
	time.Sleep(finishTime)
	broken := checkStarts(r, runs, jobs.accepted)
	return append(broken, checkAnswers(r, d, jobs.accepted, frontends)...), nil
}
