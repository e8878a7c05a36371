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
	// Incarnation grows with each start of the host and keeps leases of
	// different runs apart.
	Incarnation uint64
	// LendFor is how long a slot is lent; 0 means the default. All hosts of a
	// failure domain use the same value.
	LendFor time.Duration
	// Margin covers what the clocks of two hosts may drift apart within
	// LendFor, and the time to stop an attempt; 0 means the default.
	Margin time.Duration
	// ShareDelay is how long a share that grows after a change of the hosts
	// stays at its old size, so that no host counts a slot as its own before
	// the others have given it up; 0 means the default.
	ShareDelay time.Duration
	// ShareFrom is when the host may begin to use its share. The caller sets
	// it to the start plus ShareDelay if the list of hosts may have changed
	// less than ShareDelay before the start, as other hosts may still use
	// slots of the old division.
	ShareFrom time.Duration
}

// Defaults of LedgerConfig. ShareDelay is above the 3 s within which a
// configuration is in force everywhere, plus the longest attempt that may run
// on a slot of the old division (10 s by default), plus one lend and its margin.
const (
	DefaultLendFor    = 5 * time.Second
	DefaultLendMargin = time.Second
	DefaultShareDelay = 20 * time.Second
	// askInterval bounds how often one host asks for slots of one executor.
	askInterval = 200 * time.Millisecond
	// askTimeout is when an unanswered question is forgotten.
	askTimeout = 2 * time.Second
)

// LedgerEvent is an input of the SlotLedger.
type LedgerEvent interface{ isLedgerEvent() }

// ExecutorSlots announces the total slots of an executor; 0 means it is gone.
type ExecutorSlots struct {
	Executor string
	Slots    int
}

// HostsChanged reports a configuration with other hosts.
type HostsChanged struct{ Hosts []string }

// UseReported hands over how the Dispatcher uses its slots. Idle leases are
// returned, and slots are asked for where requests wait.
type UseReported struct{ Use []SlotUse }

// RequestSlots is a peer's question for slots, or for more time on a lease.
type RequestSlots struct {
	From     string
	Executor string
	Count    int
	// Lease is the lease to extend; empty asks for further slots.
	Lease string
	// Waiting is the most important class that is queued at the peer.
	Waiting structs.Class
	// Sequence is from the peer's AskSlots and is repeated in the answer.
	Sequence uint64
	// OwnRunning is the number of attempts that this host runs on own slots of
	// the executor at this moment. It must be read in the same step.
	OwnRunning int
}

// Lend is a peer's answer to AskSlots.
type Lend struct {
	From     string
	Executor string
	Lease    string
	Count    int
	Duration time.Duration
	Sequence uint64
}

// Return is a peer's message that it has stopped using a lease.
type Return struct {
	From     string
	Executor string
	Lease    string
}

// LedgerTick lets time pass.
type LedgerTick struct{}

func (ExecutorSlots) isLedgerEvent() {}
func (HostsChanged) isLedgerEvent()  {}
func (UseReported) isLedgerEvent()   {}
func (RequestSlots) isLedgerEvent()  {}
func (Lend) isLedgerEvent()          {}
func (Return) isLedgerEvent()        {}
func (LedgerTick) isLedgerEvent()    {}

// AskSlots asks a peer for slots or for more time on a lease; the peer
// receives it as RequestSlots.
type AskSlots struct {
	To       string
	Executor string
	Count    int
	Lease    string
	Waiting  structs.Class
	Sequence uint64
}

// LendSlots lends slots to a peer; the peer receives it as Lend.
type LendSlots struct {
	To       string
	Executor string
	Lease    string
	Count    int
	Duration time.Duration
	Sequence uint64
}

// ReturnSlots gives a lease back early; the peer receives it as Return.
type ReturnSlots struct {
	To       string
	Executor string
	Lease    string
}

// SlotsChanged is what the Dispatcher must be told before it takes any other step.
type SlotsChanged struct{ Update SlotsUpdated }

func (AskSlots) isEffect()     {}
func (LendSlots) isEffect()    {}
func (ReturnSlots) isEffect()  {}
func (SlotsChanged) isEffect() {}

// SlotLedger keeps, for one host, which slots of the executors of a failure
// domain are its own, lent to peers or borrowed from them.
//
// Safety: a lender counts a slot as lent until LendFor plus Margin after it
// sent the message, or until the borrower returned it. The borrower stops at
// LendFor after it asked, which was before the lender sent. So no delay, loss
// or repetition of messages makes both use a slot. A host that starts does not
// know what its earlier run has lent, so it holds back all that it could have
// lent for LendFor plus Margin.
type SlotLedger struct {
	cfg       LedgerConfig
	started   time.Duration
	executors map[string]*ledgerExecutor
	sequence  uint64
	leases    uint64
	effects   []Effect
}

// ledgerExecutor is the state of one executor in the ledger.
type ledgerExecutor struct {
	id string
	// pending is the share after the last change, in force from pendingAt.
	slots, share, pending int
	pendingAt             time.Duration
	lent                  []lentSlots
	borrowed              []borrowedSlots
	asked                 []question
	lastAsk               time.Duration
	nextPeer              int
	// waiting is the most important class that is queued at this host.
	waiting structs.Class
	// told is what the Dispatcher was told last.
	told string
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
	// idleSince is when the Dispatcher was first seen not to use the lease.
	idleSince time.Duration
	idle      bool
	lastAsk   time.Duration
}

type question struct {
	to string
	// lease is the lease to extend; empty for further slots.
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

// Lendable is the part of a share that may be lent at any time. The rest stays
// usable for a host that has just started.
func Lendable(share int) int { return share / 2 }

// sorted returns the executors in the order of their ids.
func (l *SlotLedger) sorted() []*ledgerExecutor {
	list := make([]*ledgerExecutor, 0, len(l.executors))
	for _, e := range l.executors {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *ledgerExecutor) int { return strings.Compare(a.id, b.id) })
	return list
}

func (l *SlotLedger) newLease() string {
	l.leases++
	return l.cfg.Self + "/" + strconv.FormatUint(l.cfg.Incarnation, 10) + "/" + strconv.FormatUint(l.leases, 10)
}

// own returns the slots that the Dispatcher may use as its own.
func (l *SlotLedger) own(now time.Duration, e *ledgerExecutor) int {
	if now < l.cfg.ShareFrom {
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
