package raft_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/raft"
)

// leaderOf returns leader a of the voters and learners, of which all have replied at 2 s,
// and a function that passes replies of others to it at a later time.
func leaderOf(m raft.Membership) (n *raft.Node, receive func(now time.Duration, kind raft.Kind, from ...string)) {
	GinkgoHelper()
	n, err := raft.New(raft.Config{ID: "a", Group: "g"}, raft.RestoredState{
		HardState: raft.HardState{Term: 3, Commit: 5},
		Snapshot:  raft.SnapshotMeta{Index: 5, Term: 2, Membership: m}, SnapshotData: []byte("snapshot"),
	})
	Expect(err).NotTo(HaveOccurred())
	n.Tick(0)
	receive = func(now time.Duration, kind raft.Kind, from ...string) {
		n.Tick(now)
		drain(n)
		for _, id := range from {
			reply := raft.Message{Kind: kind, Group: "g", From: id, To: "a", Term: 4, Sent: now}
			if kind == raft.KindAppendReply {
				reply.Index = n.Status().LastIndex
			}
			Expect(n.Step(now, reply)).To(Succeed())
		}
		drain(n)
	}
	receive(2*time.Second, raft.KindPreVoteReply, m.Voters[1:]...)
	receive(2*time.Second, raft.KindVoteReply, m.Voters[1:]...)
	receive(2*time.Second, raft.KindAppendReply, m.Members()[1:]...)
	return n, receive
}

// proposeWith proposes a change to leader a of the voters and learners. Only the live ones
// have replied within an election timeout before the change.
func proposeWith(m raft.Membership, live []string, change raft.MemberChange) error {
	GinkgoHelper()
	n, receive := leaderOf(m)
	receive(2700*time.Millisecond, raft.KindAppendReply, live...)
	_, _, err := n.ProposeChange(3400*time.Millisecond, change)
	return err
}

var _ = Describe("ProposeChange", func() {
	three := raft.Membership{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}
	four := raft.Membership{Voters: []string{"a", "b", "c", "d"}}
	five := raft.Membership{Voters: []string{"a", "b", "c", "d", "e"}, Learners: []string{"f"}}

	// A change takes effect when it is appended. Without a majority of live voters in
	// the new membership it is never committed, nor is anything after it, and no
	// later change can repair that.
	DescribeTable("refuses a change that the new voters could not commit", func(m raft.Membership, live []string, op raft.ChangeOp, id string, want raft.ChangeReason) {
		change := raft.MemberChange{Op: op, ID: id}
		err := proposeWith(m, live, change)
		if want == "" {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(&raft.ChangeRefusedError{Change: change, Reason: want}))
		Expect(raft.IsRefusal(err)).To(BeTrue())
	},
		Entry("removal of the silent voter", three, []string{"b"}, raft.Remove, "c", raft.ChangeReason("")),
		Entry("removal of a live voter while another is silent", three, []string{"b"}, raft.Remove, "b", raft.ReasonNoLiveQuorum),
		Entry("removal of a live voter", three, []string{"b", "c"}, raft.Remove, "b", raft.ChangeReason("")),
		Entry("removal of a learner while a voter is silent", three, []string{"b"}, raft.Remove, "d", raft.ChangeReason("")),
		Entry("removal of the leader while a voter is silent", three, []string{"b"}, raft.Remove, "a", raft.ReasonNoLiveQuorum),
		Entry("removal of the leader", three, []string{"b", "c"}, raft.Remove, "a", raft.ChangeReason("")),
		Entry("removal of a live one of four while another is silent", four, []string{"b", "c"}, raft.Remove, "b", raft.ChangeReason("")),
		Entry("removal of the leader of four while one is silent", four, []string{"b", "c"}, raft.Remove, "a", raft.ChangeReason("")),
		Entry("removal of a live one of five while two are silent", five, []string{"b", "c"}, raft.Remove, "b", raft.ReasonNoLiveQuorum),
		Entry("removal of a silent one of five", five, []string{"b", "c"}, raft.Remove, "d", raft.ChangeReason("")),
		Entry("promotion while a voter is silent", three, []string{"b", "d"}, raft.Promote, "d", raft.ChangeReason("")),
		Entry("promotion of a silent learner", three, []string{"b", "c"}, raft.Promote, "d", raft.ReasonSilent),
		Entry("promotion of a silent learner while a voter is silent", three, []string{"b"}, raft.Promote, "d", raft.ReasonSilent),
		Entry("promotion that makes six voters of which two are silent", five, []string{"b", "c", "f"}, raft.Promote, "f", raft.ChangeReason("")),
		Entry("addition of a learner while a voter is silent", three, []string{"b"}, raft.AddLearner, "x", raft.ChangeReason("")),
	)
})

var _ = Describe("the quorum check of a leader that needs the voter it promotes", func() {
	const promotedAt = 2900 * time.Millisecond
	// promote promotes learner d, which has replied at the given time last, while voter c
	// is silent. Voter b replies until then.
	promote := func(lastReply time.Duration) (*raft.Node, func(time.Duration, raft.Kind, ...string)) {
		GinkgoHelper()
		n, receive := leaderOf(raft.Membership{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}})
		receive(lastReply, raft.KindAppendReply, "b", "d")
		receive(promotedAt, raft.KindAppendReply, "b")
		_, _, err := n.ProposeChange(promotedAt, raft.MemberChange{Op: raft.Promote, ID: "d"})
		Expect(err).NotTo(HaveOccurred())
		drain(n)
		return n, receive
	}

	// Guards against a leader that steps down right after a promotion, when it bears no
	// further loss, because of the replies that it did not need before: the learner may
	// have been silent for nearly an election timeout.
	DescribeTable("gives it an election timeout from then on", func(lastReply time.Duration) {
		n, receive := promote(lastReply)
		receive(promotedAt+900*time.Millisecond, raft.KindAppendReply, "b")
		Expect(n.Status().Role).To(Equal(raft.RoleLeader))
		receive(promotedAt+950*time.Millisecond, raft.KindAppendReply, "d")
		receive(promotedAt+1800*time.Millisecond, raft.KindAppendReply, "b")
		Expect(n.Status().Role).To(Equal(raft.RoleLeader))
		n.Tick(promotedAt + 1950*time.Millisecond)
		Expect(n.Status().Role).To(Equal(raft.RoleFollower))
	},
		Entry("if it replied just before", promotedAt-time.Millisecond),
		Entry("if it had not replied for most of one", 2*time.Second),
	)

	// Guards against a leader without a quorum that leads on.
	It("ends its leadership if it stays silent", func() {
		n, receive := promote(2 * time.Second)
		receive(promotedAt+900*time.Millisecond, raft.KindAppendReply, "b")
		n.Tick(promotedAt + 999*time.Millisecond)
		Expect(n.Status().Role).To(Equal(raft.RoleLeader))
		n.Tick(promotedAt + time.Second)
		Expect(n.Status().Role).To(Equal(raft.RoleFollower))
	})
})
