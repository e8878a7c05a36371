package agent

import (
	"slices"
	"time"
)

// ownerRetry is how long a worker passes over the address of an owner that
// failed. A worker that cannot reach the owner directly loses one timeout in
// this time.
const ownerRetry = 30 * time.Second

// HostList orders the hosts to which a worker offers a renewal. Each host
// passes a renewal on to the owner of the failure domain; the answer may name
// the address of the owner, and renewals that go there directly cost nothing
// between hosts. The address is only a hint: it may be out of date, so the
// entry hosts are tried after it.
type HostList struct {
	entry []string
	first int
	owner string
	// failed is an address that is not used as a hint before retryAt.
	failed  string
	retryAt time.Duration
}

// NewHostList returns a list that starts with one of the entry hosts.
func NewHostList(entry []string, first int) *HostList {
	return &HostList{entry: entry, first: first}
}

// Order returns the hosts to try, one after the other.
func (l *HostList) Order() []string {
	order := make([]string, 0, len(l.entry)+1)
	if l.owner != "" {
		order = append(order, l.owner)
	}
	for i := range l.entry {
		host := l.entry[(l.first+i)%len(l.entry)]
		if host != l.owner {
			order = append(order, host)
		}
	}
	return order
}

// Answered notes the host that answered and the owner that its answer named,
// which is empty when the host is the owner or does not tell.
func (l *HostList) Answered(now time.Duration, host, owner string) {
	if at := slices.Index(l.entry, host); at >= 0 {
		l.first = at
	}
	switch {
	case owner == "" && host != l.owner:
		l.owner = ""
	case owner != "" && (owner != l.failed || now >= l.retryAt):
		l.owner = owner
	}
}

// Failed notes a host that gave no orders.
func (l *HostList) Failed(now time.Duration, host string) {
	if host != l.owner {
		return
	}
	l.owner = ""
	l.failed, l.retryAt = host, now+ownerRetry
}
