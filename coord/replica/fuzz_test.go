package replica_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/replica"
)

// TestMain sets defaults for the flags of rapid, so that runs are repeatable.
// Flags on the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"seed": "20261204", "checks": "200", "steps": "200", "nofailfile": "true"} {
		if !given["rapid."+name] {
			_ = flag.Set("rapid."+name, value)
		}
	}
	os.Exit(m.Run())
}

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replica")
}

// maxHosts limits the number of hosts in one history, including removed ones.
const maxHosts = 8

// livenessLimit is the time within which a group must commit a new write after
// all faults have ended. A restarted host does not vote for one election
// timeout, a host campaigns after up to one and a half timeouts, or two and a
// half with low priority, and a transfer in progress may take another one.
const livenessLimit = 6 * electionTimeout

// fuzzer applies random actions to a cluster.
type fuzzer struct{ *cluster }

// drawUniform draws items with almost equal probabilities, while
// rapid.SampledFrom prefers the first ones.
func drawUniform[T any](t *rapid.T, items []T, label string) T {
	number := 0
	for _, bit := range rapid.SliceOfN(rapid.Bool(), 10, 10).Draw(t, label) {
		number *= 2
		if bit {
			number++
		}
	}
	return items[number%len(items)]
}

// action is a possible step of a history.
type action struct {
	weight int
	run    func(*rapid.T)
}

// step runs an action that is drawn by weight.
func (f fuzzer) step(t *rapid.T) {
	var choices []func(*rapid.T)
	for _, a := range f.actions() {
		for range a.weight {
			choices = append(choices, a.run)
		}
	}
	drawUniform(t, choices, "action")(t)
}

func (f fuzzer) anyHost(t *rapid.T) *host {
	return f.hosts[drawUniform(t, f.ids, "host")]
}

// mostlyLeader returns the leader in most cases and a random host otherwise,
// because few faults on other hosts have an effect.
func (f fuzzer) mostlyLeader(t *rapid.T) *host {
	if l := f.leader(); l != nil && drawUniform(t, []bool{true, true, false}, "leader") {
		return l
	}
	return f.anyHost(t)
}

// hostToFail returns a host to fail, or nil. It mostly keeps a majority of the
// hosts running, so that histories make progress.
func (f fuzzer) hostToFail(t *rapid.T) *host {
	failed := 0
	for _, h := range f.hosts {
		if h.replica == nil || h.inbox.Paused() {
			failed++
		}
	}
	leavesMajority := 2*(failed+1) < len(f.ids)
	if leavesMajority || drawUniform(t, []bool{false, false, false, true}, "fail majority") {
		return f.mostlyLeader(t)
	}
	return nil
}

func (f fuzzer) actions() []action {
	return []action{
		{12, f.advanceTime},
		{8, f.proposeCommands},
		{6, f.readFromAllHosts},
		{3, func(*rapid.T) { f.net.Heal() }},
		{6, f.recover},
		{3, f.promoteLearner},
		{1, f.addLearner},
		{1, f.removeMember},
		{2, f.partition},
		{2, func(t *rapid.T) { f.net.Cut(f.mostlyLeader(t).id, f.anyHost(t).id) }},
		{1, f.changeNetworkConditions},
		{2, f.injectFault(func(h *host) { h.inbox.Pause() })},
		{2, f.injectFault(f.crash)},
		{2, f.injectFault(func(h *host) { h.store.InjectPowerLoss() })},
		{1, func(t *rapid.T) { _ = f.transfer(f.mostlyLeader(t), f.anyHost(t).id) }},
		{1, func(t *rapid.T) { _ = f.transferToBestVoter(f.mostlyLeader(t)) }},
	}
}

// injectFault returns an action that applies a fault to a host.
func (f fuzzer) injectFault(do func(*host)) func(*rapid.T) {
	return func(t *rapid.T) {
		if h := f.hostToFail(t); h != nil {
			do(h)
		}
	}
}

func (f fuzzer) advanceTime(t *rapid.T) {
	f.run(drawUniform(t, []time.Duration{
		tickInterval, 3 * tickInterval, electionTimeout / 4, electionTimeout, 3 * electionTimeout,
	}, "span"))
}

// recover resumes or restarts each failed host with a probability of one half.
func (f fuzzer) recover(t *rapid.T) {
	for _, id := range f.ids {
		h := f.hosts[id]
		failed := h.inbox.Paused() || h.replica == nil
		if !failed || !drawUniform(t, []bool{true, false}, "recover") {
			continue
		}
		if h.replica == nil {
			f.start(h)
		}
		f.resume(h)
	}
}

func (f fuzzer) promoteLearner(t *rapid.T) {
	l := f.leader()
	if l == nil {
		return
	}
	if learners := l.replica.Status().Membership.Learners; len(learners) > 0 {
		_ = f.changeMembership(l, raft.Promote, drawUniform(t, learners, "learner"))
	}
}

func (f fuzzer) proposeCommands(t *rapid.T) {
	h := f.mostlyLeader(t)
	for range drawUniform(t, []int{1, 3, 20}, "count") {
		f.propose(h)
	}
}

func (f fuzzer) readFromAllHosts(*rapid.T) {
	for _, id := range f.ids {
		f.read(f.hosts[id])
	}
}

func (f fuzzer) partition(t *rapid.T) {
	var sides [2][]string
	for _, id := range f.ids {
		side := rapid.IntRange(0, 1).Draw(t, "side")
		sides[side] = append(sides[side], id)
	}
	f.net.Partition(sides[0], sides[1])
}

func (f fuzzer) changeNetworkConditions(t *rapid.T) {
	c := defaultConditions
	c.Loss = drawUniform(t, []float64{0, 0.1, 0.3}, "loss")
	c.Duplicate = drawUniform(t, []float64{0, 0.2}, "duplicate")
	c.MaxDelay = drawUniform(t, []time.Duration{30 * time.Millisecond, electionTimeout / 4, electionTimeout}, "delay")
	f.net.SetDefaultConditions(c)
}

func (f fuzzer) addLearner(t *rapid.T) {
	l := f.leader()
	if l == nil || len(f.ids) >= maxHosts {
		return
	}
	h := f.addHost(fmt.Sprintf("h%d", len(f.ids)+1), raft.Membership{})
	_ = f.changeMembership(l, raft.AddLearner, h.id)
}

// removeMember removes a random member. It does nothing if the group has only
// two voters.
func (f fuzzer) removeMember(t *rapid.T) {
	l := f.leader()
	if l == nil || len(l.replica.Status().Membership.Voters) <= 2 {
		return
	}
	_ = f.changeMembership(l, raft.Remove, drawUniform(t, l.replica.Status().Membership.Members(), "member"))
}

func (f fuzzer) checkInvariants(t *rapid.T) {
	f.checkLease()
	if f.violation != "" {
		t.Fatal(f.violation)
	}
}

// checkFinalState ends all faults. It then checks that a new write commits, that
// the members converge, that no acknowledged write is lost, and that the history
// is linearizable.
func (f fuzzer) checkFinalState(t *rapid.T) {
	f.heal()
	live := f.commitWrite(livenessLimit)
	f.checkInvariants(t)
	if !live {
		t.Fatalf("no write was committed within %v after all faults ended: %v", livenessLimit, f.statuses())
	}
	if !f.waitFor(livenessLimit, f.converged) {
		f.checkInvariants(t)
		t.Fatalf("members did not converge in time: %v", f.statuses())
	}
	f.checkInvariants(t)
	if lost := f.lostWrite(); lost != "" {
		t.Fatalf("acknowledged write %s was lost", lost)
	}
	if !porcupine.CheckOperations(registerModel, f.operations()) {
		t.Fatal("history is not linearizable")
	}
}

func (f fuzzer) statuses() []string {
	var lines []string
	for _, id := range f.ids {
		if r := f.hosts[id].replica; r != nil {
			lines = append(lines, fmt.Sprintf("%+v", r.Status()))
		}
	}
	return lines
}

// TestFaults runs replicas through random faults and checks the invariants. It
// rarely detects a lease that is not protected by a restarted follower, by a
// follower in a newer term or against late replies, or votes that are not
// stored. Separate specs test these four cases.
func TestFaults(t *testing.T) { checkFaults(t, func(*cluster) {}) }

// TestFaultsWithSlowDisks is TestFaults with writes in the background, some of which take
// longer than an election. It guards against a message that leaves before the state that
// it depends on is durable, and is wrong after a crash.
func TestFaultsWithSlowDisks(t *testing.T) { checkFaults(t, (*cluster).slowDownDisks) }

func checkFaults(t *testing.T, prepare func(*cluster)) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		count := rapid.IntRange(3, 5).Draw(t, "hosts")
		hasLowPriority := rapid.IntRange(0, 2).Draw(t, "low priority") == 0
		announces := rapid.Bool().Draw(t, "announces commits")
		c := newCluster(seed, count, func(cfg *replica.Config) {
			cfg.Raft.LowPriority = hasLowPriority && cfg.Raft.ID == "h1"
			cfg.Raft.AnnounceCommit = announces
		})
		prepare(c)
		f := fuzzer{c}
		f.run(3 * electionTimeout)
		t.Repeat(map[string]func(*rapid.T){"act": f.step, "": f.checkInvariants})
		f.checkFinalState(t)
	})
}
