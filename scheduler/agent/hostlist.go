package agent

import (
	"slices"
	"time"
)

// ownerRetryDelay is the time for which a worker skips the address of an owner
// that failed. A worker that cannot reach the owner directly loses at most one
// timeout in this time.
const ownerRetryDelay = 30 * time.Second

// HostList determines the order in which a worker tries hosts for a renewal.
// Each host forwards a renewal to the owner of the failure domain. The response
// may contain the address of the owner; renewals sent there directly cause no
// traffic between hosts. The address is only a hint that may be out of date, so
// the entry hosts are tried after it.
type HostList struct {
	entryHosts []string
	firstEntry int
	owner      string
	// failedOwner is an address that is not used as the owner before retryAt.
	failedOwner string
	retryAt     time.Duration
}

// NewHostList returns a list of the entry hosts that starts at the given index.
func NewHostList(entryHosts []string, firstEntry int) *HostList {
	return &HostList{entryHosts: entryHosts, firstEntry: firstEntry}
}

// Order returns the hosts in the order in which to try them.
func (l *HostList) Order() []string {
	order := make([]string, 0, len(l.entryHosts)+1)
	if l.owner != "" {
		order = append(order, l.owner)
	}
	for i := range l.entryHosts {
		host := l.entryHosts[(l.firstEntry+i)%len(l.entryHosts)]
		if host != l.owner {
			order = append(order, host)
		}
	}
	return order
}

// RecordResponse records the host that answered and the owner named in its response.
// The owner is empty if the host is the owner itself or does not name it.
func (l *HostList) RecordResponse(now time.Duration, host, owner string) {
	if at := slices.Index(l.entryHosts, host); at >= 0 {
		l.firstEntry = at
	}
	switch {
	case owner == "" && host != l.owner:
		l.owner = ""
	case owner != "" && (owner != l.failedOwner || now >= l.retryAt):
		l.owner = owner
	}
}

// RecordFailure records a host that returned no orders.
func (l *HostList) RecordFailure(now time.Duration, host string) {
	if host != l.owner {
		return
	}
	l.owner = ""
	l.failedOwner, l.retryAt = host, now+ownerRetryDelay
}
