package serving

import (
	"slices"
	"strconv"
	"time"
)

// Step handles one event and returns what has to be done, in order.
func (l *SlotLedger) Step(now time.Duration, ev LedgerEvent) []Effect {
	l.effects = nil
	l.expire(now)
	switch ev := ev.(type) {
	case ExecutorSlots:
		l.setSlots(now, ev)
	case HostsChanged:
		l.setHosts(now, ev.Hosts)
	case UseReported:
		for _, use := range ev.Use {
			l.useReported(now, use)
		}
	case RequestSlots:
		l.requested(now, ev)
	case Lend:
		l.received(now, ev)
	case Return:
		l.returned(ev)
	case LedgerTick:
	}
	l.tellDispatcher(now)
	return l.effects
}

// expire ends what is over: leases on both sides, old questions, and shares
// that wait to grow.
func (l *SlotLedger) expire(now time.Duration) {
	for _, e := range l.executors {
		e.lent = slices.DeleteFunc(e.lent, func(s lentSlots) bool { return s.until <= now })
		e.borrowed = slices.DeleteFunc(e.borrowed, func(s borrowedSlots) bool { return s.Until <= now })
		e.asked = slices.DeleteFunc(e.asked, func(q question) bool { return now-q.at > askTimeout })
		if e.share != e.pending && e.pendingAt <= now {
			e.share = e.pending
		}
	}
}

func (l *SlotLedger) setSlots(now time.Duration, ev ExecutorSlots) {
	e := l.executors[ev.Executor]
	if e == nil {
		if ev.Slots <= 0 {
			return
		}
		e = &ledgerExecutor{id: ev.Executor, slots: ev.Slots, lastAsk: -askInterval}
		l.executors[ev.Executor] = e
		e.share = Share(ev.Slots, l.cfg.Hosts, l.cfg.Self)
		e.pending = e.share
		return
	}
	if e.slots == ev.Slots {
		return
	}
	e.slots = ev.Slots
	l.setShare(now, e)
}

// setHosts divides the slots anew. A smaller share is in force at once, a
// larger one only when all hosts must have given up theirs.
func (l *SlotLedger) setHosts(now time.Duration, hosts []string) {
	l.cfg.Hosts = slices.Clone(hosts)
	slices.Sort(l.cfg.Hosts)
	for _, e := range l.executors {
		l.setShare(now, e)
	}
}

func (l *SlotLedger) setShare(now time.Duration, e *ledgerExecutor) {
	e.pending = Share(e.slots, l.cfg.Hosts, l.cfg.Self)
	if e.pending < e.share {
		e.share = e.pending
	}
	e.pendingAt = now + l.cfg.ShareDelay
}

// requested lends what this host does not need. One own slot stays free for
// the next request, and never more than the lendable part is out.
func (l *SlotLedger) requested(now time.Duration, ev RequestSlots) {
	e := l.executors[ev.Executor]
	if e == nil || !slices.Contains(l.cfg.Hosts, ev.From) || ev.From == l.cfg.Self {
		return
	}
	if now < max(l.cfg.ShareFrom, l.started+l.cfg.LendFor+l.cfg.Margin) {
		return
	}
	out := 0
	for i := range e.lent {
		out += e.lent[i].count
	}
	const keepFree = 1
	idle := e.share - out - ev.OwnRunning - keepFree
	count := min(ev.Count, idle, Lendable(e.share)-out)
	if count <= 0 {
		return
	}
	lease := l.newLease()
	until := now + l.cfg.LendFor + l.cfg.Margin
	e.lent = append(e.lent, lentSlots{to: ev.From, lease: lease, count: count, until: until})
	l.emit(LendSlots{
		To:       ev.From,
		Executor: e.id,
		Lease:    lease,
		Count:    count,
		Duration: l.cfg.LendFor,
		Sequence: ev.Sequence,
	})
}

// received takes a lease that answers a question of this run, once. The lease
// counts from the question, which was sent before the lender counted from its
// own answer.
func (l *SlotLedger) received(now time.Duration, ev Lend) {
	e := l.executors[ev.Executor]
	if e == nil {
		return
	}
	at := slices.IndexFunc(e.asked, func(q question) bool { return q.sequence == ev.Sequence && q.to == ev.From })
	if at < 0 {
		return
	}
	until := e.asked[at].at + min(ev.Duration, l.cfg.LendFor)
	e.asked = slices.Delete(e.asked, at, at+1)
	if until <= now {
		return
	}
	e.borrowed = append(e.borrowed, borrowedSlots{
		from:  ev.From,
		Lease: Lease{ID: ev.Lease, Count: ev.Count, Until: until},
	})
}

func (l *SlotLedger) returned(ev Return) {
	e := l.executors[ev.Executor]
	if e == nil {
		return
	}
	e.lent = slices.DeleteFunc(e.lent, func(s lentSlots) bool { return s.lease == ev.Lease && s.to == ev.From })
}

// returnIdle is how long a lease may be unused before it is given back.
const returnIdle = 300 * time.Millisecond

// useReported returns idle leases and asks a peer for slots, in turn.
func (l *SlotLedger) useReported(now time.Duration, use SlotUse) {
	e := l.executors[use.Executor]
	if e == nil {
		return
	}
	l.returnUnused(now, e, use)
	if use.Wanted <= 0 || now-e.lastAsk < askInterval {
		return
	}
	peers := slices.DeleteFunc(slices.Clone(l.cfg.Hosts), func(host string) bool { return host == l.cfg.Self })
	if len(peers) == 0 {
		return
	}
	e.lastAsk = now
	e.nextPeer++
	peer := peers[e.nextPeer%len(peers)]
	l.sequence++
	// The incarnation in the sequence keeps answers to an earlier run apart.
	sequence := l.cfg.Incarnation<<32 | l.sequence&0xffffffff
	e.asked = append(e.asked, question{to: peer, sequence: sequence, at: now})
	l.emit(AskSlots{To: peer, Executor: e.id, Count: use.Wanted, Sequence: sequence})
}

func (l *SlotLedger) returnUnused(now time.Duration, e *ledgerExecutor, use SlotUse) {
	e.borrowed = slices.DeleteFunc(e.borrowed, func(s borrowedSlots) bool {
		if s.idle && now-s.idleSince >= returnIdle && use.Leases[s.ID] == 0 && use.Wanted == 0 {
			l.emit(ReturnSlots{To: s.from, Executor: e.id, Lease: s.ID})
			return true
		}
		return false
	})
	for i := range e.borrowed {
		s := &e.borrowed[i]
		idle := use.Leases[s.ID] == 0 && use.Wanted == 0
		if idle && !s.idle {
			s.idleSince = now
		}
		s.idle = idle
	}
}

// tellDispatcher reports the slots of the executors for which they changed.
func (l *SlotLedger) tellDispatcher(now time.Duration) {
	for _, e := range l.sorted() {
		update := SlotsUpdated{Executor: e.id, Own: l.own(now, e)}
		digest := strconv.Itoa(update.Own)
		for i := range e.borrowed {
			update.Leases = append(update.Leases, e.borrowed[i].Lease)
			digest += "," + e.borrowed[i].ID
		}
		if digest == e.told {
			continue
		}
		e.told = digest
		l.emit(SlotsChanged{Update: update})
	}
	l.forget()
}

// forget drops executors that are gone and of which nothing is lent or borrowed.
func (l *SlotLedger) forget() {
	for id, e := range l.executors {
		if e.slots == 0 && e.share == 0 && len(e.lent)+len(e.borrowed) == 0 {
			delete(l.executors, id)
		}
	}
}

func (l *SlotLedger) emit(effect Effect) { l.effects = append(l.effects, effect) }
