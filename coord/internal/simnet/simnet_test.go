package simnet_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/internal/simnet"
)

func TestSimnet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "simnet")
}

// arrivals sends messages from a to b, one each millisecond, and returns the
// deliveries in the order of arrival.
func arrivals(n *simnet.Network[int], count int) []simnet.Delivery[int] {
	for i := range count {
		n.Send(time.Duration(i)*time.Millisecond, "a", "b", i)
	}
	var all []simnet.Delivery[int]
	for {
		d, ok := n.Deliver(time.Hour)
		if !ok {
			return all
		}
		all = append(all, d)
	}
}

var _ = Describe("Network", func() {
	lossy := simnet.Conditions{MinDelay: time.Millisecond, MaxDelay: 50 * time.Millisecond, Loss: 0.2, Duplicate: 0.3}

	// A failure in a simulation can only be examined if it can be reproduced.
	It("is deterministic for a seed", func() {
		first := arrivals(simnet.New[int](7, lossy), 500)
		Expect(arrivals(simnet.New[int](7, lossy), 500)).To(Equal(first))
		Expect(arrivals(simnet.New[int](8, lossy), 500)).NotTo(Equal(first))
	})

	// Guards against simulations that pass because the network has no faults.
	It("loses, duplicates, delays and reorders messages", func() {
		n := simnet.New[int](7, lossy)
		all := arrivals(n, 1000)
		s := n.Stats()
		Expect(s.Lost).To(BeNumerically("~", 200, 60))
		Expect(s.Duplicated).To(BeNumerically("~", 240, 60))
		Expect(uint64(len(all))).To(Equal(s.Sent - s.Lost + s.Duplicated))
		reordered := 0
		for i, d := range all {
			sent := time.Duration(d.Message) * time.Millisecond
			Expect(d.At - sent).To(And(BeNumerically(">=", lossy.MinDelay), BeNumerically("<=", lossy.MaxDelay)))
			if i > 0 {
				Expect(d.At).To(BeNumerically(">=", all[i-1].At))
			}
			if i > 0 && d.Message < all[i-1].Message {
				reordered++
			}
		}
		Expect(reordered).To(BeNumerically(">", 100))
	})

	// Guards against partitions that let messages through or do not end.
	It("cuts links in one or both directions until they heal", func() {
		n := simnet.New[int](7, simnet.Conditions{})
		n.Cut("a", "b")
		Expect(n.Connected("a", "b") || !n.Connected("b", "a")).To(BeFalse())
		n.Partition([]string{"a"}, []string{"b", "c"})
		Expect(n.Connected("c", "a") || !n.Connected("b", "c")).To(BeFalse())
		Expect(arrivals(n, 3)).To(BeEmpty())
		n.Heal()
		Expect(arrivals(n, 3)).To(HaveLen(3))
		n.SetLink("a", "b", simnet.Conditions{Loss: 1})
		Expect(arrivals(n, 3)).To(BeEmpty())
	})

	// Guards against messages that arrive after the connections of a host were
	// closed.
	It("discards the messages in transit to a host", func() {
		n := simnet.New[int](7, simnet.Conditions{MinDelay: time.Second})
		n.Send(0, "a", "b", 1)
		n.Send(0, "a", "c", 2)
		n.Discard("b")
		d, ok := n.Deliver(time.Hour)
		Expect(ok).To(BeTrue())
		Expect(d.To).To(Equal("c"))
		_, ok = n.Next()
		Expect(ok).To(BeFalse())
	})
})
