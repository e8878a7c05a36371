package raft_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/raft"
)

// trio runs voters a, b and c over links that lose nothing and keep the order.
type trio struct {
	nodes   map[string]*raft.Node
	applied map[string]uint64
	// links holds the messages that were sent and not received yet.
	links []raft.Message
}

// newTrio returns three voters of which a has been elected at 2 s.
func newTrio(cfg raft.Config) *trio {
	GinkgoHelper()
	voters := raft.Membership{Voters: []string{"a", "b", "c"}}
	t := &trio{nodes: map[string]*raft.Node{}, applied: map[string]uint64{}}
	for _, id := range voters.Voters {
		cfg.ID, cfg.Group = id, "g"
		n, err := raft.New(cfg, raft.RestoredState{
			Snapshot: raft.SnapshotMeta{Index: 1, Term: 1, Membership: voters}, SnapshotData: []byte("snapshot"),
		})
		Expect(err).NotTo(HaveOccurred())
		n.Tick(0)
		t.nodes[id] = n
	}
	t.nodes["a"].Tick(2 * time.Second)
	t.settle(2*time.Second, func() bool { return false })
	Expect(t.nodes["a"].Status().Role).To(Equal(raft.RoleLeader))
	return t
}

// process does the pending work of a node: it queues messages before it applies entries
// and stores the rest.
func (t *trio) process(id string) {
	for {
		rd, hasWork := t.nodes[id].Ready()
		if !hasWork {
			return
		}
		t.links = append(t.links, rd.Messages...)
		for _, e := range rd.Committed {
			t.applied[id] = e.Index
		}
		t.nodes[id].Advance(rd)
	}
}

// settle passes on messages until none is left or until says so after a step. No time
// passes.
func (t *trio) settle(now time.Duration, until func() bool) {
	GinkgoHelper()
	for id := range t.nodes {
		t.process(id)
	}
	for len(t.links) > 0 && !until() {
		m := t.links[0]
		t.links = t.links[1:]
		if n := t.nodes[m.To]; n != nil {
			Expect(n.Step(now, m)).To(Succeed())
			t.process(m.To)
		}
	}
}

var _ = Describe("a leader that is lost as soon as it has applied a command", func() {
	never := func() bool { return false }

	// Guards against an accepted command that the others apply only after one or two
	// elections, because the lost leader alone knew that it is committed.
	DescribeTable("has told the others of the commit", func(announce, durable bool, want uint64) {
		t := newTrio(raft.Config{AnnounceCommit: announce, DurableCommit: durable})
		now := 2*time.Second + time.Millisecond
		index, _, err := t.nodes["a"].Propose(now, []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		t.settle(now, func() bool { return t.applied["a"] == index })
		Expect(t.applied["a"]).To(Equal(index))
		delete(t.nodes, "a")
		t.settle(now, never)
		Expect([]uint64{t.applied["b"], t.applied["c"]}).To(HaveEach(index - 1 + want))
	},
		Entry("at once", true, false, uint64(1)),
		Entry("at once with a durable commit index", true, true, uint64(1)),
		Entry("with the next heartbeat otherwise", false, true, uint64(0)),
	)

	// Guards against an announcement for each reply in place of one for each commit.
	It("has sent one message for it to each of them", func() {
		t := newTrio(raft.Config{AnnounceCommit: true})
		now := 2*time.Second + time.Millisecond
		_, _, err := t.nodes["a"].Propose(now, []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		sent := 0
		t.settle(now, func() bool {
			if m := t.links[0]; m.From == "a" && len(m.Entries) == 0 {
				sent++
			}
			return false
		})
		Expect(sent).To(Equal(2))
	})
})
