package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// finishTime is finish_s of the settings: from then on after the end of the traffic, every
	// accepted job has to be known and to be answered.
	finishTime = 14 * time.Second
	// answerTime is how long a client waits for a response.
	answerTime = 3 * time.Second
	// noStartTime is how long a job may have nothing running while a subtask's turn has come and
	// there is capacity for it.
	noStartTime = 3 * time.Second
)

// smallJob is a job of one subtask that works for 100 ms.
func smallJob() []byte {
	body, _ := json.Marshal(map[string]any{
		"spec": "100ms", "steps": []any{map[string]any{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 100}},
	})
	return body
}

// submitted lists the jobs that were accepted.
type submitted struct {
	mu       sync.Mutex
	accepted []string
	others   map[int]int
}

func (s *submitted) add(r *record, id string, size, status int, took time.Duration) {
	r.add("client", "call", "POST", "job", id, "bytes", size, "status", status, "ms", took.Milliseconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	if status >= 200 && status < 300 {
		s.accepted = append(s.accepted, id)
	} else {
		s.others[status]++
	}
}

// submit hands in a job and lists the outcome.
func (s *submitted) submit(r *record, client *http.Client, frontend, id string, body []byte) {
	begin := time.Now()
	status, _ := call(client, http.MethodPost, frontend, prefix+id, clientHost, clientKey, body)
	s.add(r, id, len(body), status, time.Since(begin))
}

// checkAnswers asks for each job once and returns the jobs that are not known or get no answer.
// Callers call it finishTime after the end of the traffic.
func checkAnswers(r *record, d *deployment, jobs []string, frontends int) (broken []string) {
	var mu sync.Mutex
	states := map[string]int{}
	var missing []string
	next := make(chan int)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			client := newClient(answerTime)
			for i := range next {
				begin := time.Now()
				state := stateOf(client, d.frontend(i%frontends), jobs[i])
				r.add("client", "call", "GET", "job", jobs[i], "state", state, "ms", time.Since(begin).Milliseconds())
				mu.Lock()
				states[state]++
				if state != "queued" && state != "running" && state != "completed" {
					missing = append(missing, jobs[i])
				}
				mu.Unlock()
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	wg.Wait()
	r.add("states", "counts", fmt.Sprint(states))
	if len(missing) > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs that were asked for get no answer or are not known (%v)", len(missing), len(jobs), states))
	}
	return broken
}

// checkStarts returns the accepted jobs that have not started although the executors have been
// idle for noStartTime. Callers call it finishTime after the end of the traffic.
func checkStarts(r *record, runs *observations, jobs []string) (broken []string) {
	waiting := func() (ids []string) {
		for _, id := range jobs {
			if runs.startsOf(id) == 0 {
				ids = append(ids, id)
			}
		}
		return ids
	}
	before := waiting()
	startsBefore := runs.allStarts()
	time.Sleep(noStartTime + 200*time.Millisecond)
	after := waiting()
	r.add("jobs without a start", "before", len(before), "after", len(after), "accepted", len(jobs), "starts_between", runs.allStarts()-startsBefore)
	if len(after) > 0 && len(after) == len(before) && runs.allActive() == 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running for 3 s on idle executors", len(after), len(jobs)))
	}
	return broken
}

// checkMemory returns a broken rule if processes exceeded the memory of their machine three times
// on a number of machines of a role.
func checkMemory(d *deployment, role string, machines int) (broken []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	over, kills := 0, []string{}
	for _, m := range d.machines {
		if m.role != role {
			continue
		}
		kills = append(kills, fmt.Sprintf("%s %d", m.name, m.overLimit))
		if m.overLimit >= 3 {
			over++
		}
	}
	if over >= machines {
		broken = append(broken, fmt.Sprintf("Fault: processes on %d machines exceeded their memory three times or more (%v)", over, kills))
	}
	return broken
}
