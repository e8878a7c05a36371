package main

import (
	"encoding/json"
	"strings"
	"sync"
	"time"
)

const (
	// longNameBytes keeps the whole body of a job below maxBodyBytes.
	longNameBytes   = 200_000
	longNameJobs    = 800
	longNameClients = 8
	longNameTime    = 40 * time.Second
	// askedJobs is the number of accepted jobs that are asked for at the end.
	askedJobs = 24
)

// longNames hands in jobs whose bodies are large, but within the limit of the configuration,
// because of the image that their step names. Without trouble, the names are short.
func longNames(r *record, binary string, trouble bool) ([]string, error) {
	d, _, _, err := setUp(r, binary, 1, 4)
	if err != nil {
		return nil, err
	}
	defer d.close()
	defer d.peaks()
	image := "planner"
	if trouble {
		image = strings.Repeat("n", longNameBytes)
	}
	step := map[string]any{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 100, "image": image}
	body, err := json.Marshal(map[string]any{"spec": "100ms", "steps": []any{step}})
	if err != nil {
		return nil, err
	}
	jobs := &submitted{others: map[int]int{}}
	numbers := make(chan int)
	var wg sync.WaitGroup
	for range longNameClients {
		wg.Go(func() {
			client := newClient(answerTime)
			for n := range numbers {
				jobs.submit(r, client, d.frontend(0), jobID(n), body)
			}
		})
	}
	end := time.After(longNameTime)
	pace := time.NewTicker(longNameTime / longNameJobs)
	defer pace.Stop()
send:
	for n := range longNameJobs {
		select {
		case numbers <- n:
		case <-end:
			break send
		}
		<-pace.C
	}
	close(numbers)
	wg.Wait()
	r.add("clients", "event", "end of the traffic", "accepted", len(jobs.accepted), "others", jobs.others)
	time.Sleep(finishTime)
	var asked []string
	for i := 0; i < askedJobs && len(jobs.accepted) > 0; i++ {
		asked = append(asked, jobs.accepted[i*len(jobs.accepted)/askedJobs])
	}
	broken := checkAnswers(r, d, asked, 1)
	return append(broken, checkMemory(d, "control", 2)...), nil
}
