package control

import (
	"bytes"
	"time"
)

// batchSizes are numbers of changes that are proposed together.
var batchSizes = []int{1, 16, 256}

// payloadSizes are bytes of one logged change.
var payloadSizes = []int{100, 1000, 10_000}

const (
	loggedBatches = 40
	idleTime      = 60 * time.Second
	batchedBytes  = 150
)

func measureLog(o Options) ([]Row, error) {
	rows, err := changeBytes()
	if err != nil {
		return nil, err
	}
	t, err := newTrio()
	if err != nil {
		return nil, err
	}
	defer t.close()
	for _, part := range []func(*trio, Options) ([]Row, error){idleRows, payloadRows, batchRows} {
		more, err := part(t, o)
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
	}
	return rows, nil
}

// idleRows measures what a log sends when nothing happens.
func idleRows(t *trio, _ Options) ([]Row, error) {
	t.resetCounts()
	syncs := t.syncs(t.leader)
	for end := t.now + idleTime; t.now < end; {
		if err := t.tick(); err != nil {
			return nil, err
		}
	}
	followers := float64(replicas - 1)
	perSecond := func(v float64) []Point { return []Point{{Value: v / idleTime.Seconds()}} }
	return []Row{
		{Quantity: "idle log: leader to one replica", Unit: "B/s", Points: perSecond(float64(t.leaderBytes) / followers)},
		{Quantity: "idle log: one replica to leader", Unit: "B/s", Points: perSecond(float64(t.followerBytes) / followers)},
		{Quantity: "idle log: frames of all three hosts", Unit: "1/s", Points: perSecond(float64(t.frames))},
		{Quantity: "idle log: syncs of the leader", Unit: "1/s", Points: perSecond(float64(t.syncs(t.leader) - syncs))},
	}, nil
}

// payloadRows measures replication of single changes against their size.
func payloadRows(t *trio, o Options) ([]Row, error) {
	var leader, follower []Point
	for _, size := range payloadSizes {
		sent, received, _, err := t.proposeBatches(o.repeats(loggedBatches), 1, size)
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

// batchRows measures syncs and bytes per change against the size of a batch.
func batchRows(t *trio, o Options) ([]Row, error) {
	var leaderSyncs, followerSyncs, sent, times []Point
	for _, batch := range batchSizes {
		leader, follower, start := t.syncs(t.leader), t.syncs(t.follower()), time.Now()
		bytes, _, changes, err := t.proposeBatches(o.repeats(loggedBatches), batch, batchedBytes)
		if err != nil {
			return nil, err
		}
		size := float64(batch)
		times = append(times, Point{size, float64(time.Since(start).Microseconds()) / float64(changes)})
		leaderSyncs = append(leaderSyncs, Point{size, float64(t.syncs(t.leader)-leader) / float64(changes)})
		followerSyncs = append(followerSyncs, Point{size, float64(t.syncs(t.follower())-follower) / float64(changes)})
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

// proposeBatches logs changes and returns the bytes per change between the
// leader and one replica. Heartbeats are left out because no time passes.
func (t *trio) proposeBatches(count, batch, size int) (sent, received float64, changes int, err error) {
	t.resetCounts()
	command := bytes.Repeat([]byte{1}, size)
	for range count {
		commands := make([][]byte, batch)
		for i := range commands {
			commands[i] = command
		}
		_, out, err := t.members[t.leader].ProposeBatch(t.now, commands)
		if err != nil {
			return 0, 0, 0, err
		}
		if err := t.deliver(t.leader, out); err != nil {
			return 0, 0, 0, err
		}
	}
	changes = count * batch
	if t.applied < changes {
		return 0, 0, 0, StateError("a proposed change was not committed")
	}
	shared := float64(changes * (replicas - 1))
	return float64(t.leaderBytes) / shared, float64(t.followerBytes) / shared, changes, nil
}
