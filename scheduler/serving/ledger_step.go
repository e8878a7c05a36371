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
	if ev.Lease != "" {
		l.extend(now, e, ev)
		return
	}
	out := e.lentOut()
	const keepFree = 1
	idle := e.share - out - ev.OwnRunning - keepFree
	count := min(ev.Count, idle, Lendable(e.share)-out)
	if count <= 0 {
		return
	}
	lease := l.newLease()
	until := now + l.cfg.LendFor + l.cfg.Margin
	e.lent = append(e.lent, lentSlots{to: ev.From, lease: lease, count: count, until: until})
	l.lend(e, ev, lease, count)
}

func (l *SlotLedger) lend(e *ledgerExecutor, ev RequestSlots, lease string, count int) {
	l.emit(LendSlots{
		To:       ev.From,
		Executor: e.id,
		Lease:    lease,
		Count:    count,
		Duration: l.cfg.LendFor,
		Sequence: ev.Sequence,
	})
}

func (e *ledgerExecutor) lentOut() int {
	out := 0
	for i := range e.lent {
		out += e.lent[i].count
	}
	return out
}

// extend gives a lease more time unless more important work waits here than at
// the peer. At equal importance the peer keeps the slots: it asked for them
// because its load is higher, and this host keeps the part that is not lendable.
// Otherwise the slots would return to this host at the height of a crest.
func (l *SlotLedger) extend(now time.Duration, e *ledgerExecutor, ev RequestSlots) {
	if e.waiting != "" && indexOf(e.waiting) < indexOf(ev.Waiting) {
		return
	}
	if e.lentOut() > Lendable(e.share) {
		return
	}
	for i := range e.lent {
		s := &e.lent[i]
		if s.lease == ev.Lease && s.to == ev.From {
			s.until = now + l.cfg.LendFor + l.cfg.Margin
			l.lend(e, ev, s.lease, s.count)
		}
	}
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
	asked := e.asked[at]
	until := asked.at + min(ev.Duration, l.cfg.LendFor)
	e.asked = slices.Delete(e.asked, at, at+1)
	if asked.lease != "" {
		// The lender counts the slots of the lease that it names.
		if ev.Lease == asked.lease {
			e.extended(asked.lease, until)
		}
		return
	}
	if until <= now {
		return
	}
	e.borrowed = append(e.borrowed, borrowedSlots{
		from:  ev.From,
		Lease: Lease{ID: ev.Lease, Count: ev.Count, Until: until},
	})
}

// extended gives a borrowed lease more time. A lease that was returned or has
// ended is not taken up again.
func (e *ledgerExecutor) extended(lease string, until time.Duration) {
	for i := range e.borrowed {
		if e.borrowed[i].ID == lease {
			e.borrowed[i].Until = max(e.borrowed[i].Until, until)
		}
	}
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
	e.waiting = use.Waiting
	l.returnUnused(now, e, use)
	l.askForTime(now, e, use)
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
	l.ask(now, e, AskSlots{To: peer, Count: use.Wanted, Waiting: use.Waiting})
}

// ask sends a question and remembers when it was asked.
func (l *SlotLedger) ask(now time.Duration, e *ledgerExecutor, ask AskSlots) {
	l.sequence++
	ask.Executor = e.id
	// The incarnation in the sequence keeps answers to an earlier run apart.
	ask.Sequence = l.cfg.Incarnation<<32 | l.sequence&0xffffffff
	e.asked = append(e.asked, question{to: ask.To, lease: ask.Lease, sequence: ask.Sequence, at: now})
	l.emit(ask)
}

// askForTime asks to extend the leases that are needed and have passed half of
// their time.
func (l *SlotLedger) askForTime(now time.Duration, e *ledgerExecutor, use SlotUse) {
	if use.Waiting == "" {
		return
	}
	for i := range e.borrowed {
		s := &e.borrowed[i]
		if s.Until-now > l.cfg.LendFor/2 || now-s.lastAsk < askInterval {
			continue
		}
		s.lastAsk = now
		l.ask(now, e, AskSlots{To: s.from, Count: s.Count, Lease: s.ID, Waiting: use.Waiting})
	}
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
			digest += "," + e.borrowed[i].ID + "@" + e.borrowed[i].Until.String()
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
