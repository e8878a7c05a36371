package replica_test

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/internal/simnet"
	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/replica"
)

const (
	electionTimeout = time.Second
	clockError      = 100 * time.Millisecond
	tickInterval    = 20 * time.Millisecond
	// The rates of two clocks differ by at most 9.4 %, so their measurements of
	// one election timeout differ by less than clockError.
	slowestClock, fastestClock = 0.955, 1.045
)

var defaultConditions = simnet.Conditions{MinDelay: time.Millisecond, MaxDelay: 30 * time.Millisecond}

// record is an applied command with its position in the log.
type record struct {
	Index, Term uint64
	Command     string
}

// machine is a state machine that stores every applied command.
type machine struct{ records []record }

func (m *machine) Apply(index, term uint64, command []byte) []byte {
	m.records = append(m.records, record{index, term, string(command)})
	return command
}

func (m *machine) Snapshot() ([]byte, error) { return msgpack.Marshal(m.records) }

func (m *machine) Restore(data []byte) error {
	m.records = nil
	return msgpack.Unmarshal(data, &m.records)
}

// register returns the value of a register to which each command writes, which
// is the last command or empty.
func (m *machine) register() string {
	if len(m.records) == 0 {
		return ""
	}
	return m.records[len(m.records)-1].Command
}

type host struct {
	id     string
	clock  simnet.Clock
	config replica.Config
	store  *replica.MemoryStorage
	// disk delays the writes to store, or is nil if calls of the replica wait for them.
	disk    *slowDisk
	machine *machine
	// replica is nil while the host is down.
	replica *replica.Replica
	inbox   simnet.Inbox[raft.Message]
	// commit is the highest commit index seen on the host, and applied the index up to
	// which it has applied the log.
	commit, applied uint64
}

// operation is a write or read as its client observes it. A read has no proposal
// ID.
type operation struct {
	value      string
	proposalID replica.ProposalID
	// call and done are the sequence numbers of the call and of its return.
	// done is 0 while a write is not acknowledged.
	call, done int64
	host       string
}

// cluster runs replicas over a simulated network and checks the invariants
// that must hold at all times.
type cluster struct {
	seed  uint64
	net   *simnet.Network[raft.Message]
	now   time.Duration
	hosts map[string]*host
	ids   []string
	// sequence numbers the calls and returns of clients.
	sequence int64
	writes   []*operation
	reads    []operation
	// leaders is the leader of each term.
	leaders map[uint64]string
	// committed is the applied command at each index.
	committed map[uint64]record
	// violation describes the first violated invariant, or is empty.
	violation  string
	configure  func(*replica.Config)
	sentChunks int
	// writeTime returns how long the next write of a host takes. Without it, calls of
	// a replica wait for its writes, which take no time.
	writeTime func(h *host) time.Duration
	// skipCommitOnlySaves is set if the storages ignore changes of the commit index.
	skipCommitOnlySaves bool
}

func newCluster(seed uint64, count int, configure func(*replica.Config)) *cluster {
	c := &cluster{
		seed: seed, net: simnet.New[raft.Message](seed, defaultConditions),
		hosts: map[string]*host{}, leaders: map[uint64]string{},
		committed: map[uint64]record{}, configure: configure,
	}
	c.addVoters(count)
	return c
}

// addVoters starts the first hosts, which are the voters of the group.
func (c *cluster) addVoters(count int) {
	var voters []string
	for i := range count {
		voters = append(voters, fmt.Sprintf("h%d", i+1))
	}
	for _, id := range voters {
		c.addHost(id, raft.Membership{Voters: voters})
	}
}

// addHost starts a host with an empty disk.
func (c *cluster) addHost(id string, bootstrap raft.Membership) *host {
	number := len(c.ids)
	rate := []float64{slowestClock, fastestClock, 1}[number%3]
	h := &host{
		id:    id,
		clock: simnet.Clock{Origin: time.Duration(number) * time.Hour, Rate: rate},
		store: replica.NewMemoryStorage(),
	}
	h.config = replica.Config{
		Raft: raft.Config{
			ID: id, Group: "g", ElectionTimeout: electionTimeout, ClockError: clockError,
			HeartbeatInterval: electionTimeout / 10, MaxBatchBytes: 400,
			SnapshotChunkBytes: 300, MaxInflight: 4, MaxInflightBytes: 1500, Seed: c.seed,
		},
		Bootstrap: bootstrap, SnapshotEntries: 12, KeepEntries: 4,
	}
	if c.configure != nil {
		c.configure(&h.config)
	}
	c.hosts[id] = h
	c.ids = append(c.ids, id)
	c.start(h)
	return h
}

func (c *cluster) start(h *host) {
	h.machine = &machine{}
	h.inbox.Resume()
	r, err := replica.Open(h.config, c.storageOf(h), h.machine)
	if err != nil {
		c.fail("host %s cannot restart: %v", h.id, err)
		return
	}
	h.replica = r
	c.attachDisk(h)
	c.checkHost(h)
}

// fail records the first violation, which ends the run.
func (c *cluster) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("at %v: ", c.now) + fmt.Sprintf(format, args...)
	}
}

// crash stops a host and drops its unsynced writes and the messages to it.
func (c *cluster) crash(h *host) {
	h.replica = nil
	h.store.Crash()
	if h.disk != nil {
		// The commit index may be lost with the write in progress, but not the part
		// up to which the host has applied the log and shown its state.
		h.disk.crash()
		h.commit = h.applied
	}
	if c.skipCommitOnlySaves {
		// The host starts with the commit index of its last other save.
		h.commit = 0
	}
	c.net.Discard(h.id)
}

// run advances the time in ticks until span has passed or an invariant is
// violated.
func (c *cluster) run(span time.Duration) {
	for end := c.now + span; c.now < end && c.violation == ""; {
		c.now += tickInterval
		c.deliver()
		for _, id := range c.ids {
			h := c.hosts[id]
			c.completeDiskWrites(h)
			c.call(h, func(now time.Duration) (replica.Output, error) { return h.replica.Tick(now) })
		}
		c.checkLease()
	}
}

func (c *cluster) deliver() {
	for {
		d, ok := c.net.Deliver(c.now)
		if !ok {
			return
		}
		c.receive(c.hosts[d.To], d.Message)
	}
}

func (c *cluster) receive(h *host, m raft.Message) {
	if !h.inbox.BufferIfPaused(m) {
		c.call(h, func(now time.Duration) (replica.Output, error) { return h.replica.Receive(now, m) })
	}
}

func (c *cluster) resume(h *host) {
	for _, m := range h.inbox.Resume() {
		c.receive(h, m)
	}
}

// call runs a method of a replica, sends its messages and checks its result and
// state.
func (c *cluster) call(h *host, method func(time.Duration) (replica.Output, error)) error {
	if h.replica == nil || h.inbox.Paused() {
		return replica.ErrClosed
	}
	out, err := method(h.clock.Read(c.now))
	switch err := err.(type) {
	case *replica.FatalError:
		if _, expected := err.Cause.(*replica.PowerLossError); !expected {
			c.fail("host %s failed: %v", h.id, err)
		}
		c.crash(h)
		return err
	case *raft.ConflictError, *raft.MalformedMessageError, *raft.WrongGroupError:
		c.fail("host %s rejected a message: %v", h.id, err)
	}
	for _, m := range out.Messages {
		if m.Chunk != nil {
			c.sentChunks++
		}
		c.net.Send(c.now, m.From, m.To, m)
	}
	c.completeWrites(h, out.Applied)
	c.checkHost(h)
	return err
}

// completeWrites marks the writes as acknowledged whose proposal was applied at
// the host that they were sent to.
func (c *cluster) completeWrites(h *host, applied []replica.Applied) {
	for _, a := range applied {
		for _, w := range c.writes {
			same := w.proposalID == replica.ProposalID{Index: a.Index, Term: a.Term}
			if same && w.host == h.id && w.done == 0 {
				c.sequence++
				w.done = c.sequence
			}
		}
	}
}

// propose writes a value that no other write of the history has.
func (c *cluster) propose(h *host) *operation {
	c.sequence++
	w := &operation{value: fmt.Sprintf("v%d", c.sequence), call: c.sequence, host: h.id}
	err := c.call(h, func(now time.Duration) (replica.Output, error) {
		proposal, out, err := h.replica.Propose(now, []byte(w.value))
		if proposal.Index > 0 {
			w.proposalID = proposal
			c.writes = append(c.writes, w)
		}
		return out, err
	})
	if err != nil {
		return nil
	}
	return w
}

// read reads the register if the host holds the lease. A paused host reads too,
// like a process that has just resumed and not yet received its messages.
func (c *cluster) read(h *host) bool {
	if h.replica == nil {
		return false
	}
	if _, ok := h.replica.LeaseReadIndex(h.clock.Read(c.now)); !ok {
		return false
	}
	c.sequence += 2
	c.reads = append(c.reads, operation{value: h.machine.register(), call: c.sequence - 1, done: c.sequence})
	return true
}

func (c *cluster) changeMembership(h *host, op raft.ChangeOp, id string) error {
	return c.call(h, func(now time.Duration) (replica.Output, error) {
		_, out, err := h.replica.ProposeChange(now, raft.MemberChange{Op: op, ID: id})
		return out, err
	})
}

func (c *cluster) transfer(h *host, to string) error {
	return c.call(h, func(now time.Duration) (replica.Output, error) { return h.replica.TransferLeadership(now, to) })
}

func (c *cluster) transferToBestVoter(h *host) error {
	return c.call(h, func(now time.Duration) (replica.Output, error) { return h.replica.TransferToBestVoter(now) })
}

// leader returns the running host that is leader in the highest term, or nil.
func (c *cluster) leader() *host {
	var best *host
	for _, id := range c.ids {
		h := c.hosts[id]
		if h.replica == nil || h.inbox.Paused() || h.replica.Status().Role != raft.RoleLeader {
			continue
		}
		if best == nil || h.replica.Status().Term > best.replica.Status().Term {
			best = h
		}
	}
	return best
}

// heal ends all network faults, restarts crashed hosts and resumes paused ones.
func (c *cluster) heal() {
	c.net.Heal()
	c.net.SetDefaultConditions(defaultConditions)
	c.speedUpDisks()
	for _, id := range c.ids {
		h := c.hosts[id]
		if h.replica == nil {
			c.start(h)
		}
		// This only disarms a power loss, because there are no unsynced writes.
		h.store.Crash()
		c.resume(h)
	}
}

// waitFor runs until the condition is true, for at most limit, and reports
// whether it is.
func (c *cluster) waitFor(limit time.Duration, condition func() bool) bool {
	for end := c.now + limit; c.now < end && c.violation == ""; {
		if condition() {
			return true
		}
		c.run(tickInterval)
	}
	return condition()
}

// commitWrite proposes a write, again after each change of leader, until one is
// acknowledged.
func (c *cluster) commitWrite(limit time.Duration) bool {
	var w *operation
	return c.waitFor(limit, func() bool {
		if w != nil && w.done > 0 {
			return true
		}
		if l := c.leader(); l != nil && (w == nil || w.host != l.id) {
			w = c.propose(l)
		}
		return false
	})
}
