package node

import (
	"time"

	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// slotAction is the action of a slot message.
type slotAction uint8

const (
	slotRequest slotAction = iota + 1
	slotLoan
	slotReturn
)

// slotMessage requests, lends or returns slots of an executor between the hosts
// of one failure domain.
type slotMessage struct {
	Service  string        `msgpack:"s"`
	Action   slotAction    `msgpack:"a"`
	Executor string        `msgpack:"e"`
	Count    int           `msgpack:"c,omitempty"`
	Sequence uint64        `msgpack:"q,omitempty"`
	Lease    string        `msgpack:"l,omitempty"`
	Duration time.Duration `msgpack:"d,omitempty"`
	// Waiting is the most important class that is queued at the sender of a slot
	// request.
	Waiting structs.Class `msgpack:"w,omitempty"`
}

// slotRequestMessage returns the message for a RequestSlots effect of the ledger.
func slotRequestMessage(e serving.RequestSlots) slotMessage {
	return slotMessage{
		Action:   slotRequest,
		Executor: e.Executor,
		Count:    e.Count,
		Sequence: e.Sequence,
		Lease:    e.Lease,
		Waiting:  e.Waiting,
	}
}

// requestEvent converts a slot request into an event for the ledger of its
// receiver.
func (m slotMessage) requestEvent(from string, ownRunning int) serving.SlotsRequested {
	return serving.SlotsRequested{
		From:       from,
		Executor:   m.Executor,
		Count:      m.Count,
		Lease:      m.Lease,
		Waiting:    m.Waiting,
		Sequence:   m.Sequence,
		OwnRunning: ownRunning,
	}
}

func (n *Node) receiveSlots(from string, body []byte) {
	var m slotMessage
	if err := decodeMessage("slot message", body, &m); err != nil {
		n.metrics.FrameDropped(transport.KindSlots.String(), "malformed")
		return
	}
	if s := n.service(m.Service); s != nil {
		s.post(func() { s.handleSlotMessage(from, m) })
	}
}

// handleSlotMessage passes a message of a peer to the ledger.
func (s *service) handleSlotMessage(from string, m slotMessage) {
	switch m.Action {
	case slotRequest:
		s.ledgerStep(m.requestEvent(from, s.ownRunning(m.Executor)))
	case slotLoan:
		s.ledgerStep(serving.SlotsLent{
			From:     from,
			Executor: m.Executor,
			Lease:    m.Lease,
			Count:    m.Count,
			Duration: m.Duration,
			Sequence: m.Sequence,
		})
	case slotReturn:
		s.ledgerStep(serving.SlotsReturned{From: from, Executor: m.Executor, Lease: m.Lease})
	}
}

func (s *service) ownRunning(executor string) int {
	for _, use := range s.dispatcher.SlotUse(s.node.now()) {
		if use.Executor == executor {
			return use.OwnRunning
		}
	}
	return 0
}

// reportSlotUse reports the slots in use to the ledger, so that it returns idle
// borrowed slots and requests missing ones.
func (s *service) reportSlotUse() {
	s.ledgerStep(serving.SlotUseReported{Use: s.dispatcher.SlotUse(s.node.now())})
}

// reportSlotCount reports the number of slots of an executor to the ledger; 0 if
// the executor has left.
func (s *service) reportSlotCount(b structs.Backend) {
	slots := b.Slots
	if b.State == structs.BackendLeft {
		slots = 0
	}
	s.ledgerStep(serving.ExecutorSlots{Executor: b.ID, Slots: slots})
}

func (s *service) ledgerStep(event serving.LedgerEvent) {
	for _, effect := range s.ledger.Step(s.node.now(), event) {
		s.executeLedger(effect)
	}
}

func (s *service) executeLedger(effect serving.Effect) {
	switch e := effect.(type) {
	case serving.SlotsChanged:
		s.step(e.Update)
	case serving.RequestSlots:
		s.sendSlots(e.To, slotRequestMessage(e))
	case serving.LendSlots:
		s.sendSlots(e.To, slotMessage{
			Action:   slotLoan,
			Executor: e.Executor,
			Count:    e.Count,
			Sequence: e.Sequence,
			Lease:    e.Lease,
			Duration: e.Duration,
		})
	case serving.ReturnSlots:
		s.sendSlots(e.To, slotMessage{Action: slotReturn, Executor: e.Executor, Lease: e.Lease})
	}
}

// sendSlots sends a message without retry. Its loss is harmless, because slot
// leases expire.
func (s *service) sendSlots(to string, m slotMessage) {
	m.Service = s.name
	body, err := encodeMessage(&m)
	if err != nil {
		s.node.log.Error(err, "encoding a slot message failed")
		return
	}
	_ = s.node.transport.Send(to, transport.KindSlots, body)
}
