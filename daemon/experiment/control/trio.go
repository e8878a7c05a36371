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

// Times of the replicated logs as the daemon sets them.
const (
	electionTimeout = time.Second
	raftHeartbeat   = 150 * time.Millisecond
	clockError      = 50 * time.Millisecond
	groupTick       = 20 * time.Millisecond
	raftBatch       = 256 << 10
	replicas        = 3
	snapshotEntries = 4096
	keepEntries     = 1024
	// frameOverhead is the length, the map, its two keys, the kind and the
	// length of the body that transport adds to a message below 64 KiB.
	frameOverhead = 4 + 1 + 2 + 1 + 2 + 3
)

// trio is a replicated log of three hosts with real storage, whose messages
// are encoded and counted but not sent over sockets.
type trio struct {
	folder  string
	disks   map[string]*storage.Disk
	members map[string]*replica.Replica
	names   []string
	now     time.Duration
	leader  string
	// bytes and frames count what the leader and the followers send.
	leaderBytes, followerBytes int64
	frames                     int64
	applied                    int
}

// hostName names hosts as the example deployments do.
func hostName(i int) string { return measuredDomain + "-" + string(rune('1'+i)) }

func newTrio() (*trio, error) {
	folder, err := os.MkdirTemp("", "cranberrydrum-bench-")
	if err != nil {
		return nil, &SetupError{What: "temporary folder", Cause: err}
	}
	t := &trio{folder: folder, disks: map[string]*storage.Disk{}, members: map[string]*replica.Replica{}}
	for i := range replicas {
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

func (t *trio) open(name string) error {
	disk, err := storage.Open(filepath.Join(t.folder, name), storage.Options{StoreID: name, LazyCommit: true})
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
			MaxBatchBytes:     raftBatch,
			Seed:              1,
		},
		Bootstrap:       bootstrap,
		SnapshotEntries: snapshotEntries,
		KeepEntries:     keepEntries,
	}
}

// elect runs the log until it has a leader that may act.
func (t *trio) elect() error {
	const patience = 10 * time.Second
	for t.now < patience {
		if err := t.tick(); err != nil {
			return err
		}
		for _, name := range t.names {
			if _, ok := t.members[name].Barrier(t.now); ok {
				t.leader = name
				return nil
			}
		}
	}
	return StateError("no leader was elected")
}

// tick advances the time of all members.
func (t *trio) tick() error {
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

// deliver sends the messages of an output, and those that they cause.
func (t *trio) deliver(from string, out replica.Output) error {
	if from == t.leader {
		t.applied += len(out.Applied)
	}
	for _, m := range out.Messages {
		decoded, err := t.transmit(from, m)
		if err != nil {
			return err
		}
		answer, err := t.members[m.To].Receive(t.now, decoded)
		if err != nil {
			return err
		}
		if err := t.deliver(m.To, answer); err != nil {
			return err
		}
	}
	return nil
}

// transmit counts a message and passes it through its encoding.
func (t *trio) transmit(from string, m raft.Message) (raft.Message, error) {
	data, err := msgpack.Marshal(&m)
	if err != nil {
		return m, &SetupError{What: "raft message", Cause: err}
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
		return m, &SetupError{What: "raft message", Cause: err}
	}
	return decoded, nil
}

// resetCounts starts a new count of bytes.
func (t *trio) resetCounts() {
	t.leaderBytes, t.followerBytes, t.frames, t.applied = 0, 0, 0, 0
}

// syncs returns the syncs of all files and folders of a host.
func (t *trio) syncs(name string) int64 {
	stats := t.disks[name].Stats()
	return stats.FileSyncs + stats.DirSyncs
}

// follower returns a host that does not lead.
func (t *trio) follower() string {
	for _, name := range t.names {
		if name != t.leader {
			return name
		}
	}
	return ""
}

func (t *trio) close() {
	for _, m := range t.members {
		if m != nil {
			_ = m.Close()
		}
	}
	_ = os.RemoveAll(t.folder)
}
