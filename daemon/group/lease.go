package group

import (
	"time"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/panics"
)

// RunOnLoop runs a function on the goroutine of the group, where it can read the
// state machine, and waits for it. It reports whether the function ran.
func (g *Group) RunOnLoop(f func(now time.Duration)) bool {
	ran := make(chan struct{})
	fn := func(now time.Duration) {
		f(now)
		close(ran)
	}
	select {
	case g.functions <- fn:
	case <-g.done:
		return false
	}
	select {
	case <-ran:
		return true
	case <-g.done:
	}
	// Both channels may be closed, because the group may stop right after it ran
	// the function.
	select {
	case <-ran:
		return true
	default:
		return false
	}
}

// ReadOnLoop is RunOnLoop for a function that only reads the state. A panic in it
// ends only this call and is returned.
func (g *Group) ReadOnLoop(f func(now time.Duration)) (ran bool, err error) {
	ran = g.RunOnLoop(func(now time.Duration) {
		err = panics.Catch("read_of_log", func() { f(now) })
	})
	if !ran {
		return false, nil
	}
	return true, err
}

// CurrentStatus returns the status of the replica at this moment, while Status returns
// the last published one. It reports whether the group runs.
func (g *Group) CurrentStatus() (status raft.Status, running bool) {
	running = g.RunOnLoop(func(time.Duration) { status = g.cfg.Replica.Status() })
	return status, running
}

// HoldsLease reports whether this host leads at this moment and no other host
// can lead. Check it before an effect outside the group.
func (g *Group) HoldsLease() bool {
	holds := false
	ran := g.RunOnLoop(func(time.Duration) {
		// Read the clock again instead of using the time at the start of the
		// step, because the process may have been paused since then.
		holds = g.cfg.Replica.HoldsLease(g.cfg.Now())
	})
	return ran && holds
}

// IsReadyLeaderNow reports whether this host leads with the lease and a current
// state at this moment.
func (g *Group) IsReadyLeaderNow() bool {
	ok := false
	ran := g.RunOnLoop(func(time.Duration) {
		_, ok = g.cfg.Replica.LeaseReadIndex(g.cfg.Now())
	})
	return ran && ok
}

// LeaseEnd returns the end of the leader lease as of the last step, or 0 if this
// host held none. It is cheap enough to check right before each effect outside
// the group; the lease may have been extended since.
func (g *Group) LeaseEnd() time.Duration { return time.Duration(g.leaseEnd.Load()) }

// HoldsLeaseOnLoop is HoldsLease for callers that already run on the goroutine
// of the group, where HoldsLease would deadlock.
func (g *Group) HoldsLeaseOnLoop() bool { return g.cfg.Replica.HoldsLease(g.cfg.Now()) }
