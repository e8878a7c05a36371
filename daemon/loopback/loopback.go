// Package loopback chooses addresses for the hosts that a test or an
// experiment starts on this machine.
package loopback

import (
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
)

// Ports lie below the range from which the system takes the ports of outgoing
// connections, so that no connection takes one before its host listens.
const (
	firstPort    = 12_000
	ports        = 18_000
	portAttempts = 1_000
	// lanes divide the ports between test processes that run side by side.
	lanes = 6
	// LaneVariable names the environment variable with the lane of a process,
	// from 0; without it the process may use all ports.
	LaneVariable = "CRANBERRYDRUM_TEST_LANE"
)

// portRange returns the ports of this process.
func portRange() (first, count int) {
	lane, err := strconv.Atoi(os.Getenv(LaneVariable))
	if err != nil || lane < 0 || lane >= lanes {
		return firstPort, ports
	}
	return firstPort + lane*(ports/lanes), ports / lanes
}

// NoPortError reports that no free port was found.
type NoPortError struct {
	// Cause is the error of the last port that was tried, nil if this process
	// was given all of them.
	Cause error
}

func (e *NoPortError) Error() string {
	if e.Cause == nil {
		return "no free port on loopback"
	}
	return "no free port on loopback: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoPortError) Unwrap() error { return e.Cause }

// taken holds the ports given out by this process. Hosts are described before
// they listen, so a port that is free may already belong to another host.
var (
	mu    sync.Mutex
	taken = map[int]bool{}
)

// FreeAddress returns an address on which nothing listens and which it did not
// return before in this process.
func FreeAddress() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	var failure error
	first, count := portRange()
	for range portAttempts {
		port := first + rand.IntN(count)
		if taken[port] {
			continue
		}
		address := "127.0.0.1:" + strconv.Itoa(port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			failure = err
			continue
		}
		taken[port] = true
		return address, listener.Close()
	}
	return "", &NoPortError{Cause: failure}
}
