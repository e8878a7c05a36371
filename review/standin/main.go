// Command standin plays the cases of the review that are scripts. It starts the
// programs of the deploy file as processes on loopback addresses, plays the operator,
// the clients and the executors, and records what was sent, answered and run.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// caseLimit ends a case that hangs.
	caseLimit = 115 * time.Second
)

// scenario plays a case and returns whether its rule was broken. With trouble unset it
// does the same without the disruption.
type scenario func(d *deployment, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"leave":     playLeave,
	"lasts":     playLasts,
	"advice":    playAdvice,
	"rename":    playRename,
	"rack":      playRack,
	"reclaim":   playReclaim,
	"same-id":   playSameID,
	"fills":     playFills,
	"scheduled": playScheduled,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	daemon := flag.String("daemon", "", "path of cranberrydrumd")
	recordPath := flag.String("record", "record.txt", "file to write")
	flag.Parse()
	play := scenarios[*name]
	if play == nil || *daemon == "" {
		fmt.Fprintln(os.Stderr, "standin: unknown case or no daemon")
		return exitFailed
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin: "+err.Error())
		return exitFailed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption: %v", *name, trouble)
	d, err := newDeployment(*daemon, rec)
	if err != nil {
		rec.line("could not start: %v", err)
		return exitFailed
	}
	defer d.stop()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(d, trouble)
		done <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			rec.line("could not run: %v", o.err)
			return exitFailed
		case o.broken:
			rec.line("RULE BROKEN")
			return exitBroken
		}
		rec.line("rule held")
		return exitHeld
	case s := <-signals:
		rec.line("stopped by %v", s)
	case <-time.After(caseLimit):
		rec.line("could not run: over the limit of %v", caseLimit)
	}
	return exitFailed
}
