package replica_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/replica"
)

// elect runs until a leader holds the lease.
func (c *cluster) elect() *host {
	GinkgoHelper()
	Expect(c.waitFor(livenessLimit, func() bool { return c.holder() != nil })).To(BeTrue(), c.broken)
	return c.holder()
}

// holder returns the host that holds the lease.
func (c *cluster) holder() *host {
	for _, id := range c.ids {
		h := c.hosts[id]
		if h.replica != nil && h.replica.HoldsLease(h.clock.Read(c.now)) {
			return h
		}
	}
	return nil
}

func (c *cluster) writeMany(count int) {
	GinkgoHelper()
	for range count {
		Expect(c.commitWrite(livenessLimit)).To(BeTrue(), c.broken)
	}
}

func (c *cluster) others(h *host) []string {
	var ids []string
	for _, id := range c.ids {
		if id != h.id {
			ids = append(ids, id)
		}
	}
	return ids
}

func (h *host) status() raft.Status { return h.replica.Status() }

var _ = Describe("a group of replicas", func() {
	// A replacement must restore the tolerance of one loss; if the promoted
	// learner lacked entries, the loss of a second host would lose them.
	It("loses nothing when a second host fails after a replacement", func() {
		c := newCluster(1, 3, nil)
		c.elect()
		c.writeMany(30)
		l := c.elect()
		failed := c.hosts[c.others(l)[0]]
		c.crash(failed)
		c.addHost("h4", raft.Membership{})
		Expect(c.change(l, raft.AddLearner, "h4")).To(Succeed())
		Expect(c.change(l, raft.Promote, "h4")).To(BeAssignableToTypeOf(&raft.ChangeInProgressError{}))
		Expect(c.waitFor(livenessLimit, func() bool { return c.change(l, raft.Promote, "h4") == nil })).To(BeTrue())
		Expect(c.waitFor(livenessLimit, func() bool { return c.change(l, raft.Remove, failed.id) == nil })).To(BeTrue())
		c.writeMany(3)
		c.crash(l)
		c.writeMany(3)
		Expect(c.lostWrite()).To(BeEmpty())
		Expect(c.leader().status().Membership.Voters).To(HaveLen(3))
		Expect(c.broken).To(BeEmpty())
	})

	It("never adds a removed host again", func() {
		c := newCluster(2, 3, nil)
		l := c.elect()
		gone := c.others(l)[0]
		Expect(c.change(l, raft.Remove, gone)).To(Succeed())
		c.writeMany(1)
		refused := &raft.ChangeRefusedError{Change: raft.MemberChange{Op: raft.AddLearner, ID: gone}, Reason: raft.ReasonRemoved}
		Expect(c.change(l, raft.AddLearner, gone)).To(MatchError(refused))
	})

	// A learner that is promoted early would count for a majority without
	// having the committed entries.
	It("refuses to promote a learner that is behind", func() {
		c := newCluster(3, 3, nil)
		l := c.elect()
		c.net.Cut(l.id, "h4")
		c.addHost("h4", raft.Membership{})
		Expect(c.change(l, raft.AddLearner, "h4")).To(Succeed())
		c.writeMany(1)
		refused := &raft.ChangeRefusedError{Change: raft.MemberChange{Op: raft.Promote, ID: "h4"}, Reason: raft.ReasonNotCaughtUp}
		Expect(c.change(l, raft.Promote, "h4")).To(MatchError(refused))
	})

	It("replaces a leader that removes itself", func() {
		c := newCluster(4, 3, nil)
		l := c.elect()
		Expect(c.change(l, raft.Remove, l.id)).To(Succeed())
		c.writeMany(2)
		Expect(c.leader().id).NotTo(Equal(l.id))
		Expect(l.status().Role).To(Equal(raft.RoleFollower))
		Expect(c.broken).To(BeEmpty())
	})

	// The lease is what keeps an isolated leader from starting work that its
	// successor starts too.
	It("ends the lease of an isolated leader before another is elected", func() {
		c := newCluster(5, 3, nil)
		old := c.elect()
		c.net.Partition([]string{old.id}, c.others(old))
		Expect(c.waitFor(electionTimeout, func() bool {
			return !old.replica.HoldsLease(old.clock.Read(c.now))
		})).To(BeTrue())
		Expect(c.leader()).To(Equal(old))
		Expect(c.waitFor(2*electionTimeout, func() bool { return c.holder() != nil })).To(BeTrue())
		Expect(c.holder()).NotTo(Equal(old))
		Expect(c.broken).To(BeEmpty())
	})

	// The lease relies on what a follower acknowledged before its restart.
	It("keeps the lease exclusive when a follower restarts", func() {
		for seed := range uint64(10) {
			c := newCluster(seed, 3, nil)
			l := c.elect()
			ids := c.others(l)
			c.net.Partition([]string{l.id}, ids[:1])
			c.run(5 * electionTimeout / 2)
			c.net.Partition([]string{l.id}, ids)
			c.crash(c.hosts[ids[1]])
			c.start(c.hosts[ids[1]])
			c.run(electionTimeout)
			Expect(c.broken).To(BeEmpty())
		}
	})

	It("refuses a read by a leader that was paused", func() {
		c := newCluster(6, 3, nil)
		old := c.elect()
		old.inbox.Pause()
		c.writeMany(1)
		Expect(c.read(old)).To(BeFalse())
		Expect(c.read(c.elect())).To(BeTrue())
	})

	It("elects a new leader within two election timeouts", func() {
		for seed := range uint64(20) {
			c := newCluster(seed, 3, nil)
			c.crash(c.elect())
			Expect(c.waitFor(2*electionTimeout, func() bool { return c.leader() != nil })).To(BeTrue(), "seed %d", seed)
		}
	})

	It("is not disturbed by a follower that was cut off", func() {
		c := newCluster(7, 3, nil)
		l := c.elect()
		term := l.status().Term
		follower := c.hosts[c.others(l)[0]]
		c.net.Partition([]string{follower.id}, c.others(follower))
		c.run(10 * electionTimeout)
		c.net.Heal()
		c.run(3 * electionTimeout)
		Expect(l.status().Role).To(Equal(raft.RoleLeader))
		Expect(l.status().Term).To(Equal(term))
		Expect(follower.status().Term).To(Equal(term))
	})

	It("transfers leadership without waiting for a timeout", func() {
		c := newCluster(8, 3, nil)
		l := c.elect()
		to := c.others(l)[0]
		Expect(c.transfer(l, to)).To(Succeed())
		Expect(c.waitFor(electionTimeout/2, func() bool { return c.leader() != nil && c.leader().id == to })).To(BeTrue())
		c.writeMany(1)
	})

	// Guards against a planned stop that waits for a voter which died with the
	// whole log, while another one could take over at once.
	It("hands over to a voter that was heard recently", func() {
		c := newCluster(13, 3, func(cfg *replica.Config) { cfg.Raft.LowPriority = cfg.Raft.ID == "h3" })
		c.writeMany(1)
		Expect(c.waitFor(livenessLimit, c.converged)).To(BeTrue())
		l := c.leader()
		for _, id := range c.others(l) {
			if id != "h3" {
				c.crash(c.hosts[id])
			}
		}
		c.run(electionTimeout / 2)
		Expect(c.handOver(l)).To(Succeed())
		Expect(c.waitFor(electionTimeout/2, func() bool { return c.leader() != nil && c.leader().id == "h3" })).To(BeTrue())
		c.writeMany(1)
		Expect(c.broken).To(BeEmpty())
	})

	// After a TimeoutNow the target may campaign at any time, so the leader
	// must not act on its lease again in the same term.
	It("gives up the lease when it starts a transfer", func() {
		c := newCluster(9, 3, nil)
		l := c.elect()
		term := l.status().Term
		to := c.others(l)[0]
		Expect(c.waitFor(electionTimeout, func() bool {
			p, _ := l.status().Peer(to)
			return p.Match == l.status().LastIndex
		})).To(BeTrue())
		c.net.Cut(l.id, to)
		Expect(c.transfer(l, to)).To(Succeed())
		Expect(l.replica.HoldsLease(l.clock.Read(c.now))).To(BeFalse())
		Expect(c.waitFor(livenessLimit, func() bool { return c.holder() != nil })).To(BeTrue())
		Expect(c.holder().status().Term).To(BeNumerically(">", term))
	})

	It("brings a host that was away up to date by snapshot and tail", func() {
		c := newCluster(10, 3, func(cfg *replica.Config) { cfg.SnapshotEntries, cfg.KeepEntries = 100, 10 })
		l := c.elect()
		away := c.hosts[c.others(l)[0]]
		c.crash(away)
		for range 40 {
			for range 10 {
				c.propose(l)
			}
			c.run(tickInterval)
		}
		c.writeMany(1)
		before := c.chunks
		c.start(away)
		Expect(c.waitFor(60*electionTimeout, c.converged)).To(BeTrue(), c.broken)
		Expect(c.chunks - before).To(BeNumerically(">", 10))
		Expect(away.status().SnapshotIndex).To(BeNumerically("<", away.status().Commit))
		Expect(len(away.machine.records)).To(BeNumerically(">", 400))
	})

	It("moves leadership away from a host of low priority", func() {
		c := newCluster(11, 3, func(cfg *replica.Config) { cfg.Raft.LowPriority = cfg.Raft.ID == "h1" })
		c.elect()
		Expect(c.leader().id).NotTo(Equal("h1"))
		Expect(c.transfer(c.leader(), "h1")).To(Succeed())
		Expect(c.waitFor(electionTimeout, func() bool { return c.leader() != nil && c.leader().id == "h1" })).To(BeTrue())
		Expect(c.waitFor(3*electionTimeout, func() bool { return c.leader() != nil && c.leader().id != "h1" })).To(BeTrue())
		c.writeMany(1)
	})

	It("still lets a host of low priority lead when it is needed", func() {
		c := newCluster(12, 3, func(cfg *replica.Config) { cfg.Raft.LowPriority = cfg.Raft.ID != "h1" })
		c.elect()
		c.crash(c.hosts["h1"])
		c.writeMany(1)
	})
})

var _ = Describe("a replica", func() {
	solo := raft.Membership{Voters: []string{"a"}}
	open := func(s replica.Storage, bootstrap raft.Membership) (*replica.Replica, *machine, error) {
		m := &machine{}
		r, err := replica.Open(replica.Config{
			Raft: raft.Config{ID: "a", Group: "g"}, Bootstrap: bootstrap,
		}, s, m)
		return r, m, err
	}
	lead := func(r *replica.Replica) time.Duration {
		GinkgoHelper()
		now := time.Duration(0)
		for ; r.Status().Role != raft.RoleLeader && now < 5*time.Second; now += tickInterval {
			_, err := r.Tick(now)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(r.Status().Role).To(Equal(raft.RoleLeader))
		return now
	}

	// Acting after a failed write could acknowledge what is not durable.
	It("stops for good when its storage fails", func() {
		s := replica.NewMemoryStorage()
		r, _, err := open(s, solo)
		Expect(err).NotTo(HaveOccurred())
		now := lead(r)
		s.SetFailure(&replica.PowerLossError{})
		_, out, err := r.Propose(now, []byte("x"))
		Expect(err).To(MatchError(&replica.PowerLossError{}))
		Expect(out).To(Equal(replica.Output{}))
		s.SetFailure(nil)
		_, again := r.Tick(now + time.Second)
		Expect(again).To(BeIdenticalTo(err))
		_, _, again = r.Propose(now, nil)
		Expect(again).To(BeIdenticalTo(err))
		Expect(r.HoldsLease(now)).To(BeFalse())
	})

	// A host that restarts without its group must not go back to an earlier
	// state than the one it has shown.
	It("restarts with everything it had applied", func() {
		s := replica.NewMemoryStorage()
		r, m, err := open(s, solo)
		Expect(err).NotTo(HaveOccurred())
		now := lead(r)
		commands := [][]byte{[]byte("x"), []byte("y")}
		tickets, out, err := r.ProposeBatch(now, commands)
		Expect(err).NotTo(HaveOccurred())
		Expect(out.Applied).To(HaveLen(2))
		Expect(tickets[1].Index).To(Equal(out.Applied[1].Index))
		s.Crash()
		r, again, err := open(s, solo)
		Expect(err).NotTo(HaveOccurred())
		_, err = r.Tick(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.records).To(Equal(m.records))
	})

	// Two votes in a term could elect two leaders.
	It("does not vote again in a term after a restart", func() {
		s := replica.NewMemoryStorage()
		for _, candidate := range []string{"b", "c"} {
			r, _, err := open(s, raft.Membership{Voters: []string{"a", "b", "c"}})
			Expect(err).NotTo(HaveOccurred())
			_, err = r.Tick(0)
			Expect(err).NotTo(HaveOccurred())
			vote := raft.Message{Kind: raft.KindVote, Group: "g", From: candidate, To: "a", Term: 5, Index: 9, LogTerm: 4}
			out, err := r.Receive(10*time.Second, vote)
			Expect(err).NotTo(HaveOccurred())
			Expect(out.Messages).To(HaveExactElements(HaveField("Reject", candidate == "c")))
		}
	})

	It("loses unsynced writes in a crash", func() {
		s := replica.NewMemoryStorage()
		Expect(s.Save(raft.HardState{Term: 1}, nil)).To(Succeed())
		s.SetSync(false)
		Expect(s.Save(raft.HardState{Term: 2}, []raft.Entry{{Index: 1, Term: 2}})).To(Succeed())
		s.Crash()
		restored, _, err := s.Load()
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.HardState.Term).To(Equal(uint64(1)))
		Expect(restored.Entries).To(BeEmpty())
	})

	It("stays silent while it is empty and was not bootstrapped", func() {
		r, _, err := open(replica.NewMemoryStorage(), raft.Membership{})
		Expect(err).NotTo(HaveOccurred())
		for now := time.Duration(0); now < 10*time.Second; now += tickInterval {
			Expect(r.Tick(now)).To(Equal(replica.Output{}))
		}
		_, out, err := r.Propose(0, nil)
		Expect(err).To(MatchError(&raft.NotLeaderError{}))
		Expect(out.Messages).To(BeEmpty())
		vote := raft.Message{Kind: raft.KindVote, Group: "g", From: "b", To: "a", Term: 5, Force: true}
		out, err = r.Receive(0, vote)
		Expect(err).NotTo(HaveOccurred())
		Expect(out.Messages).To(BeEmpty(), "a host that lost its disk must not vote again")
	})

	It("refuses a bootstrap membership that it is not part of", func() {
		_, _, err := open(replica.NewMemoryStorage(), raft.Membership{Voters: []string{"b"}})
		Expect(err).To(BeAssignableToTypeOf(&replica.BootstrapError{}))
	})
})
