package control

import (
	"os"
	"path/filepath"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/replica"
	"cranberrydrum.dev/daemon/storage"
	"cranberrydrum.dev/scheduler/domain"
)

// Settings of the replicated logs as in the daemon.
const (
	electionTimeout = time.Second
	raftHeartbeat   = 150 * time.Millisecond
	clockError      = 50 * time.Millisecond
	groupTick       = 20 * time.Millisecond
	maxBatchBytes   = 256 << 10
	replicaCount    = 3
	snapshotEntries = 4096
	keepEntries     = 1024
	// frameOverhead is the number of bytes that transport adds to a message below
	// 64 KiB: the length, the map, its two keys, the kind and the length of the body.
	frameOverhead = 4 + 1 + 2 + 1 + 2 + 3
)

// replicaGroup is a replicated log on three hosts with real storage. Messages are
// encoded and counted but not sent over sockets.
type replicaGroup struct {
	dir     string
	disks   map[string]*storage.Disk
	members map[string]*replica.Replica
	names   []string
	now     time.Duration
	leader  string
	// leaderBytes, followerBytes and frames count the messages sent by the leader and
	// the followers.
	leaderBytes, followerBytes int64
	frames                     int64
	applied                    int
}

// hostName returns a host name like those of the example deployments.
func hostName(i int) string { return measuredDomain + "-" + string(rune('1'+i)) }

func newReplicaGroup() (*replicaGroup, error) {
	dir, err := os.MkdirTemp("", "cranberrydrum-bench-")
	if err != nil {
		return nil, &SetupError{Step: "temporary directory", Cause: err}
	}
	g := &replicaGroup{dir: dir, disks: map[string]*storage.Disk{}, members: map[string]*replica.Replica{}}
	for i := range replicaCount {
		g.names = append(g.names, hostName(i))
	}
	for _, name := range g.names {
		if err := g.open(name); err != nil {
			g.close()
			return nil, err
		}
	}
	return g, g.elect()
}

// open opens the storage and the replica of a host.
func (g *replicaGroup) open(name string) error {
	disk, err := storage.Open(filepath.Join(g.dir, name), storage.Options{StoreID: name, SkipCommitOnlySaves: true})
	if err != nil {
		return err
	}
	g.disks[name] = disk
	g.members[name], err = replica.Open(replicaConfig(name, raft.Membership{Voters: g.names}), disk, domain.New())
	return err
}

func replicaConfig(name string, bootstrap raft.Membership) replica.Config {
	return replica.Config{
		Raft: raft.Config{
			ID:                name,
			Group:             "domain/" + measuredDomain,
			ElectionTimeout:   electionTimeout,
			HeartbeatInterval: raftHeartbeat,
			ClockError:        clockError,
			MaxBatchBytes:     maxBatchBytes,
			Seed:              1,
		},
		Bootstrap:       bootstrap,
		SnapshotEntries: snapshotEntries,
		KeepEntries:     keepEntries,
	}
}

// elect advances the time until there is a leader whose state is current.
func (g *replicaGroup) elect() error {
	const leaderTimeout = 10 * time.Second
	for g.now < leaderTimeout {
		if err := g.tick(); err != nil {
			return err
		}
		for _, name := range g.names {
			if _, ok := g.members[name].LeaseReadIndex(g.now); ok {
				g.leader = name
				return nil
			}
		}
	}
	return StateError("no leader was elected within the leader timeout")
}

// tick advances the simulated time of all members by groupTick.
func (g *replicaGroup) tick() error {
	g.now += groupTick
	for _, name := range g.names {
		out, err := g.members[name].Tick(g.now)
		if err != nil {
			return err
		}
		if err := g.deliver(name, out); err != nil {
			return err
		}
	}
	return nil
}

// deliver delivers the messages of an output and, recursively, the resulting messages.
// It counts the changes that the leader applies.
func (g *replicaGroup) deliver(from string, out replica.Output) error {
	if from == g.leader {
		g.applied += len(out.Applied)
	}
	for _, m := range out.Messages {
		decoded, err := g.transmit(from, m)
		if err != nil {
			return err
		}
		reply, err := g.members[m.To].Receive(g.now, decoded)
		if err != nil {
			return err
		}
		if err := g.deliver(m.To, reply); err != nil {
			return err
		}
	}
	return nil
}

// transmit counts a message, and encodes and decodes it as on the wire.
func (g *replicaGroup) transmit(from string, m raft.Message) (raft.Message, error) {
	data, err := msgpack.Marshal(&m)
	if err != nil {
		return m, &SetupError{Step: "raft message", Cause: err}
	}
	size := int64(len(data) + frameOverhead)
	g.frames++
	if from == g.leader {
		g.leaderBytes += size
	} else {
		g.followerBytes += size
	}
	var decoded raft.Message
	if err := codec.Unmarshal(data, &decoded); err != nil {
		return m, &SetupError{Step: "raft message", Cause: err}
	}
	return decoded, nil
}

// resetCounts resets the counts of bytes, frames and applied changes.
func (g *replicaGroup) resetCounts() {
	g.leaderBytes, g.followerBytes, g.frames, g.applied = 0, 0, 0, 0
}

// syncs returns the number of syncs of files and directories of a host.
func (g *replicaGroup) syncs(name string) int64 {
	stats := g.disks[name].Stats()
	return stats.FileSyncs + stats.DirSyncs
}

// follower returns a host that is not the leader.
func (g *replicaGroup) follower() string {
	for _, name := range g.names {
		if name != g.leader {
			return name
		}
	}
	return ""
}

func (g *replicaGroup) close() {
	for _, m := range g.members {
		if m != nil {
			_ = m.Close()
		}
	}
	_ = os.RemoveAll(g.dir)
}
