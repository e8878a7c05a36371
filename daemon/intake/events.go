package intake

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Reason is why a request was refused or its connection closed. None of these requests has
// run.
type Reason string

// Reasons.
const (
	// ReasonSlow is a request that was the slowest for its size when the budget was short.
	ReasonSlow Reason = "slow"
	// ReasonDescriptors is such a request whose descriptor another connection needed.
	ReasonDescriptors Reason = "descriptors"
	// ReasonBudget is a request for which there were no bytes in time.
	ReasonBudget Reason = "budget"
	// ReasonBodyNotAllowed is a body where none is accepted.
	ReasonBodyNotAllowed Reason = "body_not_allowed"
	// ReasonNoRoute is a body at a path that the server does not serve.
	ReasonNoRoute Reason = "no_route"
	// ReasonTooLarge is a header or a body over the limit.
	ReasonTooLarge Reason = "too_large"
	// ReasonTimeout is a request that did not arrive in time.
	ReasonTimeout Reason = "timeout"
)

// Reasons lists all reasons.
var Reasons = []Reason{ReasonSlow, ReasonDescriptors, ReasonBudget, ReasonBodyNotAllowed, ReasonNoRoute, ReasonTooLarge, ReasonTimeout}

// Observer counts requests by reason, for metrics.
type Observer interface {
	CountIntake(reason string)
}

// logInterval is the least time between two log lines about refused requests.
const logInterval = time.Second

// events counts and logs refused and dropped requests.
type events struct {
	observer Observer
	log      logr.Logger

	mu     sync.Mutex
	logged time.Time
	counts map[Reason]int
}

func newEvents(observer Observer, log logr.Logger) *events {
	return &events{observer: observer, log: log, counts: map[Reason]int{}}
}

// count counts an event. At most once per logInterval it logs the counts since the last line.
func (e *events) count(reason Reason) {
	e.observer.CountIntake(string(reason))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[reason]++
	now := time.Now()
	if now.Sub(e.logged) < logInterval {
		return
	}
	values := make([]any, 0, 2*len(Reasons))
	for _, r := range Reasons {
		if n := e.counts[r]; n > 0 {
			values = append(values, string(r), n)
		}
	}
	e.logged = now
	clear(e.counts)
	e.log.Info("requests refused or dropped before they ran", values...)
}
