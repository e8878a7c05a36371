package replica_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/reconfig"
)

// losePower cuts the power of all hosts at the same moment and erases the disks of some,
// which start again under new identities.
func (f *fleet) losePower(erased []string, pause time.Duration) {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(f.identities)), func(name string) bool {
		_, isDown := f.back[name]
		return isDown
	})
	for _, name := range names {
		f.crash(f.hosts[f.identities[name]])
	}
	f.net.Heal()
	f.run(pause)
	for _, name := range names {
		if slices.Contains(erased, name) {
			f.join(name)
		} else {
			f.restart(name)
		}
	}
	clear(f.leaving)
	f.lostUntil = nil
	f.countAsLost(f.tolerated)
}

// beginChange begins a change of the members that may still be under way when the power
// is lost.
func (f *fleet) beginChange(t *rapid.T) string {
	kind := drawUniform(t, []string{"no change", "new spare", "promotion", "planned", "gone", "disk lost", "restart"}, "change")
	span := time.Duration(rapid.IntRange(0, 1500).Draw(t, "change_ms")) * time.Millisecond
	name := f.victim(t)
	if f.violation != "" {
		return kind
	}
	switch kind {
	case "new spare":
		f.join(f.newName())
		f.advance(span)
	case "promotion":
		f.promoteSpare()
		return kind
	case "planned":
		f.join(f.newName())
		f.advance(replaceWithin)
		f.leaving[f.identities[name]] = true
		f.advance(span)
	case "gone":
		f.loseForGood(name, span)
	case "disk lost":
		f.loseDisk(name, span)
	case "restart":
		f.killAndRestart(name, span)
	}
	if kind != "planned" {
		f.awaitNextLoss(0)
	}
	return fmt.Sprintf("%s %s %v", kind, name, span)
}

// promoteSpare begins the promotion of a spare, with which the number of voters is even, and
// cuts some links, so that few voters have the writes that follow.
func (f *fleet) promoteSpare() {
	f.join(f.newName())
	f.advance(replaceWithin)
	l := f.leader()
	if l == nil {
		return
	}
	for _, spare := range l.replica.Status().Membership.Learners {
		_ = f.changeMembership(l, raft.Promote, spare)
	}
	voters := l.replica.Status().Membership.Voters
	f.run(electionTimeout / 2)
	for _, v := range voters[:len(voters)/2] {
		f.net.Cut(l.id, v)
	}
}

// writeUntilLoss writes until the moment in which the power is lost: some ticks after a
// burst of writes, or right after one of them was acknowledged.
func (f *fleet) writeUntilLoss(t *rapid.T) {
	afterAck := rapid.Bool().Draw(t, "after acknowledgement")
	ticks := rapid.IntRange(0, 15).Draw(t, "ticks")
	var last *operation
	for range rapid.IntRange(1, 20).Draw(t, "writes") {
		if l := f.leader(); l != nil {
			last = f.propose(l)
		}
	}
	if afterAck && last != nil {
		f.waitFor(2*roundInterval, func() bool { return last.done > 0 })
		return
	}
	f.run(time.Duration(ticks) * tickInterval)
}

// disksToLose draws as many hosts as may be lost at this moment, often with the leader.
func (f *fleet) disksToLose(t *rapid.T) []string {
	names := slices.Sorted(maps.Keys(f.identities))
	var erased []string
	if l := f.leader(); l != nil && rapid.Bool().Draw(t, "leader") {
		erased = append(erased, reconfig.HostOf(l.id))
	}
	count := rapid.IntRange(1, f.tolerated-len(f.lostUntil)).Draw(t, "disks")
	for len(erased) < count {
		name := drawUniform(t, names, "host")
		if !slices.Contains(erased, name) {
			erased = append(erased, name)
		}
	}
	return erased
}

// lostRecord describes a command that a host has applied and the leader lacks, or is empty.
func (f *fleet) lostRecord() string {
	applied := f.leader().machine.records
	for _, index := range slices.Sorted(maps.Keys(f.committed)) {
		if !slices.Contains(applied, f.committed[index]) {
			return fmt.Sprintf("%+v", f.committed[index])
		}
	}
	return ""
}

// awaitWrite runs the planners until a new write is acknowledged, and reports whether one
// was in time.
func (f *fleet) awaitWrite(limit time.Duration) bool {
	before := len(f.writes)
	isDone := func(w *operation) bool { return w.done > 0 }
	for end := f.now + limit; f.now < end && f.violation == ""; {
		f.advance(roundInterval)
		if f.leader() != nil && slices.ContainsFunc(f.writes[before:], isDone) {
			return true
		}
	}
	return false
}

// checkNothingLost checks that the group goes on with everything that it had committed.
func (f *fleet) checkNothingLost() {
	switch {
	case f.violation != "":
	case !f.awaitWrite(livenessLimit):
		f.fail("no write was committed within %v after the power came back", livenessLimit)
	case f.lostWrite() != "":
		f.fail("acknowledged write %s is lost", f.lostWrite())
	case f.lostRecord() != "":
		f.fail("applied command %s is lost", f.lostRecord())
	}
}

// TestDisksLostWithThePower guards against state that only lost disks or memory held: as
// many disks as the group tolerates are lost while all other hosts lose power, also in the
// middle of a change of the members, and again after the lost disks were replaced.
func TestDisksLostWithThePower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetWithDisks(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 2).Draw(t, "tolerated"), func(c *cluster) {
			c.skipCommitOnlySaves = true
			random := rand.New(rand.NewPCG(c.seed, 3))
			c.writeTime = func(*host) time.Duration { return time.Duration(random.Int64N(int64(electionTimeout / 10))) }
		})
		f.advance(3 * electionTimeout)
		var history []string
		for range rapid.IntRange(1, 3).Draw(t, "losses") {
			f.awaitNextLoss(0)
			change := f.beginChange(t)
			if f.violation == "" {
				f.writeUntilLoss(t)
				erased := f.disksToLose(t)
				history = append(history, fmt.Sprintf("%v: %s, then disks of %v", f.now, change, erased))
				f.losePower(erased, time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause_ms"))*time.Millisecond)
				f.checkNothingLost()
			}
			if f.violation != "" {
				t.Fatalf("%s\nlosses:\n%s", f.violation, strings.Join(history, "\n"))
			}
		}
	})
}
