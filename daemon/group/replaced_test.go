package group_test

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/replica"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/scheduler/structs"
)

// scriptedVoters simulates the four other voters of a group of five. While
// granting is set, they vote for the member and acknowledge its first entry.
type scriptedVoters struct {
	*member
	mu       sync.Mutex
	granting bool
}

func (s *scriptedVoters) setGranting(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granting = on
}

func (s *scriptedVoters) respond(m raft.Message) {
	s.mu.Lock()
	on := s.granting
	s.mu.Unlock()
	if !on {
		return
	}
	reply := raft.Message{Group: m.Group, From: m.To, To: m.From, Term: m.Term, Sent: m.Sent}
	switch m.Kind {
	case raft.KindPreVote:
		reply.Kind = raft.KindPreVoteReply
	case raft.KindVote:
		reply.Kind = raft.KindVoteReply
	case raft.KindAppend:
		reply.Kind, reply.Index = raft.KindAppendReply, 1
	default:
		return
	}
	s.Deliver(reply)
}

func newScriptedVoters() *scriptedVoters {
	s := &scriptedVoters{member: &member{machine: &machine{}}}
	r, err := replica.Open(replica.Config{
		Raft: raft.Config{ID: "a", Group: "g", ElectionTimeout: 150 * time.Millisecond, HeartbeatInterval: 30 * time.Millisecond,
			ClockError: 10 * time.Millisecond, MaxBatchBytes: 64 << 10, SnapshotChunkBytes: 16 << 10},
		Bootstrap: raft.Membership{Voters: []string{"a", "b", "c", "d", "e"}},
	}, replica.NewMemoryStorage(), s.machine)
	Expect(err).NotTo(HaveOccurred())
	start := time.Now()
	s.Group = group.New(group.Config{Name: "g", Replica: r, Send: s.respond, Logger: logr.Discard(),
		Now: func() time.Duration { return time.Since(start) }, OnFailure: func(error) {}})
	s.Start()
	DeferCleanup(s.Stop)
	return s
}

// awaitLeadership makes the voters grant votes, waits until the member leads and
// returns its status.
func (s *scriptedVoters) awaitLeadership() raft.Status {
	GinkgoHelper()
	s.setGranting(true)
	Eventually(func() raft.Role { return s.Status().Role }, 3*time.Second, 5*time.Millisecond).Should(Equal(raft.RoleLeader))
	return s.Status()
}

func (s *scriptedVoters) awaitLastIndex(index uint64) {
	GinkgoHelper()
	Eventually(func() uint64 { return s.Status().LastIndex }, time.Second, 5*time.Millisecond).Should(Equal(index))
}

var _ = Describe("a proposal whose index is reused", func() {
	It("is not completed until the index is applied", func() {
		// Guards against reporting "not run" when the member itself replaces its
		// entry in a later term. Another voter may still have the entry, be
		// elected and commit it, so that the refused command takes effect
		// (against P4 in docs/design.md).
		s := newScriptedVoters()
		first := s.awaitLeadership()
		var old []chan callResult
		var entries []raft.Entry
		for i := uint64(1); i <= 3; i++ {
			old = append(old, proposeAsync(s.member, "old", 10*time.Second))
			s.awaitLastIndex(first.LastIndex + i)
			entries = append(entries, raft.Entry{Index: first.LastIndex + i, Term: first.Term, Kind: raft.EntryCommand, Data: []byte("old")})
		}
		s.setGranting(false)
		fromLeader := func(id string, term uint64, commit uint64, entries ...raft.Entry) {
			s.Deliver(raft.Message{Kind: raft.KindAppend, Group: "g", From: id, To: "a", Term: term,
				Index: first.LastIndex, LogTerm: first.Term, Entries: entries, Commit: commit})
		}
		term := s.Status().Term + 1
		fromLeader("e", term, 0, raft.Entry{Index: first.LastIndex + 1, Term: term, Kind: raft.EntryNoop})
		s.awaitLastIndex(first.LastIndex + 1)
		Expect(s.awaitLeadership().LastIndex).To(Equal(first.LastIndex + 2))
		replacing := proposeAsync(s.member, "new", 10*time.Second)
		s.awaitLastIndex(first.LastIndex + 3)
		Consistently(old[2], 100*time.Millisecond).ShouldNot(Receive())

		s.setGranting(false)
		term = s.Status().Term + 1
		entries = append(entries, raft.Entry{Index: first.LastIndex + 4, Term: term, Kind: raft.EntryNoop})
		fromLeader("d", term, first.LastIndex+4, entries...)
		for _, done := range old {
			var end callResult
			Eventually(done, time.Second).Should(Receive(&end))
			Expect(end.err).NotTo(HaveOccurred())
			Expect(string(end.result)).To(Equal("done old"))
		}
		var end callResult
		Eventually(replacing, time.Second).Should(Receive(&end))
		Expect(asRefusal(end.err).Outcome).To(Equal(structs.OutcomeNotRun))
	})
})
