// Package loopback allocates loopback addresses for the hosts that a test or an
// experiment starts on this machine.
package loopback

import (
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
)

// The ports are below the ephemeral port range of the system. Otherwise an
// outgoing connection could take a port before the host listens on it.
const (
	firstPort    = 12_000
	portCount    = 18_000
	portAttempts = 1_000
	// laneCount is the number of lanes. A lane is the part of the ports that
	// one of several concurrent test processes uses.
	laneCount = 6
	// LaneVariable is the environment variable with the lane number of the
	// process, starting at 0. Without it the process may use all ports.
	LaneVariable = "CRANBERRYDRUM_TEST_LANE"
)

// portRange returns the first port and the number of ports that this process may
// use.
func portRange() (first, count int) {
	lane, err := strconv.Atoi(os.Getenv(LaneVariable))
	if err != nil || lane < 0 || lane >= laneCount {
		return firstPort, portCount
	}
	return firstPort + lane*(portCount/laneCount), portCount / laneCount
}

// NoPortError reports that no free port was found.
type NoPortError struct {
	// Cause is the error of the last failed attempt to listen. It is nil if all
	// ports that were tried had been allocated by this process before.
	Cause error
}

// Error implements error.
func (e *NoPortError) Error() string {
	if e.Cause == nil {
		return "no free port on loopback"
	}
	return "no free port on loopback: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoPortError) Unwrap() error { return e.Cause }

// allocated holds the ports that FreeAddress has returned in this process. The
// address of a host is chosen before the host listens, so a port on which nothing
// listens may already belong to another host.
var (
	mu        sync.Mutex
	allocated = map[int]bool{}
)

// FreeAddress returns an address on which nothing listens and which it has not
// returned before in this process.
func FreeAddress() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	var lastErr error
	first, count := portRange()
	for range portAttempts {
		port := first + rand.IntN(count)
		if allocated[port] {
			continue
		}
		address := "127.0.0.1:" + strconv.Itoa(port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			lastErr = err
			continue
		}
		allocated[port] = true
		return address, listener.Close()
	}
	return "", &NoPortError{Cause: lastErr}
}
