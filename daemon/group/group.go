// Package group runs one replicated log of a host: it gives the replica its
// time and messages, batches proposals and delivers their results.
package group

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/replica"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	tickInterval = 20 * time.Millisecond
	// followerTick is the interval while this host follows: only its election
	// timer then depends on it, which is random by far more.
	followerTick = 50 * time.Millisecond
	// statusInterval is how old the lag and silence of the other members may
	// be in the published status. It is published at once when the role, the
	// term, the leader or an index of the log changed.
	statusInterval = 100 * time.Millisecond
	inboxMessages  = 4096
	maxBatch       = 256
	proposalBuffer = 1024
)

// Sender sends the messages of a replica to other hosts.
type Sender func(raft.Message)

// Owner is told, on the goroutine of the group, about time and applied
// commands. It may return commands to propose; they are proposed only while
// this host leads.
type Owner interface {
	Step(now time.Duration, view View) [][]byte
}

// RefusalKeeper is an owner that wants its refused commands back, to return them
// again from a later step. Commands that were not refused are applied, unless
// this host loses its leadership.
type RefusalKeeper interface {
	KeepRefused(commands [][]byte)
}

// View is what an owner needs to know about its log.
type View struct {
	Status raft.Status
	// Lease is true while no other host can lead.
	Lease bool
	// Ready is true when the leader has applied an entry of its own term, so
	// that its state is current.
	Ready bool
	// Restored is true if a snapshot replaced the state since the last step.
	Restored bool
}

// Config describes a group.
type Config struct {
	Name    string
	Replica *replica.Replica
	Send    Sender
	Owner   Owner
	// Now reads the monotonic clock of the process.
	Now    func() time.Duration
	Logger logr.Logger
	// Failed is called once when the storage of the group fails.
	Failed func(error)
}

// Group runs one replica on a goroutine of its own.
type Group struct {
	cfg       Config
	inbox     chan raft.Message
	proposals chan *proposal
	jobs      chan func(now time.Duration)
	stop      chan struct{}
	done      chan struct{}
	started   bool
	stopOnce  sync.Once

	// waiting maps an index to the proposals that were given it, in order of
	// their terms. Only the goroutine of the group uses it.
	waiting map[uint64][]*proposal
	// queued holds the proposals that the next step proposes.
	queued   []*proposal
	restored bool
	failure  error
	// standing and refresh decide when the status is published again, because
	// it takes copies of the membership and of all peers.
	standing raft.Standing
	refresh  time.Duration

	mu     sync.Mutex
	status raft.Status
	lease  atomic.Bool
}

// New returns a group that is not yet started.
func New(cfg Config) *Group {
	return &Group{
		cfg:       cfg,
		inbox:     make(chan raft.Message, inboxMessages),
		proposals: make(chan *proposal, proposalBuffer),
		jobs:      make(chan func(time.Duration), proposalBuffer),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		waiting:   map[uint64][]*proposal{},
		status:    cfg.Replica.Status(),
	}
}

// Start begins to run the group. The first step is taken before it returns, so
// that what the log held when the process ended is applied before anyone asks.
func (g *Group) Start() {
	g.started = true
	g.handle(g.cfg.Replica.Tick(g.cfg.Now()))
	g.step()
	go g.run()
}

// Stop ends the group and closes its storage.
func (g *Group) Stop() {
	g.stopOnce.Do(func() {
		close(g.stop)
		if !g.started {
			g.closeStorage()
			close(g.done)
		}
	})
	<-g.done
}

// Name returns the name of the replicated log.
func (g *Group) Name() string { return g.cfg.Name }

// Deliver hands over a message from another host. A message that does not fit
// the inbox is dropped; raft sends it again.
func (g *Group) Deliver(m raft.Message) bool {
	select {
	case g.inbox <- m:
		return true
	default:
		return false
	}
}

// Status returns the latest status of the replica.
func (g *Group) Status() raft.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status
}

// Leads reports whether this host leads and holds the lease, as of the last step.
func (g *Group) Leads() bool { return g.lease.Load() }

// Propose proposes a command and waits for its result. The error is a
// structs.Refusal that says whether the command may still take effect.
func (g *Group) Propose(command []byte, timeout time.Duration) ([]byte, error) {
	p := &proposal{command: command, done: make(chan outcome, 1)}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-g.done:
		return nil, structs.NotRun(structs.CodeStopping, "this host is stopping")
	default:
	}
	select {
	case g.proposals <- p:
	case <-timer.C:
		return nil, structs.NotRun(structs.CodeQuorumUnavailable, "too many commands wait in "+g.cfg.Name)
	case <-g.done:
		return nil, structs.NotRun(structs.CodeStopping, "this host is stopping")
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-timer.C:
		return nil, structs.Unknown(structs.CodeQuorumUnavailable, "no quorum of "+g.cfg.Name+" confirmed the command in time")
	case <-g.done:
		o := lastOutcome(p, "this host stopped before the command was confirmed")
		return o.result, o.err
	}
}

// Do runs a function on the goroutine of the group, where the state machine
// can be read. It reports whether the function ran.
func (g *Group) Do(f func(now time.Duration)) bool {
	ran := make(chan struct{})
	job := func(now time.Duration) {
		f(now)
		close(ran)
	}
	select {
	case g.jobs <- job:
	case <-g.done:
		return false
	}
	select {
	case <-ran:
		return true
	case <-g.done:
	}
	// Both may have happened: the function runs before the group is done.
	select {
	case <-ran:
		return true
	default:
		return false
	}
}

// HoldsLease asks the replica at this moment whether it leads and no other
// host can. It is the check before an effect that leaves the group.
func (g *Group) HoldsLease() bool {
	holds := false
	ran := g.Do(func(time.Duration) {
		// The clock is read again here: the process may have been paused
		// between the start of the step and this point.
		holds = g.cfg.Replica.HoldsLease(g.cfg.Now())
	})
	return ran && holds
}

// Barrier waits until this host is known to lead with a current state.
func (g *Group) Barrier() bool {
	ok := false
	ran := g.Do(func(time.Duration) {
		_, ok = g.cfg.Replica.Barrier(g.cfg.Now())
	})
	return ran && ok
}

// Change proposes a membership change and waits until it is committed.
func (g *Group) Change(c raft.MemberChange, timeout time.Duration) error {
	p := &proposal{done: make(chan outcome, 1)}
	ran := g.Do(func(now time.Duration) {
		ticket, out, err := g.cfg.Replica.Change(now, c)
		switch {
		case err == nil:
			g.wait(ticket, p)
		case isRefusal(err):
			p.done <- outcome{err: refusalOf(err)}
		default:
			p.done <- outcome{err: structs.Unknown(structs.CodeQuorumUnavailable, err.Error())}
		}
		g.handleProposed(out, err)
	})
	if !ran {
		return structs.NotRun(structs.CodeStopping, "this host is stopping")
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case o := <-p.done:
		return o.err
	case <-timer.C:
		return structs.Unknown(structs.CodeQuorumUnavailable, "the membership change was not confirmed in time")
	case <-g.done:
		return lastOutcome(p, "this host stopped before the change was confirmed").err
	}
}

// HandOver hands leadership to another voter if this host leads.
func (g *Group) HandOver() error {
	var err error
	g.Do(func(now time.Duration) {
		var out replica.Output
		out, err = g.cfg.Replica.HandOver(now)
		g.handleProposed(out, err)
	})
	return err
}

func (g *Group) run() {
	defer close(g.done)
	defer g.closeStorage()
	interval := tickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for g.failure == nil {
		if wanted := g.tickInterval(); wanted != interval {
			interval = wanted
			ticker.Reset(interval)
		}
		select {
		case <-g.stop:
			return
		case <-ticker.C:
			g.handle(g.cfg.Replica.Tick(g.cfg.Now()))
		case m := <-g.inbox:
			g.receive(m)
		case p := <-g.proposals:
			g.queued = append(g.queued, p)
		case job := <-g.jobs:
			job(g.cfg.Now())
		}
		g.drain()
		g.step()
	}
	g.refuseQueued()
}

// drain handles what waits already, so that all of it shares one step and one
// sync. A sync takes longer than anything else here, and work piles up meanwhile.
func (g *Group) drain() {
	for range maxBatch {
		if g.failure != nil {
			return
		}
		select {
		case m := <-g.inbox:
			g.receive(m)
		case p := <-g.proposals:
			g.queued = append(g.queued, p)
		case job := <-g.jobs:
			job(g.cfg.Now())
		default:
			return
		}
	}
}

func (g *Group) tickInterval() time.Duration {
	if g.standing.Role == raft.RoleFollower {
		return followerTick
	}
	return tickInterval
}

func (g *Group) closeStorage() {
	if err := g.cfg.Replica.Close(); err != nil {
		g.cfg.Logger.Error(err, "closing the storage failed", "group", g.cfg.Name)
	}
}

func (g *Group) receive(m raft.Message) {
	out, err := g.cfg.Replica.Receive(g.cfg.Now(), m)
	var malformed *raft.MalformedMessageError
	var wrong *raft.WrongGroupError
	var removed *raft.RemovedMemberError
	if errors.As(err, &malformed) || errors.As(err, &wrong) || errors.As(err, &removed) {
		g.cfg.Logger.V(1).Info("dropped a message", "group", g.cfg.Name, "from", m.From, "error", err.Error())
		return
	}
	g.handle(out, err)
}

// propose proposes what hosts and the owner ask for with a single sync.
func (g *Group) propose(owned [][]byte) {
	batch := g.queued
	g.queued = nil
	if len(batch)+len(owned) == 0 {
		return
	}
	commands := make([][]byte, 0, len(batch)+len(owned))
	for _, p := range batch {
		commands = append(commands, p.command)
	}
	commands = append(commands, owned...)
	tickets, out, err := g.cfg.Replica.ProposeBatch(g.cfg.Now(), commands)
	for i, p := range batch {
		if i < len(tickets) {
			g.wait(tickets[i], p)
			continue
		}
		p.done <- outcome{err: refusalOf(err)}
	}
	if keeper, ok := g.cfg.Owner.(RefusalKeeper); ok {
		accepted := max(0, len(tickets)-len(batch))
		keeper.KeepRefused(owned[accepted:])
	}
	g.handleProposed(out, err)
}

// refuseQueued ends the proposals that a failed log did not take.
func (g *Group) refuseQueued() {
	for _, p := range g.queued {
		p.done <- outcome{err: structs.NotRun(structs.CodeStopping, "the replicated log has failed")}
	}
	g.queued = nil
}

// handleProposed processes the output of a proposal, which a refusal does not
// make void.
func (g *Group) handleProposed(out replica.Output, err error) {
	if isRefusal(err) {
		err = nil
	}
	g.handle(out, err)
}

// handle processes the output of the replica. An error of the replica is
// final: its storage failed or its state contradicts the group's.
func (g *Group) handle(out replica.Output, err error) {
	if err != nil {
		g.failure = err
		g.cfg.Logger.Error(err, "the replicated log failed", "group", g.cfg.Name)
		g.cfg.Failed(err)
		return
	}
	g.process(out)
}

func (g *Group) process(out replica.Output) {
	for _, m := range out.Messages {
		g.cfg.Send(m)
	}
	for _, a := range out.Applied {
		g.resolve(a)
	}
	if out.Restored > 0 {
		g.restored = true
		g.abandonUpTo(out.Restored)
	}
	g.replaceUpTo(g.cfg.Replica.Standing().Applied)
}

// step lets the owner act and publishes the status.
func (g *Group) step() {
	if g.failure != nil {
		return
	}
	now := g.cfg.Now()
	g.publish(now)
	_, ready := g.cfg.Replica.Barrier(now)
	// A ready replica holds the lease.
	view := View{Status: g.status, Lease: ready || g.cfg.Replica.HoldsLease(now), Ready: ready, Restored: g.restored}
	g.lease.Store(ready)
	g.restored = false
	var owned [][]byte
	if g.cfg.Owner != nil {
		owned = g.cfg.Owner.Step(now, view)
	}
	g.propose(owned)
}

// publish updates the status if the replica stands elsewhere than when it was
// last published, or if that is long ago. Only the goroutine of the group
// writes it.
func (g *Group) publish(now time.Duration) {
	standing := g.cfg.Replica.Standing()
	if standing == g.standing && now < g.refresh {
		return
	}
	g.standing = standing
	g.refresh = now + statusInterval
	status := g.cfg.Replica.Status()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.status = status
}

// HoldsLeaseInStep is HoldsLease for functions that run on the goroutine of
// the group already.
func (g *Group) HoldsLeaseInStep() bool { return g.cfg.Replica.HoldsLease(g.cfg.Now()) }
