package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// A report may be late or come from another sender, so it does not prove that another
// incarnation is over. An incarnation that seems superseded keeps its leases and is asked
// by a probe. Its runs are over once another incarnation answers at its address, it
// deregisters or its leases end.

// supersede takes an incarnation out of use that a report or a deregistration claims to be
// over. It stays in the directory, so that its departure notice is not forgotten.
func (c *Controller) supersede(now time.Duration, e *executor, reason string) {
	c.log.Info("executor superseded", "executor", e.key.ID, "born", e.key.Incarnation, "address", e.address, "reason", reason, "runs", len(e.runs))
	c.unlink(e)
	c.lost[e.key] = e
	e.supersededAt, e.nextProbeAt, e.probeUntil = now, now, max(e.leaseEnd, now+c.cfg.Lease)
}

// unlink removes an incarnation from the known executors.
func (c *Controller) unlink(e *executor) {
	if c.executors[e.key.ID] == e {
		delete(c.executors, e.key.ID)
		c.ordered = nil
	}
	if c.byAddress[e.address] == e {
		delete(c.byAddress, e.address)
	}
	c.dirty = true
}

// leaveDirectory removes an incarnation from the directory.
func (c *Controller) leaveDirectory(e *executor) {
	if entry := c.state.Executor(e.key.ID); entry != nil && entry.Key == e.key {
		c.departed = append(c.departed, e.key)
	}
}

// forgetLost removes an incarnation without runs from lost once no probe can reinstate it.
func (c *Controller) forgetLost(now time.Duration, e *executor) {
	if len(e.runs) > 0 || (e.supersededAt > 0 && now < e.probeUntil) {
		return
	}
	if e.supersededAt > 0 {
		c.leaveDirectory(e)
	}
	delete(c.lost, e.key)
}

// withdraw removes an incarnation from the known executors. Its runs may continue until
// their leases end.
func (c *Controller) withdraw(e *executor, reason string) {
	c.log.Info("executor withdrawn", "executor", e.key.ID, "born", e.key.Incarnation, "address", e.address, "reason", reason, "runs", len(e.runs))
	c.runTimes.model.ForgetExecutor(e.key.ID)
	c.detach(e)
}

// removeExecutor ends an executor incarnation. All of its runs are over.
func (c *Controller) removeExecutor(now time.Duration, e *executor, reason string) {
	c.log.Info("executor gone", "executor", e.key.ID, "born", e.key.Incarnation, "reason", reason, "runs", len(e.runs))
	c.runTimes.model.ForgetExecutor(e.key.ID)
	c.detach(e)
	e.supersededAt, e.leaseEnd = 0, now
}

func (c *Controller) detach(e *executor) {
	c.unlink(e)
	c.leaveDirectory(e)
	// The runs are kept until their ends are applied.
	if len(e.runs) > 0 {
		c.lost[e.key] = e
	}
}

// answersAtAddress reports whether an incarnation answers at its address, so that it has not moved.
func (e *executor) answersAtAddress() bool {
	return e.address != "" && e.confirmedAddress == e.address && e.failedHolds == 0
}

// hasLeftItself reports whether exactly this incarnation deregistered.
func (c *Controller) hasLeftItself(key workload.ExecutorKey) bool {
	return c.state.HasLeft(key) && !c.state.HasLeft(workload.ExecutorKey{ID: key.ID, Incarnation: key.Incarnation + 1})
}

// sendProbes asks the superseded incarnations whether they are still there.
func (c *Controller) sendProbes(now time.Duration) {
	for _, e := range c.lost {
		if e.supersededAt == 0 || e.probeInFlight || e.address == "" || now < e.nextProbeAt || now >= e.probeUntil {
			continue
		}
		if c.cfg.MaxLongPolls > 0 && c.shortPolls >= c.cfg.MaxLongPolls/shortPollDivisor {
			return
		}
		c.shortPolls++
		e.probeInFlight = true
		// A cursor would acknowledge ends of a later incarnation with the same ID, and a
		// deadline would prolong the leases of one that cannot be used.
		c.call(now, e, Call{Kind: CallHold, Probe: true, Timeout: holdTimeoutMargin})
	}
}

// addressee returns the incarnation that a response came from if that is the one that
// the call was sent to, otherwise nil.
func (c *Controller) addressee(now, unix time.Duration, call *Call, response *Response) *executor {
	e := c.executors[call.Executor.ID]
	if e == nil || e.key != call.Executor {
		e = c.lost[call.Executor]
		if e == nil {
			return nil
		}
		if e.supersededAt == 0 {
			e.clearInFlight(call)
			return nil
		}
	}
	if call.Probe {
		e.probeInFlight, e.nextProbeAt = false, now+holdRetryDelay
	}
	if !c.isAnswerOf(now, unix, e, call, response) {
		e.clearInFlight(call)
		return nil
	}
	if response.Verdict == VerdictAccepted {
		e.confirmedAddress = call.Address
	}
	if call.Probe {
		if response.Verdict == VerdictAccepted && response.Incarnation == e.key.Incarnation {
			c.reinstate(e)
		}
		// The list may be older than that of a hold, so it is not used.
		return nil
	}
	return e
}

// clearInFlight records that a call is over without an answer of the executor.
func (e *executor) clearInFlight(call *Call) {
	r := e.runs[call.Task]
	switch {
	case call.Probe:
		e.probeInFlight = false
	case call.Kind == CallHold:
		e.holdInFlight = false
	case r == nil || r.number != call.Run:
	case call.Kind == CallStart:
		r.startInFlight = false
	case call.Kind == CallStop:
		r.stopInFlight = false
	}
}

// isAnswerOf reports whether no other incarnation than e answered a call, and acts on the
// answer of another one.
func (c *Controller) isAnswerOf(now, unix time.Duration, e *executor, call *Call, response *Response) bool {
	isOther := response.Verdict == VerdictOtherIncarnation
	if !isOther && (response.Incarnation == 0 || response.Incarnation == e.key.Incarnation) {
		return true
	}
	if isOther {
		c.endMisdirectedStart(unix, e, call)
	}
	c.log.Info("response from another incarnation of the executor", "executor", e.key.ID, "born", e.key.Incarnation, "answered_born", response.Incarnation,
		"address", call.Address, "confirmed_address", e.confirmedAddress, "probe", call.Probe)
	switch {
	case response.Incarnation > e.key.Incarnation && !isOther:
		c.removeRestarted(now, unix, e)
	case isOther && call.Address == e.confirmedAddress:
		c.removeExecutor(now, e, "other_life")
	case e.supersededAt > 0:
		// It never answered at this address, so it may be at another one.
	default:
		c.supersede(now, e, "not_at_address")
		c.leaveDirectory(e)
		if earlier := c.lost[workload.ExecutorKey{ID: e.key.ID, Incarnation: response.Incarnation}]; earlier != nil && !isOther && earlier.supersededAt > 0 {
			c.reinstate(earlier)
		}
	}
	return false
}

// endMisdirectedStart closes a start that another executor refused, and ends the run if no
// other start is open.
func (c *Controller) endMisdirectedStart(unix time.Duration, e *executor, call *Call) {
	r := e.runs[call.Task]
	if call.Kind != CallStart || r == nil || r.number != call.Run || r.end != nil || r.term != c.term {
		return
	}
	r.openStarts--
	if r.openStarts == 0 {
		c.propose(unix, []workload.End{c.recordEnd(e, call.Task, r, workload.EndNotStarted, EvidenceStartsRefused, "")})
	}
}

// reinstate makes a superseded incarnation that still answers known again, unless the one
// that superseded it has answered as well.
func (c *Controller) reinstate(e *executor) {
	if e.supersededAt == 0 || c.state.HasLeft(e.key) {
		return
	}
	for _, claimant := range []*executor{c.executors[e.key.ID], c.byAddress[e.address]} {
		switch {
		case claimant == nil || claimant == e:
		case claimant.reported && claimant.confirmedAddress == claimant.address:
			return
		default:
			c.withdraw(claimant, "refuted")
		}
	}
	c.log.Info("executor still answers", "executor", e.key.ID, "born", e.key.Incarnation, "address", e.address, "runs", len(e.runs))
	delete(c.lost, e.key)
	e.supersededAt = 0
	c.executors[e.key.ID], c.byAddress[e.address], c.ordered = e, e, nil
	for _, other := range c.executors {
		// They may have other members of the gangs that run on this one.
		other.uncheckedList = true
	}
	c.dirty = true
}
