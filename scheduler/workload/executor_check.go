package workload

import (
	"math"
	"net/netip"
	"strings"
	"time"
)

const (
	// maxExecutors is more than the executors that a fleet can have: each machine has an
	// IPv4 address.
	maxExecutors = 1 << 32
	// maxCapacity keeps the sum of a resource over all executors in range.
	maxCapacity = math.MaxInt64 / maxExecutors
	// maxIncarnation is the last Unix time in milliseconds that a time.Duration can hold.
	maxIncarnation = int64(math.MaxInt64 / time.Millisecond)
)

// Validate returns an *ExecutorError if the key cannot name an executor. An incarnation
// of 0 is one that is not known.
func (k ExecutorKey) Validate() error {
	// Orders carry the identifier in a header.
	isExcluded := func(r rune) bool { return r <= ' ' || r > '~' }
	switch {
	case k.ID == "" || strings.ContainsFunc(k.ID, isExcluded):
		return &ExecutorError{Field: "id", Reason: "empty or not printable ASCII"}
	case k.Incarnation < 0 || k.Incarnation > maxIncarnation:
		return &ExecutorError{Field: "incarnation", Reason: "out of range"}
	}
	return nil
}

// Validate returns an *ExecutorError if the executor cannot be used. Entries of the log
// are applied without it, so that all versions apply them alike; whoever uses an entry
// checks it.
func (e *Executor) Validate() error {
	if err := e.Key.Validate(); err != nil {
		return err
	}
	if !isDialable(e.Address) {
		return &ExecutorError{Field: "address", Reason: "not an IPv4 address with a port"}
	}
	for _, amount := range []int64{e.Capacity.CPU, e.Capacity.MemoryMB, e.Capacity.GPU} {
		if amount < 0 || amount > maxCapacity {
			return &ExecutorError{Field: "capacity", Reason: "out of range"}
		}
	}
	return nil
}

// isDialable reports whether an address is that of one host and port, in its only
// canonical form, because executors are told apart by it.
func isDialable(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.String() != address {
		return false
	}
	host := parsed.Addr()
	return host.Is4() && !host.IsUnspecified() && !host.IsMulticast() && parsed.Port() != 0
}
