// Package group runs one replicated log of a host. It passes clock ticks and
// messages to the replica, batches proposals and delivers their results.
package group

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/replica"
	"cranberrydrum.dev/daemon/panics"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	tickInterval = 20 * time.Millisecond
	// followerTickInterval is the tick interval of a follower. It is longer
	// because only the election timeout of a follower depends on ticks, and that
	// timeout is randomized over a much larger range.
	followerTickInterval = 50 * time.Millisecond
	// statusInterval bounds the age of the lag and silence of the other members
	// in the published status. A change of the role, the term, the leader or an
	// index of the log is published immediately.
	statusInterval       = 100 * time.Millisecond
	inboxCapacity        = 4096
	maxEventsPerStep     = 256
	requestQueueCapacity = 1024
)

// Sender sends the messages of a replica to other hosts.
type Sender func(raft.Message)

// Owner is called on the goroutine of the group after each batch of events, with
// the current time and view of the log. It may return commands to propose, which
// are accepted only while this host leads.
type Owner interface {
	Step(now time.Duration, view View) [][]byte
}

// RefusedCommandHandler is implemented by an owner that receives its refused
// commands back, so that it can return them again from a later step. Commands
// that were not refused are applied, unless this host loses its leadership. A command
// that is too large for the log would be refused for ever, so it is dropped.
type RefusedCommandHandler interface {
	HandleRefused(commands [][]byte)
}

// View is the state of the log that is passed to an owner.
type View struct {
	Status raft.Status
	// HoldsLease reports whether this host holds the leader lease, so that no
	// other host can lead.
	HoldsLease bool
	// Ready reports whether this host leads and has applied an entry of its own
	// term, so that its state is current.
	Ready bool
	// Restored reports whether a snapshot replaced the state since the last step.
	Restored bool
}

// Config describes a group.
type Config struct {
	Name    string
	Replica *replica.Replica
	Send    Sender
	Owner   Owner
	// Now returns the monotonic time of the process.
	Now    func() time.Duration
	Logger logr.Logger
	// Panics counts panics on the goroutine of the group; it may be nil.
	Panics panics.Observer
	// OnFailure is called once when the replica fails, for example in its storage.
	OnFailure func(error)
}

// Group runs one replica on a dedicated goroutine.
type Group struct {
	cfg       Config
	inbox     chan raft.Message
	proposals chan *proposal
	// functions are those that RunOnLoop passes to the goroutine of the group.
	functions chan func(now time.Duration)
	writer    writer
	stop      chan struct{}
	done      chan struct{}
	started   bool
	stopOnce  sync.Once

	// waiters maps a log index to the proposals that were appended there, in
	// order of their terms. Only the goroutine of the group uses it.
	waiters map[uint64][]*proposal
	// queued holds the proposals for the batch of the next step.
	queued   []*proposal
	restored bool
	failure  error
	// publishedStatus and nextPublish determine when the status is published
	// again. It is not published on each step because it copies the membership
	// and the state of all peers.
	publishedStatus raft.BasicStatus
	nextPublish     time.Duration

	mu      sync.Mutex
	status  raft.Status
	isReady atomic.Bool
	// leaseEnd is the end of the leader lease in nanoseconds, as of the last step.
	leaseEnd atomic.Int64
}

// New returns a group. Start starts it.
func New(cfg Config) *Group {
	g := &Group{
		cfg:       cfg,
		inbox:     make(chan raft.Message, inboxCapacity),
		proposals: make(chan *proposal, requestQueueCapacity),
		functions: make(chan func(time.Duration), requestQueueCapacity),
		writer:    newWriter(),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		waiters:   map[uint64][]*proposal{},
		status:    cfg.Replica.Status(),
	}
	cfg.Replica.WriteInBackground(g.writer.start)
	return g
}

// Start runs the group. It takes the first step before it returns, so that the
// entries that were in the log when the previous process ended are applied
// before the group is used.
func (g *Group) Start() {
	g.started = true
	go g.writer.run()
	err := panics.Catch("replicated_log", func() {
		g.handleOutput(g.cfg.Replica.Tick(g.cfg.Now()))
		g.step()
	})
	if err != nil {
		g.fail(err)
	}
	go g.run()
}

// Stop stops the group, closes its storage and waits until both are done.
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

// Deliver queues a message from another host and reports whether it was queued.
// If the inbox is full, the message is dropped, because raft retransmits it.
func (g *Group) Deliver(m raft.Message) bool {
	select {
	case g.inbox <- m:
		return true
	default:
		return false
	}
}

// Status returns the last published status of the replica.
func (g *Group) Status() raft.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status
}

// IsReadyLeader reports whether this host led with the lease and a current state
// at the last step.
func (g *Group) IsReadyLeader() bool { return g.isReady.Load() }

// Propose proposes a command and waits for its result. The error is a
// structs.Refusal whose outcome tells whether the command may still take effect.
func (g *Group) Propose(command []byte, timeout time.Duration) ([]byte, error) {
	p := &proposal{command: command, done: make(chan outcome, 1)}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-g.done:
		return nil, structs.RefuseNotRun(structs.CodeStopping, "this host is stopping")
	default:
	}
	select {
	case g.proposals <- p:
	case <-timer.C:
		return nil, structs.RefuseNotRun(structs.CodeQuorumUnavailable, "too many commands wait in "+g.cfg.Name)
	case <-g.done:
		return nil, structs.RefuseNotRun(structs.CodeStopping, "this host is stopping")
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-timer.C:
		return nil, structs.RefuseUnknown(structs.CodeQuorumUnavailable, "no quorum of "+g.cfg.Name+" confirmed the command in time")
	case <-g.done:
		o := outcomeAtStop(p, "this host stopped before the command was confirmed")
		return o.result, o.err
	}
}

// ChangeMembership proposes a membership change and waits until it is committed.
func (g *Group) ChangeMembership(c raft.MemberChange, timeout time.Duration) error {
	return g.ChangeMembershipIf(func(raft.Status) error { return nil }, c, timeout)
}

// ChangeMembershipIf proposes a membership change unless check returns an error for
// the status at that time. It waits until the change is committed.
func (g *Group) ChangeMembershipIf(check func(raft.Status) error, c raft.MemberChange, timeout time.Duration) error {
	p := &proposal{done: make(chan outcome, 1)}
	ran := g.RunOnLoop(func(now time.Duration) {
		if err := check(g.cfg.Replica.Status()); err != nil {
			p.done <- outcome{err: err}
			return
		}
		id, out, err := g.cfg.Replica.ProposeChange(now, c)
		switch {
		case err == nil:
			g.addWaiter(id, p)
		case raft.IsRefusal(err):
			p.done <- outcome{err: newRefusal(err)}
		default:
			p.done <- outcome{err: structs.RefuseUnknown(structs.CodeQuorumUnavailable, err.Error())}
		}
		g.handleCallOutput(out, err)
	})
	if !ran {
		return structs.RefuseNotRun(structs.CodeStopping, "this host is stopping")
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case o := <-p.done:
		return o.err
	case <-timer.C:
		return structs.RefuseUnknown(structs.CodeQuorumUnavailable, "the membership change was not confirmed in time")
	case <-g.done:
		return outcomeAtStop(p, "this host stopped before the change was confirmed").err
	}
}

// TransferLeadership starts a transfer of leadership to another voter if this
// host leads.
func (g *Group) TransferLeadership() error {
	var err error
	g.RunOnLoop(func(now time.Duration) {
		var out replica.Output
		out, err = g.cfg.Replica.TransferToBestVoter(now)
		g.handleCallOutput(out, err)
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
		if wanted := g.currentTickInterval(); wanted != interval {
			interval = wanted
			ticker.Reset(interval)
		}
		stopped := false
		// After a panic the state may be half changed, so the group ends. It is
		// opened again from its storage.
		err := panics.Catch("replicated_log", func() { stopped = g.handleNext(ticker.C) })
		if err != nil {
			g.fail(err)
		}
		if stopped {
			return
		}
	}
	g.refuseQueued()
}

// handleNext waits for the next events, handles them and takes a step. It reports
// whether the group was stopped.
func (g *Group) handleNext(tick <-chan time.Time) (stopped bool) {
	select {
	case <-g.stop:
		return true
	case <-tick:
		g.handleOutput(g.cfg.Replica.Tick(g.cfg.Now()))
	case m := <-g.inbox:
		g.receive(m)
	case p := <-g.proposals:
		g.queued = append(g.queued, p)
	case fn := <-g.functions:
		fn(g.cfg.Now())
	case w := <-g.writer.written:
		g.completeWrite(w)
	}
	g.handlePending()
	g.step()
	return false
}

// handlePending handles the events that are already queued, so that they share
// one step and one sync. A sync takes longer than any other work of the group,
// and events queue up meanwhile.
func (g *Group) handlePending() {
	for range maxEventsPerStep {
		if g.failure != nil {
			return
		}
		select {
		case m := <-g.inbox:
			g.receive(m)
		case p := <-g.proposals:
			g.queued = append(g.queued, p)
		case fn := <-g.functions:
			fn(g.cfg.Now())
		case w := <-g.writer.written:
			g.completeWrite(w)
		default:
			return
		}
	}
}

func (g *Group) currentTickInterval() time.Duration {
	if g.publishedStatus.Role == raft.RoleFollower {
		return followerTickInterval
	}
	return tickInterval
}

func (g *Group) closeStorage() {
	if g.started {
		g.writer.stop()
	}
	if err := g.cfg.Replica.Close(); err != nil {
		g.cfg.Logger.Error(err, "cannot close the storage of the replicated log", "group", g.cfg.Name)
	}
}

func (g *Group) receive(m raft.Message) {
	out, err := g.cfg.Replica.Receive(g.cfg.Now(), m)
	if raft.IsRefusal(err) {
		g.cfg.Logger.V(1).Info("dropped a raft message", "group", g.cfg.Name, "from", m.From, "error", err.Error())
	}
	g.handleCallOutput(out, err)
}

// proposeBatch proposes the queued proposals and the commands of the owner, with a single
// sync unless one of them is too large. That one is refused alone; after any other refusal
// the commands that follow are refused too.
func (g *Group) proposeBatch(ownerCommands [][]byte) {
	batch := g.queued
	g.queued = nil
	if len(batch)+len(ownerCommands) == 0 {
		return
	}
	commands := make([][]byte, 0, len(batch)+len(ownerCommands))
	for _, p := range batch {
		commands = append(commands, p.command)
	}
	commands = append(commands, ownerCommands...)
	var refused [][]byte
	for next := 0; next < len(commands); {
		ids, out, err := g.cfg.Replica.ProposeBatch(g.cfg.Now(), commands[next:])
		for _, id := range ids {
			if next < len(batch) {
				g.addWaiter(id, batch[next])
			}
			next++
		}
		end := len(commands)
		if isTooLarge(err) {
			end = next + 1
		}
		for ; next < end; next++ {
			switch {
			case next < len(batch):
				batch[next].done <- outcome{err: newRefusal(err)}
			case isTooLarge(err):
				g.cfg.Logger.Error(err, "dropped a command of the owner", "group", g.cfg.Name)
			default:
				refused = append(refused, commands[next])
			}
		}
		g.handleCallOutput(out, err)
	}
	if handler, ok := g.cfg.Owner.(RefusedCommandHandler); ok {
		handler.HandleRefused(refused)
	}
}

// refuseQueued refuses the proposals that were still queued when the log failed.
func (g *Group) refuseQueued() {
	for _, p := range g.queued {
		p.done <- outcome{err: structs.RefuseNotRun(structs.CodeStopping, "the replicated log has failed")}
	}
	g.queued = nil
}

// handleCallOutput processes the output of a call that the replica may refuse.
// The output is valid even if the call was refused.
func (g *Group) handleCallOutput(out replica.Output, err error) {
	if raft.IsRefusal(err) {
		err = nil
	}
	g.handleOutput(out, err)
}

// handleOutput processes the output of the replica. An error of the replica is
// permanent: its storage failed or its state contradicts that of the group.
func (g *Group) handleOutput(out replica.Output, err error) {
	if err != nil {
		g.fail(err)
		return
	}
	g.processOutput(out)
}

func (g *Group) fail(err error) {
	g.failure = err
	panics.Log(g.cfg.Logger.WithValues("group", g.cfg.Name), g.cfg.Panics, err, "effect", "the replicated log stops")
	g.cfg.OnFailure(err)
}

func (g *Group) processOutput(out replica.Output) {
	for _, m := range out.Messages {
		g.cfg.Send(m)
	}
	for _, a := range out.Applied {
		g.completeApplied(a)
	}
	if out.Restored > 0 {
		g.restored = true
		g.failUnknownUpTo(out.Restored)
	}
	g.refuseReplacedUpTo(g.cfg.Replica.BasicStatus().Applied)
}

// step publishes the status, calls the owner and proposes the batch.
func (g *Group) step() {
	if g.failure != nil {
		return
	}
	now := g.cfg.Now()
	g.publishStatus(now)
	_, ready := g.cfg.Replica.LeaseReadIndex(now)
	// A replica that is ready holds the lease.
	view := View{Status: g.status, HoldsLease: ready || g.cfg.Replica.HoldsLease(now), Ready: ready, Restored: g.restored}
	g.isReady.Store(ready)
	g.leaseEnd.Store(int64(g.cfg.Replica.LeaseEnd(now)))
	g.restored = false
	var ownerCommands [][]byte
	if g.cfg.Owner != nil {
		ownerCommands = g.cfg.Owner.Step(now, view)
	}
	g.proposeBatch(ownerCommands)
}

// publishStatus updates the status if the basic status of the replica has changed
// since the last update, or if that update is older than statusInterval. Only
// the goroutine of the group writes the status.
func (g *Group) publishStatus(now time.Duration) {
	basic := g.cfg.Replica.BasicStatus()
	if basic == g.publishedStatus && now < g.nextPublish {
		return
	}
	g.publishedStatus = basic
	g.nextPublish = now + statusInterval
	status := g.cfg.Replica.Status()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.status = status
}
