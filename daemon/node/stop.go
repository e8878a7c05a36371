package node

import (
	"sync"
	"time"

	"cranberrydrum.dev/daemon/clock"
)

const (
	// replyFlushDelay is the time for sending the replies that are queued for other
	// hosts when the last request ends.
	replyFlushDelay = 100 * time.Millisecond
	// maxResponseTime bounds the time at the end of a stop for ending the requests
	// that are still in progress and writing their refusals.
	maxResponseTime = 2 * time.Second

	// The parts of a stop are bounded by fractions of the stop timeout.
	transferDivisor = 3
	responseDivisor = 4
)

// StopSchedule divides the time of a planned stop. The times are on clock.Boot.
type StopSchedule struct {
	// RefuseFrom is when the host refuses new requests.
	RefuseFrom time.Duration
	// TransferBy is the end of the transfer of leadership before the host stops
	// accepting connections.
	TransferBy time.Duration
	// AnswerBy is when the host ends the requests that are still in progress.
	AnswerBy time.Duration
	// CloseBy is when the last response is written.
	CloseBy time.Duration
}

// NewStopSchedule returns the schedule of a stop that begins now. The stop timeout
// begins after the balancer wait, so that it is left to requests in progress however
// long that wait is.
func (n *Node) NewStopSchedule() StopSchedule {
	refuseFrom := clock.Boot() + n.cfg.BalancerWait
	timeout := n.cfg.StopTimeout
	return StopSchedule{
		RefuseFrom: refuseFrom,
		TransferBy: refuseFrom + min(leadershipTransferTimeout, timeout/transferDivisor),
		AnswerBy:   refuseFrom + timeout - min(maxResponseTime, timeout/responseDivisor),
		CloseBy:    refuseFrom + timeout,
	}
}

// Stop shuts the host down gracefully: it reports that it is not ready, waits for
// the load balancer to notice, transfers leadership, finishes the requests in
// progress and closes its logs. It transfers leadership before it waits for
// requests, because the owner of request keys gets new requests for as long as it
// leads. It transfers leadership a second time, because a leader outside the
// failure domain may have transferred it back. stopAccepting returns when the
// requests on the connections of clients are finished, at most at schedule.AnswerBy.
func (n *Node) Stop(schedule StopSchedule, stopAccepting func()) {
	n.stopping.Store(true)
	n.broadcastStatus()
	n.log.Info("stopping", "balancer_wait", n.cfg.BalancerWait.String())
	n.wait(schedule.RefuseFrom - clock.Boot())
	n.refusing.Store(true)
	n.transferLeadership(schedule.TransferBy)
	stopAccepting()
	n.waitForRequests(schedule.AnswerBy)
	n.transferLeadership(min(clock.Boot()+leadershipTransferTimeout, schedule.AnswerBy))
	n.waitForRequests(schedule.AnswerBy)
	// A request that is still in progress is refused while the connections to the
	// other hosts can carry the refusal.
	n.closeServices()
	n.wait(replyFlushDelay)
	n.Close()
	n.log.Info("stopped")
}

// waitForRequests waits until no request is in progress, at most until a time on
// clock.Boot. Meanwhile an election or a leader outside the failure domain may make
// this host the leader again, and as the owner of request keys it would get new
// requests without end. It therefore transfers any leadership for as long as it waits.
func (n *Node) waitForRequests(end time.Duration) {
	done := make(chan struct{})
	var transfers sync.WaitGroup
	transfers.Go(func() { n.transferLeadershipUntil(done, end) })
	expired := make(chan struct{})
	timer := time.AfterFunc(end-clock.Boot(), func() { close(expired) })
	idle := n.inFlight.waitIdle(expired)
	timer.Stop()
	close(done)
	transfers.Wait()
	if !idle {
		n.log.Info("stop timeout reached with requests still in progress")
	}
}

// Close stops the host without waiting for requests or transferring leadership.
func (n *Node) Close() {
	close(n.stop)
	n.wg.Wait()
	n.transport.Close()
	n.closeServices()
	n.closeGroups()
	n.transport.WaitCalls()
	n.pool.Close()
}
