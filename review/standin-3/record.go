package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line for each event.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begin: time.Now()}, nil
}

// add writes an event with its attributes, which are pairs of a name and a value.
func (r *record) add(event string, attributes ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%9.3f %s", time.Since(r.begin).Seconds(), event)
	for i := 0; i+1 < len(attributes); i += 2 {
		fmt.Fprintf(&line, " %v=%v", attributes[i], attributes[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line.String() + "\n")
}
