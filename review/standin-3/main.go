// Command standin-3 runs the cases of a review: it starts the programs of the project as
// processes on loopback addresses and plays clients, executors, the operator and the platform.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case and returns the rules that were broken. Without trouble it does the
// same without the disturbance.
type scenario func(r *record, binary string, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"failing":      failing,
	"long-names":   longNames,
	"scheduled":    scheduled,
	"wide":         wide,
	"short-fields": shortFields,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 SCENARIO PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	broken, err := scenarios[os.Args[1]](r, os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.add("not run", "error", err.Error())
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	}
	for _, text := range broken {
		r.add("result", "broken", text)
		fmt.Println("broken:", text)
	}
	if len(broken) > 0 {
		os.Exit(exitBroken)
	}
	r.add("result", "held", true)
	fmt.Println("held")
}
