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

// scripted plays the four other voters of a group of five: they vote for the
// member while granting is on and confirm nothing beyond the first entry.
type scripted struct {
	*member
	mu       sync.Mutex
	granting bool
}

func (s *scripted) grant(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granting = on
}

func (s *scripted) answer(m raft.Message) {
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

func newScripted() *scripted {
	s := &scripted{member: &member{machine: &machine{}}}
	r, err := replica.Open(replica.Config{
		Raft: raft.Config{ID: "a", Group: "g", ElectionTimeout: 150 * time.Millisecond, HeartbeatInterval: 30 * time.Millisecond,
			ClockError: 10 * time.Millisecond, MaxBatchBytes: 64 << 10, SnapshotChunkBytes: 16 << 10},
		Bootstrap: raft.Membership{Voters: []string{"a", "b", "c", "d", "e"}},
	}, replica.NewMemoryStorage(), s.machine)
	Expect(err).NotTo(HaveOccurred())
	start := time.Now()
	s.Group = group.New(group.Config{Name: "g", Replica: r, Send: s.answer, Logger: logr.Discard(),
		Now: func() time.Duration { return time.Since(start) }, Failed: func(error) {}})
	s.Start()
	DeferCleanup(s.Stop)
	return s
}

// awaitLead lets the member become leader and returns its status.
func (s *scripted) awaitLead() raft.Status {
	GinkgoHelper()
	s.grant(true)
	Eventually(func() raft.Role { return s.Status().Role }, 3*time.Second, 5*time.Millisecond).Should(Equal(raft.RoleLeader))
	return s.Status()
}

func (s *scripted) awaitLast(index uint64) {
	GinkgoHelper()
	Eventually(func() uint64 { return s.Status().LastIndex }, time.Second, 5*time.Millisecond).Should(Equal(index))
}

var _ = Describe("a proposal whose index is used again", func() {
	It("stays open until the index is applied", func() {
		// Guards against "not run" when the member itself replaces its entry in
		// a later term: another voter may still hold the entry, be elected and
		// commit it, so that the refused command takes effect (P4).
		s := newScripted()
		first := s.awaitLead()
		var old []chan ended
		var entries []raft.Entry
		for i := uint64(1); i <= 3; i++ {
			old = append(old, proposeLater(s.member, "old", 10*time.Second))
			s.awaitLast(first.LastIndex + i)
			entries = append(entries, raft.Entry{Index: first.LastIndex + i, Term: first.Term, Kind: raft.EntryCommand, Data: []byte("old")})
		}
		s.grant(false)
		fromLeader := func(id string, term uint64, commit uint64, entries ...raft.Entry) {
			s.Deliver(raft.Message{Kind: raft.KindAppend, Group: "g", From: id, To: "a", Term: term,
				Index: first.LastIndex, LogTerm: first.Term, Entries: entries, Commit: commit})
		}
		term := s.Status().Term + 1
		fromLeader("e", term, 0, raft.Entry{Index: first.LastIndex + 1, Term: term, Kind: raft.EntryNoop})
		s.awaitLast(first.LastIndex + 1)
		Expect(s.awaitLead().LastIndex).To(Equal(first.LastIndex + 2))
		replacing := proposeLater(s.member, "new", 10*time.Second)
		s.awaitLast(first.LastIndex + 3)
		Consistently(old[2], 100*time.Millisecond).ShouldNot(Receive())

		s.grant(false)
		term = s.Status().Term + 1
		entries = append(entries, raft.Entry{Index: first.LastIndex + 4, Term: term, Kind: raft.EntryNoop})
		fromLeader("d", term, first.LastIndex+4, entries...)
		for _, done := range old {
			var end ended
			Eventually(done, time.Second).Should(Receive(&end))
			Expect(end.err).NotTo(HaveOccurred())
			Expect(string(end.result)).To(Equal("done old"))
		}
		var end ended
		Eventually(replacing, time.Second).Should(Receive(&end))
		Expect(refusal(end.err).Outcome).To(Equal(structs.OutcomeNotRun))
	})
})
