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

// TestMain fixes the seed and the number of checks unless they were given.
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

// maxHosts bounds how many hosts one history uses, including removed ones.
const maxHosts = 8

// livenessLimit is the time within which a healed group commits a new write.
// Restarted hosts refuse to vote for one election timeout, a host campaigns
// after up to one and a half, or two and a half with low priority, and a
// transfer in progress may take another.
const livenessLimit = 6 * electionTimeout

type fuzzer struct{ *cluster }

// one draws an item with equal probabilities, while rapid.SampledFrom prefers
// the first ones.
func one[T any](t *rapid.T, items []T, label string) T {
	number := 0
	for _, bit := range rapid.SliceOfN(rapid.Bool(), 10, 10).Draw(t, label) {
		number *= 2
		if bit {
			number++
		}
	}
	return items[number%len(items)]
}

// action is a step of a history.
type action struct {
	weight int
	do     func(*rapid.T)
}

// act takes a step that is drawn by weight.
func (f fuzzer) act(t *rapid.T) {
	var choices []func(*rapid.T)
	for _, a := range f.actions() {
		for range a.weight {
			choices = append(choices, a.do)
		}
	}
	one(t, choices, "action")(t)
}

func (f fuzzer) pick(t *rapid.T) *host {
	return f.hosts[one(t, f.ids, "host")]
}

// target picks the leader mostly, because few faults elsewhere matter.
func (f fuzzer) target(t *rapid.T) *host {
	if l := f.leader(); l != nil && one(t, []bool{true, true, false}, "leader") {
		return l
	}
	return f.pick(t)
}

// victim picks a host to fail, but mostly leaves a majority of the hosts, so
// that histories make progress.
func (f fuzzer) victim(t *rapid.T) *host {
	failed := 0
	for _, h := range f.hosts {
		if h.replica == nil || h.inbox.Paused() {
			failed++
		}
	}
	few := 2*(failed+1) < len(f.ids)
	if few || one(t, []bool{false, false, false, true}, "fail majority") {
		return f.target(t)
	}
	return nil
}

func (f fuzzer) actions() []action {
	return []action{
		{12, f.runAWhile},
		{8, f.proposeSome},
		{6, f.readSome},
		{3, func(*rapid.T) { f.net.Heal() }},
		{6, f.recover},
		{3, f.promote},
		{1, f.add},
		{1, f.remove},
		{2, f.partition},
		{2, func(t *rapid.T) { f.net.Cut(f.target(t).id, f.pick(t).id) }},
		{1, f.noise},
		{2, f.onVictim(func(h *host) { h.inbox.Pause() })},
		{2, f.onVictim(f.crash)},
		{2, f.onVictim(func(h *host) { h.store.LosePower() })},
		{1, func(t *rapid.T) { _ = f.transfer(f.target(t), f.pick(t).id) }},
		{1, func(t *rapid.T) { _ = f.handOver(f.target(t)) }},
	}
}

func (f fuzzer) onVictim(do func(*host)) func(*rapid.T) {
	return func(t *rapid.T) {
		if h := f.victim(t); h != nil {
			do(h)
		}
	}
}

func (f fuzzer) runAWhile(t *rapid.T) {
	f.run(one(t, []time.Duration{
		tickInterval, 3 * tickInterval, electionTimeout / 4, electionTimeout, 3 * electionTimeout,
	}, "span"))
}

// recover resumes paused hosts and restarts crashed ones.
func (f fuzzer) recover(t *rapid.T) {
	for _, id := range f.ids {
		h := f.hosts[id]
		failed := h.inbox.Paused() || h.replica == nil
		if !failed || !one(t, []bool{true, false}, "recover") {
			continue
		}
		if h.replica == nil {
			f.start(h)
		}
		f.resume(h)
	}
}

func (f fuzzer) promote(t *rapid.T) {
	l := f.leader()
	if l == nil {
		return
	}
	if learners := l.replica.Status().Membership.Learners; len(learners) > 0 {
		_ = f.change(l, raft.Promote, one(t, learners, "learner"))
	}
}

func (f fuzzer) proposeSome(t *rapid.T) {
	h := f.target(t)
	for range one(t, []int{1, 3, 20}, "count") {
		f.propose(h)
	}
}

func (f fuzzer) readSome(*rapid.T) {
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

func (f fuzzer) noise(t *rapid.T) {
	c := defaultConditions
	c.Loss = one(t, []float64{0, 0.1, 0.3}, "loss")
	c.Duplicate = one(t, []float64{0, 0.2}, "duplicate")
	c.MaxDelay = one(t, []time.Duration{30 * time.Millisecond, electionTimeout / 4, electionTimeout}, "delay")
	f.net.SetConditions(c)
}

func (f fuzzer) add(t *rapid.T) {
	l := f.leader()
	if l == nil || len(f.ids) >= maxHosts {
		return
	}
	h := f.addHost(fmt.Sprintf("h%d", len(f.ids)+1), raft.Membership{})
	_ = f.change(l, raft.AddLearner, h.id)
}

// remove removes a member, but leaves two voters.
func (f fuzzer) remove(t *rapid.T) {
	l := f.leader()
	if l == nil || len(l.replica.Status().Membership.Voters) <= 2 {
		return
	}
	_ = f.change(l, raft.Remove, one(t, l.replica.Status().Membership.Members(), "member"))
}

func (f fuzzer) check(t *rapid.T) {
	f.checkLease()
	if f.broken != "" {
		t.Fatal(f.broken)
	}
}

// finish heals the group and checks liveness, convergence, that acknowledged
// writes survive, and that the history is linearizable.
func (f fuzzer) finish(t *rapid.T) {
	f.heal()
	live := f.commitWrite(livenessLimit)
	f.check(t)
	if !live {
		t.Fatalf("no write was committed within %v: %v", livenessLimit, f.describe())
	}
	if !f.waitFor(livenessLimit, f.converged) {
		f.check(t)
		t.Fatalf("members differ: %v", f.describe())
	}
	f.check(t)
	if lost := f.lostWrite(); lost != "" {
		t.Fatalf("acknowledged write %s was lost", lost)
	}
	if !porcupine.CheckOperations(registerModel, f.history()) {
		t.Fatal("history is not linearizable")
	}
}

func (f fuzzer) describe() []string {
	var lines []string
	for _, id := range f.ids {
		if r := f.hosts[id].replica; r != nil {
			lines = append(lines, fmt.Sprintf("%+v", r.Status()))
		}
	}
	return lines
}

// TestFaults drives replicas through random faults. It hardly notices a missing
// protection of a lease by a restarted follower, by one in a newer term or from
// late replies, nor votes that are not stored; examples test these.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		count := rapid.IntRange(3, 5).Draw(t, "hosts")
		low := rapid.IntRange(0, 2).Draw(t, "low priority") == 0
		c := newCluster(seed, count, func(cfg *replica.Config) {
			cfg.Raft.LowPriority = low && cfg.Raft.ID == "h1"
		})
		f := fuzzer{c}
		f.run(3 * electionTimeout)
		t.Repeat(map[string]func(*rapid.T){"act": f.act, "": f.check})
		f.finish(t)
	})
}
