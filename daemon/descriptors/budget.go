package descriptors

import (
	"strconv"
	"sync/atomic"
	"syscall"
)

const (
	// reserveDivisor is the inverse of the share of the descriptors that is kept
	// for files and for peers that connect at the same time.
	reserveDivisor = 16
	// acceptedDivisor is the inverse of the share of the other descriptors that
	// accepted connections may take if connections are dialled, too.
	acceptedDivisor = 4
	// minLimit keeps a process able to work with a limit that is too low.
	minLimit = 8
)

// Kinds of events that an Observer counts.
const (
	// EventClosedIdle is an idle connection that was closed for a new one.
	EventClosedIdle = "closed_idle"
	// EventRefused is a connection that was refused because all others were busy.
	EventRefused = "refused"
	// EventFailed is a connection that the system did not accept.
	EventFailed = "failed"
)

// Observer counts connections that were closed or refused, for metrics. direction
// is "accepted" or "dialled".
type Observer interface {
	CountShed(direction, event string)
}

// LimitError reports that a connection was not dialled because all descriptors of
// its kind are in use. Nothing was sent.
type LimitError struct{ Limit int }

// Error implements error.
func (e *LimitError) Error() string {
	return "all " + strconv.Itoa(e.Limit) + " descriptors for dialled connections are in use"
}

// Budget divides the descriptors of a process.
type Budget struct {
	usable   int
	dials    bool
	observer Observer
	// peers returns the number of connections with peers.
	peers atomic.Pointer[func() int]

	accepted, dialled atomic.Int64
}

// Limit returns the number of descriptors of this process: the given limit, or
// that of the operating system if it is lower or the given one is 0.
func Limit(configured int) int {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) != nil || r.Cur > uint64(maxInt) {
		return configured
	}
	if configured <= 0 {
		return int(r.Cur)
	}
	return min(configured, int(r.Cur))
}

const maxInt = int(^uint(0) >> 1)

// NewBudget returns a budget for usable descriptors. dials is set if the process
// dials many connections besides those with peers.
func NewBudget(usable int, dials bool, observer Observer) *Budget {
	return &Budget{usable: usable, dials: dials, observer: observer}
}

// SetPeers sets the function that counts the connections with peers.
func (b *Budget) SetPeers(count func() int) { b.peers.Store(&count) }

func (b *Budget) peerCount() int {
	if count := b.peers.Load(); count != nil {
		return (*count)()
	}
	return 0
}

// others is the number of descriptors that are left for connections other than
// those with peers.
func (b *Budget) others() int {
	return max(minLimit, b.usable-b.usable/reserveDivisor-b.peerCount())
}

// AcceptLimit returns the number of connections that may be accepted.
func (b *Budget) AcceptLimit() int {
	if !b.dials {
		return b.others()
	}
	return max(minLimit, b.others()/acceptedDivisor)
}

func (b *Budget) dialLimit() int {
	return max(minLimit, b.others()-int(b.accepted.Load()))
}

// DialCapacity returns the number of connections that can be dialled while no
// peer is connected and accepted connections take their whole share.
func DialCapacity(usable int) int {
	left := usable - usable/reserveDivisor
	return max(minLimit, left-left/acceptedDivisor)
}
