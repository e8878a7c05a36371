package serving

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// LedgerConfig describes the SlotLedger of one host.
type LedgerConfig struct {
	Self string
	// Hosts are the entry hosts of the failure domain, this one included.
	Hosts []string
	// Incarnation increases with each start of the host, so that lease IDs of
	// different runs differ.
	Incarnation uint64
	// LendFor is the duration of a lease; 0 means the default. All hosts of a
	// failure domain must use the same value.
	LendFor time.Duration
	// Margin covers the drift between the clocks of two hosts within LendFor and
	// the time to stop an attempt; 0 means the default.
	Margin time.Duration
	// ShareDelay is how long an increase of the share is delayed after a change
	// of the hosts, so that no host uses a slot as its own before the others have
	// stopped using it; 0 means the default.
	ShareDelay time.Duration
	// ShareFrom is the time from which the host may use its share. If the list of
	// hosts may have changed less than ShareDelay before the start of this host,
	// the caller sets it to the start plus ShareDelay, because other hosts may
	// still use slots of the old division.
	ShareFrom time.Duration
}

// Defaults of LedgerConfig. ShareDelay exceeds the sum of the 3 s within which
// all hosts apply a configuration, the longest attempt that may run on a slot of
// the old division (10 s by default), and one lease with its margin.
const (
	DefaultLendFor    = 5 * time.Second
	DefaultLendMargin = time.Second
	DefaultShareDelay = 20 * time.Second
	// requestInterval is the minimum time between two requests of a host for slots of
	// one executor.
	requestInterval = 200 * time.Millisecond
	// requestTimeout is the time after which an unanswered request is dropped.
	requestTimeout = 2 * time.Second
)

// LedgerEvent is an input of the SlotLedger.
type LedgerEvent interface{ isLedgerEvent() }

// ExecutorSlots reports the total slots of an executor; 0 means that it has left.
type ExecutorSlots struct {
	Executor string
	Slots    int
}

// HostsChanged reports a configuration with a different list of hosts.
type HostsChanged struct{ Hosts []string }

// SlotUseReported reports how the Dispatcher uses its slots. The ledger returns idle
// leases and asks for slots of executors for which requests are queued.
type SlotUseReported struct{ Use []SlotUse }

// SlotsRequested is a peer's request for slots or for the extension of a lease.
type SlotsRequested struct {
	From     string
	Executor string
	Count    int
	// Lease is the lease to extend; if it is empty, the peer asks for more slots.
	Lease string
	// Waiting is the most important class that is queued at the peer.
	Waiting structs.Class
	// Sequence is the sequence number of the peer's RequestSlots; the response repeats
	// it.
	Sequence uint64
	// OwnRunning is the number of attempts that this host currently runs on its
	// own slots of the executor. The caller must read it in the same step, so that
	// no slot is lent that has just been used.
	OwnRunning int
}

// SlotsLent is a peer's response to RequestSlots.
type SlotsLent struct {
	From     string
	Executor string
	Lease    string
	Count    int
	Duration time.Duration
	Sequence uint64
}

// SlotsReturned is a peer's message that it has stopped using a lease.
type SlotsReturned struct {
	From     string
	Executor string
	Lease    string
}

// LedgerTick advances the time without another event.
type LedgerTick struct{}

func (ExecutorSlots) isLedgerEvent()   {}
func (HostsChanged) isLedgerEvent()    {}
func (SlotUseReported) isLedgerEvent() {}
func (SlotsRequested) isLedgerEvent()  {}
func (SlotsLent) isLedgerEvent()       {}
func (SlotsReturned) isLedgerEvent()   {}
func (LedgerTick) isLedgerEvent()      {}

// RequestSlots asks a peer for slots or for the extension of a lease; the peer
// receives it as SlotsRequested.
type RequestSlots struct {
	To       string
	Executor string
	Count    int
	Lease    string
	Waiting  structs.Class
	Sequence uint64
}

// LendSlots lends slots to a peer; the peer receives it as SlotsLent.
type LendSlots struct {
	To       string
	Executor string
	Lease    string
	Count    int
	Duration time.Duration
	Sequence uint64
}

// ReturnSlots gives a lease back early; the peer receives it as SlotsReturned.
type ReturnSlots struct {
	To       string
	Executor string
	Lease    string
}

// SlotsChanged carries an update that the caller must pass to the Dispatcher
// before any other event.
type SlotsChanged struct{ Update SlotsUpdated }

func (RequestSlots) isEffect() {}
func (LendSlots) isEffect()    {}
func (ReturnSlots) isEffect()  {}
func (SlotsChanged) isEffect() {}

// SlotLedger keeps, for one host, which slots of the executors of a failure
// domain are its own, lent to peers or borrowed from them.
//
// Safety: a lender counts a slot as lent until LendFor plus Margin after it sent
// the LendSlots message, or until the borrower has returned the lease. The
// borrower stops using the slot LendFor after it asked, and it asked before the
// lender sent its response. So both hosts never use the same slot, even if
// messages are delayed, lost or repeated. A host that starts does not know which
// slots its earlier run has lent, so for LendFor plus Margin it does not use any
// slot that could have been lent.
type SlotLedger struct {
	cfg       LedgerConfig
	started   time.Duration
	executors map[string]*ledgerExecutor
	// formerHosts are the lists of hosts that another host may still apply, until
	// formerHostsUntil.
	formerHosts      [][]string
	formerHostsUntil time.Duration
	sequence         uint64
	leases           uint64
	effects          []Effect
}

// ledgerExecutor is the state of one executor in the ledger.
type ledgerExecutor struct {
	id string
	// left is set while the executor has left. Its slots and the share of this host
	// are kept until it returns, because a lapse of its announcements does not change
	// how its slots are divided.
	left bool
	// share is the number of slots that this host owns now. pendingShare is the
	// share after the last change and applies from pendingShareAt.
	slots, share, pendingShare int
	pendingShareAt             time.Duration
	lent                       []lentSlots
	borrowed                   []borrowedSlots
	pendingRequests            []pendingRequest
	lastRequest                time.Duration
	nextPeer                   int
	// waiting is the most important class that is queued at this host.
	waiting structs.Class
	// lastReported identifies the update that was last sent to the Dispatcher.
	lastReported string
}

type lentSlots struct {
	to    string
	lease string
	count int
	until time.Duration
}

type borrowedSlots struct {
	from string
	Lease
	// idleSince is the time of the first report in which the lease was unused. It
	// is valid while idle is set.
	idleSince   time.Duration
	idle        bool
	lastRequest time.Duration
}

// pendingRequest is a request to a peer that has not been answered.
type pendingRequest struct {
	to string
	// lease is the lease to extend; empty for a request for more slots.
	lease    string
	sequence uint64
	at       time.Duration
}

// NewSlotLedger returns the ledger of a host that has just started.
func NewSlotLedger(now time.Duration, cfg LedgerConfig) *SlotLedger {
	if cfg.LendFor <= 0 {
		cfg.LendFor = DefaultLendFor
	}
	if cfg.Margin <= 0 {
		cfg.Margin = DefaultLendMargin
	}
	if cfg.ShareDelay <= 0 {
		cfg.ShareDelay = DefaultShareDelay
	}
	cfg.Hosts = slices.Clone(cfg.Hosts)
	slices.Sort(cfg.Hosts)
	return &SlotLedger{cfg: cfg, started: now, executors: map[string]*ledgerExecutor{}}
}

// Lendable returns the maximum number of slots of a share that may be lent at the
// same time. A host that has just started may use the rest at once.
func Lendable(share int) int { return share / 2 }

// sortedExecutors returns the executors sorted by ID.
func (l *SlotLedger) sortedExecutors() []*ledgerExecutor {
	list := make([]*ledgerExecutor, 0, len(l.executors))
	for _, e := range l.executors {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *ledgerExecutor) int { return strings.Compare(a.id, b.id) })
	return list
}

func (l *SlotLedger) newLeaseID() string {
	l.leases++
	return l.cfg.Self + "/" + strconv.FormatUint(l.cfg.Incarnation, 10) + "/" + strconv.FormatUint(l.leases, 10)
}

// ownSlots returns the number of slots that the Dispatcher may use as its own.
func (l *SlotLedger) ownSlots(now time.Duration, e *ledgerExecutor) int {
	if e.left || now < l.cfg.ShareFrom {
		return 0
	}
	own := e.share
	for i := range e.lent {
		own -= e.lent[i].count
	}
	if now < l.started+l.cfg.LendFor+l.cfg.Margin {
		own = min(own, e.share-Lendable(e.share))
	}
	return max(0, own)
}
