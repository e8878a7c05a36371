package e2e_test

import (
	"fmt"
	"strings"
	"time"
)

const (
	wakeupInterval = 10 * time.Millisecond
	// minLateness is a large part of the time after which an owner that hears no replies
	// gives up.
	minLateness = 100 * time.Millisecond
)

// lateWakeups lists the times at which this process was woken late. The links between the
// hosts run in it, so that nothing passed between any of them meanwhile.
type lateWakeups struct {
	stop, done chan struct{}
	late       []string
}

func watchWakeups() *lateWakeups {
	w := &lateWakeups{stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *lateWakeups) run() {
	defer close(w.done)
	for {
		asleep := time.Now()
		select {
		case <-w.stop:
			return
		case <-time.After(wakeupInterval):
		}
		if late := time.Since(asleep) - wakeupInterval; late >= minLateness {
			w.late = append(w.late, fmt.Sprintf("%s: %d ms", time.Now().UTC().Format("15:04:05.000"), late.Milliseconds()))
		}
	}
}

// finish stops the watch and describes the late wake-ups.
func (w *lateWakeups) finish() string {
	close(w.stop)
	<-w.done
	return fmt.Sprintf("links between hosts delayed %d times by %v or more: %s", len(w.late), minLateness, strings.Join(w.late, ", "))
}
