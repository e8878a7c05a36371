// Command standin-2 runs one case of the review: it starts the programs of the project as
// processes on loopback addresses, plays their clients, executors and operator, and checks
// one rule.
//
// Usage: standin-2 CASE DAEMON RECORD
//
// DAEMON is the path of the built cranberrydrumd, RECORD that of the record to write. The
// exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// TROUBLE=0 in the environment leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a run, its clean-up included.
const maxRunTime = 110 * time.Second

// scenario is one case. It returns whether the rule was broken.
type scenario func(r *run) (broken bool, err error)

// run is what a scenario works with.
type run struct {
	*record
	*deployment
	// disturbed is false in a control run, which leaves out the disruption.
	disturbed bool
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE DAEMON RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

// runCase runs a case and ends all processes that it started.
func runCase(name, daemon, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	daemon, err = filepath.Abs(daemon)
	if err != nil {
		rec.add("cannot find the daemon: %v", err)
		return exitNotRun
	}
	d, err := newDeployment(rec, daemon)
	if err != nil {
		rec.add("cannot prepare the deployment: %v", err)
		return exitNotRun
	}
	defer d.stop()
	result := make(chan int, 1)
	go func() { result <- play(name, &run{record: rec, deployment: d, disturbed: os.Getenv("TROUBLE") != "0"}) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case status := <-result:
		return status
	case <-interrupted:
		rec.add("interrupted")
	case <-time.After(maxRunTime):
		rec.add("the case took too long")
	}
	return exitNotRun
}

func play(name string, r *run) int {
	broken, err := scenarios[name](r)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.add("RESULT: the rule was broken")
		return exitBroken
	}
	r.add("RESULT: the rule held")
	return exitHeld
}
