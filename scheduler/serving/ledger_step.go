package serving

import (
	"slices"
	"strconv"
	"time"
)

// Step handles one event and returns the effects that the caller must carry out,
// in order.
func (l *SlotLedger) Step(now time.Duration, ev LedgerEvent) []Effect {
	l.effects = nil
	l.expire(now)
	switch ev := ev.(type) {
	case ExecutorSlots:
		l.setSlots(now, ev)
	case HostsChanged:
		l.setHosts(now, ev.Hosts)
	case SlotUseReported:
		for _, use := range ev.Use {
			l.handleSlotUse(now, use)
		}
	case SlotsRequested:
		l.handleSlotsRequested(now, ev)
	case SlotsLent:
		l.handleSlotsLent(now, ev)
	case SlotsReturned:
		l.handleSlotsReturned(ev)
	case LedgerTick:
	}
	l.reportSlotChanges(now)
	return l.effects
}

// expire removes expired leases, lent and borrowed, and requests without a
// response, and applies share increases whose delay has passed.
func (l *SlotLedger) expire(now time.Duration) {
	if l.formerHostsUntil <= now {
		l.formerHosts = nil
	}
	for _, e := range l.executors {
		e.lent = slices.DeleteFunc(e.lent, func(s lentSlots) bool { return s.until <= now })
		e.borrowed = slices.DeleteFunc(e.borrowed, func(s borrowedSlots) bool { return s.Until <= now })
		e.pendingRequests = slices.DeleteFunc(e.pendingRequests, func(q pendingRequest) bool { return now-q.at > requestTimeout })
		if e.share != e.pendingShare && e.pendingShareAt <= now {
			e.share = e.pendingShare
		}
	}
}

func (l *SlotLedger) setSlots(now time.Duration, ev ExecutorSlots) {
	e := l.executors[ev.Executor]
	if e == nil {
		if ev.Slots <= 0 {
			return
		}
		e = &ledgerExecutor{id: ev.Executor, slots: ev.Slots, lastRequest: -requestInterval}
		l.executors[ev.Executor] = e
		e.pendingShare = Share(ev.Slots, l.cfg.Hosts, l.cfg.Self)
		e.pendingShareAt = l.formerHostsUntil
		e.share = e.pendingShare
		for _, hosts := range l.formerHosts {
			e.share = min(e.share, Share(ev.Slots, hosts, l.cfg.Self))
		}
		return
	}
	e.left = ev.Slots <= 0
	if e.left || e.slots == ev.Slots {
		return
	}
	e.slots = ev.Slots
	l.setShare(now, e)
}

// setHosts recomputes the shares for a changed list of hosts. A smaller share
// applies at once; a larger one applies after ShareDelay, when all hosts must
// have reduced theirs.
func (l *SlotLedger) setHosts(now time.Duration, hosts []string) {
	l.formerHosts = append(l.formerHosts, l.cfg.Hosts)
	l.formerHostsUntil = now + l.cfg.ShareDelay
	l.cfg.Hosts = slices.Clone(hosts)
	slices.Sort(l.cfg.Hosts)
	for _, e := range l.executors {
		l.setShare(now, e)
	}
}

func (l *SlotLedger) setShare(now time.Duration, e *ledgerExecutor) {
	e.pendingShare = Share(e.slots, l.cfg.Hosts, l.cfg.Self)
	if e.pendingShare < e.share {
		e.share = e.pendingShare
	}
	e.pendingShareAt = now + l.cfg.ShareDelay
}

// handleSlotsRequested lends slots that this host does not need. One own slot stays
// free for the next request, and at most the lendable part of the share is lent.
func (l *SlotLedger) handleSlotsRequested(now time.Duration, ev SlotsRequested) {
	e := l.executors[ev.Executor]
	if e == nil || e.left || !slices.Contains(l.cfg.Hosts, ev.From) || ev.From == l.cfg.Self {
		return
	}
	if now < max(l.cfg.ShareFrom, l.started+l.cfg.LendFor+l.cfg.Margin) {
		return
	}
	if ev.Lease != "" {
		l.extendLent(now, e, ev)
		return
	}
	lentNow := e.lentCount()
	const keepFree = 1
	idle := e.share - lentNow - ev.OwnRunning - keepFree
	count := min(ev.Count, idle, Lendable(e.share)-lentNow)
	if count <= 0 {
		return
	}
	lease := l.newLeaseID()
	until := now + l.cfg.LendFor + l.cfg.Margin
	e.lent = append(e.lent, lentSlots{to: ev.From, lease: lease, count: count, until: until})
	l.lend(e, ev, lease, count)
}

func (l *SlotLedger) lend(e *ledgerExecutor, ev SlotsRequested, lease string, count int) {
	l.emit(LendSlots{
		To:       ev.From,
		Executor: e.id,
		Lease:    lease,
		Count:    count,
		Duration: l.cfg.LendFor,
		Sequence: ev.Sequence,
	})
}

func (e *ledgerExecutor) lentCount() int {
	lentNow := 0
	for i := range e.lent {
		lentNow += e.lent[i].count
	}
	return lentNow
}

// extendLent extends a lease unless more important work is queued here than at
// the peer. At equal importance the peer keeps the slots: it asked for them
// because its load is higher, and this host still has the part of its share that
// is not lendable. Otherwise the slots would return to this host at the peak of
// the load.
func (l *SlotLedger) extendLent(now time.Duration, e *ledgerExecutor, ev SlotsRequested) {
	if e.waiting != "" && indexOf(e.waiting) < indexOf(ev.Waiting) {
		return
	}
	if e.lentCount() > Lendable(e.share) {
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

// handleSlotsLent accepts a lease that answers a pending request of this run; a
// repeated response is ignored. The duration of the lease counts from the request,
// which is earlier than the response from which the lender counts.
func (l *SlotLedger) handleSlotsLent(now time.Duration, ev SlotsLent) {
	e := l.executors[ev.Executor]
	if e == nil {
		return
	}
	at := slices.IndexFunc(e.pendingRequests, func(q pendingRequest) bool { return q.sequence == ev.Sequence && q.to == ev.From })
	if at < 0 {
		return
	}
	request := e.pendingRequests[at]
	until := request.at + min(ev.Duration, l.cfg.LendFor)
	e.pendingRequests = slices.Delete(e.pendingRequests, at, at+1)
	if request.lease != "" {
		// The lender counts the slots of the lease named in its response as lent,
		// so no other lease is extended.
		if ev.Lease == request.lease {
			e.extendBorrowed(request.lease, until)
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

// extendBorrowed extends a borrowed lease. A lease that was returned or has ended
// is not restored.
func (e *ledgerExecutor) extendBorrowed(lease string, until time.Duration) {
	for i := range e.borrowed {
		if e.borrowed[i].ID == lease {
			e.borrowed[i].Until = max(e.borrowed[i].Until, until)
		}
	}
}

func (l *SlotLedger) handleSlotsReturned(ev SlotsReturned) {
	e := l.executors[ev.Executor]
	if e == nil {
		return
	}
	e.lent = slices.DeleteFunc(e.lent, func(s lentSlots) bool { return s.lease == ev.Lease && s.to == ev.From })
}

// idleLeaseTimeout is how long a lease may be unused before it is returned.
const idleLeaseTimeout = 300 * time.Millisecond

// handleSlotUse returns idle leases, and asks for extensions of the others and for
// more slots if requests are queued. It asks the peers for slots in rotation.
func (l *SlotLedger) handleSlotUse(now time.Duration, use SlotUse) {
	e := l.executors[use.Executor]
	if e == nil {
		return
	}
	e.waiting = use.Waiting
	l.returnIdleLeases(now, e, use)
	l.requestExtensions(now, e, use)
	if use.Wanted <= 0 || now-e.lastRequest < requestInterval {
		return
	}
	peers := slices.DeleteFunc(slices.Clone(l.cfg.Hosts), func(host string) bool { return host == l.cfg.Self })
	if len(peers) == 0 {
		return
	}
	e.lastRequest = now
	e.nextPeer++
	peer := peers[e.nextPeer%len(peers)]
	l.sendRequest(now, e, RequestSlots{To: peer, Count: use.Wanted, Waiting: use.Waiting})
}

// sendRequest sends a request to a peer and records when it was sent.
func (l *SlotLedger) sendRequest(now time.Duration, e *ledgerExecutor, request RequestSlots) {
	l.sequence++
	request.Executor = e.id
	// The incarnation in the sequence number identifies responses to requests of an
	// earlier run.
	request.Sequence = l.cfg.Incarnation<<32 | l.sequence&0xffffffff
	e.pendingRequests = append(e.pendingRequests, pendingRequest{to: request.To, lease: request.Lease, sequence: request.Sequence, at: now})
	l.emit(request)
}

// requestExtensions asks to extend the borrowed leases of which at least half the
// duration has passed, if requests are queued.
func (l *SlotLedger) requestExtensions(now time.Duration, e *ledgerExecutor, use SlotUse) {
	if use.Waiting == "" {
		return
	}
	for i := range e.borrowed {
		s := &e.borrowed[i]
		if s.Until-now > l.cfg.LendFor/2 || now-s.lastRequest < requestInterval {
			continue
		}
		s.lastRequest = now
		l.sendRequest(now, e, RequestSlots{To: s.from, Count: s.Count, Lease: s.ID, Waiting: use.Waiting})
	}
}

func (l *SlotLedger) returnIdleLeases(now time.Duration, e *ledgerExecutor, use SlotUse) {
	e.borrowed = slices.DeleteFunc(e.borrowed, func(s borrowedSlots) bool {
		if s.idle && now-s.idleSince >= idleLeaseTimeout && use.Leases[s.ID] == 0 && use.Wanted == 0 {
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

// reportSlotChanges emits a SlotsChanged for each executor whose slots or leases
// have changed.
func (l *SlotLedger) reportSlotChanges(now time.Duration) {
	for _, e := range l.sortedExecutors() {
		update := SlotsUpdated{Executor: e.id, Own: l.ownSlots(now, e)}
		digest := strconv.Itoa(update.Own)
		for i := range e.borrowed {
			update.Leases = append(update.Leases, e.borrowed[i].Lease)
			digest += "," + e.borrowed[i].ID + "@" + e.borrowed[i].Until.String()
		}
		if digest == e.lastReported {
			continue
		}
		e.lastReported = digest
		l.emit(SlotsChanged{Update: update})
	}
	l.removeUnusedExecutors()
}

// removeUnusedExecutors removes executors that have left and of which no slot is
// lent or borrowed.
func (l *SlotLedger) removeUnusedExecutors() {
	for id, e := range l.executors {
		if e.left && len(e.lent)+len(e.borrowed) == 0 {
			delete(l.executors, id)
		}
	}
}

func (l *SlotLedger) emit(effect Effect) { l.effects = append(l.effects, effect) }
