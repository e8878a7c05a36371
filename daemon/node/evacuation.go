package node

import (
	"errors"
	"time"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/domain"
	"cranberrydrum.dev/scheduler/jobs"
	"cranberrydrum.dev/scheduler/structs"
)

// evacuationOrder starts or ends the evacuation of a failure domain.
type evacuationOrder struct {
	Domain string `msgpack:"d"`
	Active bool   `msgpack:"a"`
}

// evacuationReply is the reply to an order. Age is the time since the order that took
// effect, on the domain clock.
type evacuationReply struct {
	Age time.Duration `msgpack:"t"`
}

// Evacuate stores the order to start no gang in a failure domain, or to use it again.
// It returns once the order is committed, or at once if the state is as ordered.
func (n *Node) Evacuate(domainName string, active bool, timeout time.Duration) (api.EvacuationStatus, error) {
	reply, err := n.sendEvacuation(&evacuationOrder{Domain: domainName, Active: active}, timeout)
	if err != nil {
		n.metrics.CountEvacuationOrder(active, evacuationResult(err))
		n.log.Info("evacuation order not acknowledged", "domain", domainName, "active", active, "reason", err.Error())
		return api.EvacuationStatus{}, err
	}
	n.metrics.CountEvacuationOrder(active, "acknowledged")
	return api.EvacuationStatus{FailureDomain: domainName, Evacuated: active, AgeMS: reply.Age.Milliseconds()}, nil
}

func (n *Node) sendEvacuation(order *evacuationOrder, timeout time.Duration) (*evacuationReply, error) {
	if order.Domain == "" {
		return nil, structs.RefuseNotRun(structs.CodeInvalid, "no failure domain is given")
	}
	if refusal := n.checkDomain(order.Domain); refusal != nil {
		return nil, refusal
	}
	return callLeader[evacuationReply](n, domainGroup(order.Domain), methodDomainEvacuate, order, timeout, true)
}

// evacuationResult returns the metrics label of an order that was not acknowledged.
func evacuationResult(err error) string {
	var refusal *structs.Refusal
	if errors.As(err, &refusal) {
		return string(refusal.Code)
	}
	return string(structs.CodeOutcomeUnknown)
}

// handleEvacuate carries out an order on the owner of the failure domain.
func (n *Node) handleEvacuate(_ string, order *evacuationOrder, remaining time.Duration) (any, error) {
	reply := &evacuationReply{}
	var command []byte
	var term uint64
	err := n.runAsOwner(order.Domain, func(now time.Duration, o *domainOwner) error {
		use := o.state.Jobs().Use()
		// While an earlier order may still be committed, the state does not tell
		// the use after it, and a repeated order is stored as well.
		if use.Evacuated == order.Active && o.unsettledOrders == 0 {
			reply.Age = evacuationAge(now, o)
			return nil
		}
		if refusal := n.checkMembersEvacuate(order.Domain); refusal != nil {
			return refusal
		}
		var err error
		command, err = domain.EncodeJobs(o.controller.Command(now, &jobs.Evacuate{Active: order.Active}))
		if err != nil {
			return err
		}
		o.unsettledOrders++
		term = o.term
		return nil
	})
	if err != nil {
		return nil, err
	}
	if command == nil {
		n.log.Info("evacuation order changes nothing", "domain", order.Domain, "active", order.Active)
		return reply, nil
	}
	return reply, n.proposeEvacuation(order, command, term, remaining)
}

// proposeEvacuation proposes an order and waits until it is committed.
func (n *Node) proposeEvacuation(order *evacuationOrder, command []byte, term uint64, remaining time.Duration) error {
	data, err := n.group(domainGroup(order.Domain)).Propose(command, remaining)
	var refusal *structs.Refusal
	if err == nil || errors.As(err, &refusal) && refusal.Outcome == structs.OutcomeNotRun {
		_ = n.runAsOwner(order.Domain, func(_ time.Duration, o *domainOwner) error {
			if o.term == term {
				o.unsettledOrders--
			}
			return nil
		})
	}
	if err != nil {
		return err
	}
	result, err := jobs.DecodeResult(data)
	if err != nil {
		return err
	}
	if result.Refusal != nil {
		return result.Refusal
	}
	n.log.Info("evacuation order stored", "domain", order.Domain, "active", order.Active)
	return nil
}

// checkMembersEvacuate refuses an order while a member of the log runs a version that
// does not know evacuations. It would skip the entry, start gangs if it became the
// owner, and its state would differ from that of the other members. A member that has
// not sent its status yet does not hold the order up, because it may be down for long.
func (n *Node) checkMembersEvacuate(domainName string) *structs.Refusal {
	for _, id := range n.group(domainGroup(domainName)).Status().Membership.Members() {
		if h, known := n.hosts.get(id); known && h.seen && !h.status.Evacuates {
			return structs.RefuseNotRun(structs.CodeUpgradeIncomplete, "host "+id+" runs an earlier version, which does not know evacuations")
		}
	}
	return nil
}

// evacuationAge returns the time since the last order about a failure domain.
func evacuationAge(now time.Duration, o *domainOwner) time.Duration {
	return max(0, o.controller.Clock(now)-o.state.Jobs().Use().ChangedAt)
}

// evacuationOf returns the evacuation status of a failure domain.
func evacuationOf(now time.Duration, o *domainOwner) api.EvacuationStatus {
	status := api.EvacuationStatus{FailureDomain: o.domain, Evacuated: o.state.Jobs().Use().Evacuated}
	if status.Evacuated {
		status.AgeMS = evacuationAge(now, o).Milliseconds()
	}
	return status
}

// publishEvacuation sets the metrics of the evacuation once a second, because a step
// takes place many times a second.
func (o *domainOwner) publishEvacuation(now time.Duration) {
	if now < o.nextPublish {
		return
	}
	o.nextPublish = now + evacuationPublishInterval
	age := time.Duration(0)
	evacuated := o.state.Jobs().Use().Evacuated
	if evacuated {
		age = evacuationAge(now, o)
	}
	o.metrics.SetEvacuation(o.domain, evacuated, age)
}

// evacuationPublishInterval is the interval of updates of the evacuation metrics.
const evacuationPublishInterval = time.Second
