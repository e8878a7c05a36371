package raft_test

import (
	"hash/crc32"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/raft"
)

// genMessage generates messages that are mostly valid or nearly valid. Rapid
// prefers small numbers and the first items of a list, so these are the valid
// values.
func genMessage() *rapid.Generator[raft.Message] {
	number := rapid.OneOf(rapid.Uint64Range(3, 12), rapid.Uint64Range(0, 9), rapid.Just(uint64(math.MaxUint64)))
	id := rapid.SampledFrom([]string{"b", "c", "d", "e", "a", "", strings.Repeat("x", 200)})
	content := rapid.SampledFrom([]string{"", "\x01e", "\x02d", "\x03a", "\x03c", "\x09z"})
	return rapid.Custom(func(t *rapid.T) raft.Message {
		m := raft.Message{
			Kind: raft.Kind(rapid.IntRange(1, 12).Draw(t, "kind")), Group: "g",
			From: id.Draw(t, "from"), To: "a", Term: number.Draw(t, "term"), Index: number.Draw(t, "index"),
			Commit: number.Draw(t, "commit"), Reject: rapid.Bool().Draw(t, "reject"),
			Hint: number.Draw(t, "hint"), HintTerm: number.Draw(t, "hint term"),
			Force: rapid.Bool().Draw(t, "force"),
			Sent:  time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "sent")),
		}
		m.LogTerm = min(m.Term, rapid.Uint64Range(2, 5).Draw(t, "log term"))
		switch m.Kind {
		case raft.KindAppend:
			for i := range rapid.Uint64Range(0, 3).Draw(t, "entries") {
				kind := raft.EntryKind(rapid.IntRange(1, 4).Draw(t, "entry kind"))
				e := raft.Entry{Index: m.Index + i + 1, Term: m.LogTerm, Kind: kind, Data: []byte(content.Draw(t, "data"))}
				m.Entries = append(m.Entries, e)
			}
		case raft.KindSnapshot:
			data := []byte(content.Draw(t, "data"))
			offset := rapid.SampledFrom([]uint64{0, 2, m.Hint}).Draw(t, "offset")
			total := offset + uint64(len(data)) + rapid.Uint64Range(0, 2).Draw(t, "rest")
			meta := raft.SnapshotMeta{Index: m.Index, Term: m.LogTerm, Membership: members}
			sum := crc32.Checksum(data, crc32.MakeTable(crc32.Castagnoli))
			m.Chunk = &raft.SnapshotChunk{Meta: meta, Offset: offset, Total: total, Checksum: sum, Data: data}
		}
		return m
	})
}

// TestStepNeverPanics guards against received messages that crash the process.
// For any message, Step returns no error or one of this package's types, the
// indexes of the node stay in order, and each sent message decodes to an equal
// one.
func TestStepNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode()
		now := time.Duration(0)
		if rapid.Bool().Draw(t, "leader") {
			n = newLeader()
			now = 2 * time.Second
		}
		commit := n.Status().Commit
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				err := n.Step(now, genMessage().Draw(t, "message"))
				if err != nil && reflect.TypeOf(err).Elem().PkgPath() != reflect.TypeFor[raft.Message]().PkgPath() {
					t.Fatalf("untyped error %v", err)
				}
			},
			"tick": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
				n.Tick(now)
			},
			"propose": func(t *rapid.T) { _, _, _ = n.Propose(now, []byte("z")) },
			"transfer": func(t *rapid.T) {
				_ = n.TransferLeadership(now, rapid.SampledFrom([]string{"b", "d", "x"}).Draw(t, "to"))
			},
			"hand over": func(*rapid.T) { _ = n.TransferToBestVoter(now) },
			"change": func(t *rapid.T) {
				op := raft.ChangeOp(rapid.IntRange(0, 4).Draw(t, "op"))
				id := rapid.SampledFrom([]string{"a", "b", "d", "e", ""}).Draw(t, "id")
				_, _, _ = n.ProposeChange(now, raft.MemberChange{Op: op, ID: id})
			},
			"": func(t *rapid.T) {
				for _, m := range drain(n) {
					checkEncoding(t, m)
				}
				s := n.Status()
				if s.Commit < commit || s.Applied != s.Commit || s.Commit > s.LastIndex || s.FirstIndex > s.Commit+1 {
					t.Fatalf("indexes out of order: %+v", s)
				}
				commit = s.Commit
			},
		})
	})
}

func checkEncoding(t *rapid.T, m raft.Message) {
	encoded, err := msgpack.Marshal(m)
	var decoded raft.Message
	decodeErr := msgpack.Unmarshal(encoded, &decoded)
	reencoded, _ := msgpack.Marshal(decoded)
	if err != nil || decodeErr != nil || string(reencoded) != string(encoded) {
		t.Fatalf("message %+v was decoded as %+v (encode error %v, decode error %v)", m, decoded, err, decodeErr)
	}
}
