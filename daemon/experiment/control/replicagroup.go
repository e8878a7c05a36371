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
	t := &replicaGroup{dir: dir, disks: map[string]*storage.Disk{}, members: map[string]*replica.Replica{}}
	for i := range replicaCount {
		t.names = append(t.names, hostName(i))
	}
	for _, name := range t.names {
		if err := t.open(name); err != nil {
			t.close()
			return nil, err
		}
	}
	return t, t.elect()
}

// open opens the storage and the replica of a host.
func (t *replicaGroup) open(name string) error {
	disk, err := storage.Open(filepath.Join(t.dir, name), storage.Options{StoreID: name, SkipCommitOnlySaves: true})
	if err != nil {
		return err
	}
	t.disks[name] = disk
	t.members[name], err = replica.Open(replicaConfig(name, raft.Membership{Voters: t.names}), disk, domain.New())
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
func (t *replicaGroup) elect() error {
	const leaderTimeout = 10 * time.Second
	for t.now < leaderTimeout {
		if err := t.tick(); err != nil {
			return err
		}
		for _, name := range t.names {
			if _, ok := t.members[name].LeaseReadIndex(t.now); ok {
				t.leader = name
				return nil
			}
		}
	}
	return StateError("no leader was elected")
}

// tick advances the simulated time of all members by groupTick.
func (t *replicaGroup) tick() error {
	t.now += groupTick
	for _, name := range t.names {
		out, err := t.members[name].Tick(t.now)
		if err != nil {
			return err
		}
		if err := t.deliver(name, out); err != nil {
			return err
		}
	}
	return nil
}

// deliver delivers the messages of an output and, recursively, the resulting messages.
// It counts the changes that the leader applies.
func (t *replicaGroup) deliver(from string, out replica.Output) error {
	if from == t.leader {
		t.applied += len(out.Applied)
	}
	for _, m := range out.Messages {
		decoded, err := t.transmit(from, m)
		if err != nil {
			return err
		}
		reply, err := t.members[m.To].Receive(t.now, decoded)
		if err != nil {
			return err
		}
		if err := t.deliver(m.To, reply); err != nil {
			return err
		}
	}
	return nil
}

// transmit counts a message, and encodes and decodes it as on the wire.
func (t *replicaGroup) transmit(from string, m raft.Message) (raft.Message, error) {
	data, err := msgpack.Marshal(&m)
	if err != nil {
		return m, &SetupError{Step: "raft message", Cause: err}
	}
	size := int64(len(data) + frameOverhead)
	t.frames++
	if from == t.leader {
		t.leaderBytes += size
	} else {
		t.followerBytes += size
	}
	var decoded raft.Message
	if err := codec.Unmarshal(data, &decoded); err != nil {
		return m, &SetupError{Step: "raft message", Cause: err}
	}
	return decoded, nil
}

// resetCounts resets the counts of bytes, frames and applied changes.
func (t *replicaGroup) resetCounts() {
	t.leaderBytes, t.followerBytes, t.frames, t.applied = 0, 0, 0, 0
}

// syncs returns the number of syncs of files and folders of a host.
func (t *replicaGroup) syncs(name string) int64 {
	stats := t.disks[name].Stats()
	return stats.FileSyncs + stats.DirSyncs
}

// follower returns a host that is not the leader.
func (t *replicaGroup) follower() string {
	for _, name := range t.names {
		if name != t.leader {
			return name
		}
	}
	return ""
}

func (t *replicaGroup) close() {
	for _, m := range t.members {
		if m != nil {
			_ = m.Close()
		}
	}
	_ = os.RemoveAll(t.dir)
}
