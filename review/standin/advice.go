package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// tickets is the advice service. Its policy lets the executors in allowed run each step.
type tickets struct {
	d       *deployment
	allowed []string
	valid   time.Duration

	mu     sync.Mutex
	issued map[string]time.Time
}

func startAdvice(d *deployment, terms advice, allowed ...string) (*tickets, error) {
	t := &tickets{d: d, allowed: allowed, valid: time.Duration(terms.ValidMS) * time.Millisecond, issued: map[string]time.Time{}}
	listener, err := net.Listen("tcp4", d.address(adviceHost, portAdvice))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/advise", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Workers) > 100 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(time.Duration(terms.DecideMS+terms.EachMS*len(body.Workers)) * time.Millisecond)
		good := [][2]string{}
		for _, id := range body.Workers {
			if slices.Contains(t.allowed, id) {
				good = append(good, [2]string{id, t.issue(id, body.Step)})
			}
		}
		d.rec.line("advice: %s for %v -> good %v", body.Step, body.Workers, good)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "valid_ms": terms.ValidMS})
	})
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return t, nil
}

func (t *tickets) issue(executor, step string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	value := fmt.Sprintf("%s-%d", step, len(t.issued)+1)
	t.issued[executor+" "+step+" "+value] = time.Now()
	return value
}

// isValid reports whether a ticket lets an executor start a subtask now.
func (t *tickets) isValid(executor, task, value string) bool {
	step := task[:lastDot(task)]
	t.mu.Lock()
	defer t.mu.Unlock()
	at, known := t.issued[executor+" "+step+" "+value]
	return known && time.Since(at) < t.valid
}

func lastDot(s string) int {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i] == '.' {
			return i
		}
	}
	return len(s)
}
