package control

import (
	"errors"
	"slices"
	"time"

	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

// maxOrderAge is how long an order may have waited on the leader when it is decided. The
// operator sends an order again after 1 s without a response, perhaps to another host, so an
// older one may precede an order that was acknowledged meanwhile.
const maxOrderAge = forwardTimeout

// recentFinish is the time after the end of an evacuation in which a start is logged as one
// that may be a delayed duplicate: orders name no version that would tell.
const recentFinish = time.Minute

// Evacuate stores the order to start nothing in a failure domain, or to use it again. It
// returns once the order is committed, also if it changes nothing. The error is a
// *structs.Refusal.
func (n *Node) Evacuate(order workload.Evacuation) error {
	_, err := forwardToLeader(n, MethodEvacuate, &order, func() (*emptyReply, error) { return &emptyReply{}, n.evacuate(order) })
	result := "acknowledged"
	if err != nil {
		result = resultOf(err)
		n.log.Info("evacuation order not acknowledged", "domain", order.Domain, "active", order.Active, "reason", err.Error())
	}
	n.cfg.Observer.CountEvacuationOrder(order.Active, result)
	return err
}

// resultOf returns the code of a refusal, for metrics.
func resultOf(err error) string {
	var refused *structs.Refusal
	if errors.As(err, &refused) {
		return string(refused.Code)
	}
	return string(structs.CodeOutcomeUnknown)
}

// evacuate carries out an order on the leader.
func (n *Node) evacuate(order workload.Evacuation) error {
	receivedAt := clock.Boot()
	known := slices.Contains(n.cfg.Domains, order.Domain)
	var use workload.DomainUse
	if err := n.readAsLeader(func() {
		known = known || order.Domain != "" && n.state.HasDomain(order.Domain)
		use = n.state.DomainUse(order.Domain)
	}); err != nil {
		return err
	}
	age := clock.Boot() - receivedAt
	switch {
	case !known:
		return structs.RefuseNotRun(structs.CodeInvalid, "unknown failure domain")
	case age > maxOrderAge:
		return structs.RefuseNotRun(structs.CodeDeadlineExpired, "the order waited too long on this host")
	}
	// An order that changes nothing is stored too: the state does not tell of an opposite
	// order that is proposed and not yet committed.
	result, err := n.propose(&workload.Command{At: clock.Unix(), Evacuate: &order}, forwardTimeout-age)
	if err != nil {
		return err
	}
	if result == workload.ResultUnchanged {
		n.log.Info("evacuation order changed nothing", "domain", order.Domain, "active", order.Active)
		return nil
	}
	if order.Active && use.ChangedAt > 0 && clock.Unix()-use.ChangedAt < recentFinish {
		n.log.Info("evacuation started after a recent finish; it may be a delayed order", "domain", order.Domain,
			"finished_ms_ago", (clock.Unix() - use.ChangedAt).Milliseconds())
	}
	evacuated := 0
	_ = n.readAsLeader(func() { n.state.EachEvacuated(func(string, time.Duration) { evacuated++ }) })
	n.log.Info("evacuation order stored", "domain", order.Domain, "active", order.Active, "evacuated_domains", evacuated)
	return nil
}

// observeEvacuated sets the metrics of the evacuated failure domains.
func (o *owner) observeEvacuated() {
	evacuated, now := 0, clock.Unix()
	oldest := now
	o.state.EachEvacuated(func(_ string, since time.Duration) {
		evacuated++
		oldest = min(oldest, since)
	})
	o.observeEvacuations(evacuated, now-oldest)
}
