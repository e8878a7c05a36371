package fleet

import "time"

// searchRetryInterval is the minimum time between two searches of a waiting task set that both
// look at every executor and its runs. What they depend on changes with the age of the runs, so
// that another one in the next round finds the same; a few of them took most of the time of a
// round. The interval is short beside a run and a stop.
const searchRetryInterval = 200 * time.Millisecond

const (
	// searchRoundInterval is the minimum time between two rounds with such searches. The first
	// search of a round finds the cost of stopping each run, some 4 ms with 16,000 runs, which the
	// others use again.
	searchRoundInterval = 60 * time.Millisecond
	// maxSearchesPerRound bounds the searches in one round. One of them takes up to 1 ms with 910
	// executors beside that.
	maxSearchesPerRound = 8
	// fullSearchRuns is the number of runs for which these bounds hold. With fewer runs searches
	// take less time, and are made the more often.
	fullSearchRuns = 16_000
)

// searchPause returns the part of an interval between searches that the present number of runs
// justifies.
func (rs *roundState) searchPause(interval time.Duration) time.Duration {
	return min(interval, interval*time.Duration(rs.runs)/fullSearchRuns)
}

// maxSearches returns the number of searches that the present number of runs allows in a round.
func (rs *roundState) maxSearches() int {
	return max(maxSearchesPerRound, maxSearchesPerRound*fullSearchRuns/max(rs.runs, 1))
}

// searchKey identifies a search of a step that found nothing.
type searchKey struct {
	step stepKey
	kind searchKind
}

// searchKind is what a search is for.
type searchKind uint8

const (
	// searchVictims is a search for runs to stop outside a guarantee.
	searchVictims searchKind = iota
	// searchReservation is one for executors to reserve.
	searchReservation
)

// failedSearch is when a search failed, and what would make another one differ at once.
type failedSearch struct {
	at time.Duration
	// triedAt is when the task set would have searched last.
	triedAt time.Duration
	// tasks is the number of tasks, unplaced that of those to find executors for.
	tasks, unplaced int
	reason          WaitReason
}

// mayRetry reports whether a search may be made, and returns the last one that failed. A search
// that has to wait for the budget makes the next round with searches due.
func (c *Controller) mayRetry(rs *roundState, key searchKey, tasks, unplaced int) (failedSearch, bool) {
	last, failed := c.failedSearches[key]
	if failed {
		last.triedAt = rs.now
		c.failedSearches[key] = last
	}
	if failed && rs.now < last.at+c.searchInterval(rs) && last.tasks == tasks && last.unplaced == unplaced {
		return last, false
	}
	if rs.searches >= rs.maxSearches() || rs.now < c.nextSearchRound {
		c.searchPending = true
		c.out.Round.DelayedSearches++
		return last, false
	}
	rs.searches++
	return last, true
}

// maySearchVictims reports whether a task set may search for runs to stop. One within a guarantee
// is not counted, and waits only after a search that has found too few.
func (c *Controller) maySearchVictims(rs *roundState, ts *taskSet, key searchKey, unplaced int) bool {
	if !ts.guaranteed {
		_, may := c.mayRetry(rs, key, len(ts.tasks), unplaced)
		return may
	}
	last, failed := c.failedSearches[key]
	if failed {
		last.triedAt = rs.now
		c.failedSearches[key] = last
	}
	return !failed || rs.now >= last.at+rs.searchPause(searchRoundInterval) || last.tasks != len(ts.tasks) || last.unplaced != unplaced
}

// searchInterval is the time between two searches of one task set. It leaves each of those that
// find nothing a turn within the budget of the rounds.
func (c *Controller) searchInterval(rs *roundState) time.Duration {
	turns := len(c.failedSearches)/rs.maxSearches() + 1
	return max(rs.searchPause(searchRetryInterval), time.Duration(turns)*rs.searchPause(searchRoundInterval))
}

// forgetSearches drops what is known of the failed searches of a step.
func (c *Controller) forgetSearches(key stepKey) {
	delete(c.failedSearches, searchKey{step: key, kind: searchVictims})
	delete(c.failedSearches, searchKey{step: key, kind: searchReservation})
}
