package control

import (
	"bytes"
	"time"
)

// batchSizes are the numbers of changes proposed together.
var batchSizes = []int{1, 16, 256}

// payloadSizes are the sizes of one logged change in bytes.
var payloadSizes = []int{100, 1000, 10_000}

const (
	batchRepeats     = 40
	idleDuration     = 60 * time.Second
	batchChangeBytes = 150
)

func measureLog(o Options) ([]Row, error) {
	rows, err := changeBytes()
	if err != nil {
		return nil, err
	}
	g, err := newReplicaGroup()
	if err != nil {
		return nil, err
	}
	defer g.close()
	for _, part := range []func(*replicaGroup, Options) ([]Row, error){idleRows, payloadRows, batchRows} {
		more, err := part(g, o)
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
	}
	return rows, nil
}

// idleRows measures the traffic and syncs of an idle log.
func idleRows(g *replicaGroup, _ Options) ([]Row, error) {
	g.resetCounts()
	syncs := g.syncs(g.leader)
	for end := g.now + idleDuration; g.now < end; {
		if err := g.tick(); err != nil {
			return nil, err
		}
	}
	followers := float64(replicaCount - 1)
	perSecond := func(v float64) []Point { return []Point{{Value: v / idleDuration.Seconds()}} }
	return []Row{
		{Quantity: "idle log: leader to one replica", Unit: "B/s", Points: perSecond(float64(g.leaderBytes) / followers)},
		{Quantity: "idle log: one replica to leader", Unit: "B/s", Points: perSecond(float64(g.followerBytes) / followers)},
		{Quantity: "idle log: frames of all three hosts", Unit: "1/s", Points: perSecond(float64(g.frames))},
		{Quantity: "idle log: syncs of the leader", Unit: "1/s", Points: perSecond(float64(g.syncs(g.leader) - syncs))},
	}, nil
}

// payloadRows measures the replication of single changes against their size.
func payloadRows(g *replicaGroup, o Options) ([]Row, error) {
	var leader, follower []Point
	for _, size := range payloadSizes {
		sent, received, _, err := g.proposeBatches(o.repeats(batchRepeats), 1, size)
		if err != nil {
			return nil, err
		}
		leader = append(leader, Point{float64(size), sent})
		follower = append(follower, Point{float64(size), received})
	}
	against := "bytes of the change"
	return []Row{
		{Quantity: "replication of a change: leader to one replica", Unit: "B", Against: against, Points: leader},
		{Quantity: "replication of a change: one replica to leader", Unit: "B", Against: against, Points: follower},
	}, nil
}

// batchRows measures syncs, bytes and time per change against the size of a batch.
func batchRows(g *replicaGroup, o Options) ([]Row, error) {
	var leaderSyncs, followerSyncs, sent, times []Point
	for _, batch := range batchSizes {
		leader, follower, start := g.syncs(g.leader), g.syncs(g.follower()), time.Now()
		bytes, _, changes, err := g.proposeBatches(o.repeats(batchRepeats), batch, batchChangeBytes)
		if err != nil {
			return nil, err
		}
		size := float64(batch)
		times = append(times, Point{size, float64(time.Since(start).Microseconds()) / float64(changes)})
		leaderSyncs = append(leaderSyncs, Point{size, float64(g.syncs(g.leader)-leader) / float64(changes)})
		followerSyncs = append(followerSyncs, Point{size, float64(g.syncs(g.follower())-follower) / float64(changes)})
		sent = append(sent, Point{size, bytes})
	}
	against := "changes in a batch"
	return []Row{
		{Quantity: "syncs per change: leader", Unit: "1", Against: against, Points: leaderSyncs},
		{Quantity: "syncs per change: replica", Unit: "1", Against: against, Points: followerSyncs},
		{Quantity: "replication per change of 150 B: leader to one replica", Unit: "B", Against: against, Points: sent},
		{Quantity: "time per change on three replicas of one disk one after the other", Unit: "us", Against: against, Points: times},
	}, nil
}

// proposeBatches logs changes and returns the bytes per change from the leader to one
// follower and back. They include no heartbeats, because the simulated time does not
// advance.
func (g *replicaGroup) proposeBatches(count, batch, size int) (sent, received float64, changes int, err error) {
	g.resetCounts()
	command := bytes.Repeat([]byte{1}, size)
	for range count {
		commands := make([][]byte, batch)
		for i := range commands {
			commands[i] = command
		}
		_, out, err := g.members[g.leader].ProposeBatch(g.now, commands)
		if err != nil {
			return 0, 0, 0, err
		}
		if err := g.deliver(g.leader, out); err != nil {
			return 0, 0, 0, err
		}
	}
	changes = count * batch
	if g.applied < changes {
		return 0, 0, 0, StateError("a proposed change was not committed")
	}
	shared := float64(changes * (replicaCount - 1))
	return float64(g.leaderBytes) / shared, float64(g.followerBytes) / shared, changes, nil
}
