package configstate

import (
	"slices"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/scheduler/rules"
	"github.com/vmihailenco/msgpack/v5"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

type snapshot struct {
	Format   int      `msgpack:"format"`
	Version  uint64   `msgpack:"version"`
	Digest   string   `msgpack:"digest"`
	Author   string   `msgpack:"author"`
	Text     []byte   `msgpack:"text"`
	KeyHomes []string `msgpack:"key_homes"`
	History  []Entry  `msgpack:"history"`
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) {
	data, err := msgpack.Marshal(&snapshot{
		Format:   snapshotFormat,
		Version:  s.version,
		Digest:   s.digest,
		Author:   s.author,
		Text:     s.text,
		KeyHomes: s.keyHomes,
		History:  s.history,
	})
	if err != nil {
		return nil, &CodecError{Subject: "snapshot", Cause: err}
	}
	return data, nil
}

// Restore replaces the state by a snapshot. On error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := codec.Unmarshal(data, &snap); err != nil {
		return &CodecError{Subject: "snapshot", Cause: err}
	}
	if reason := snap.inconsistency(); reason != "" {
		return &SnapshotError{Version: snap.Version, Reason: reason}
	}
	restored := State{
		checks:   s.checks,
		version:  snap.Version,
		digest:   snap.Digest,
		author:   snap.Author,
		text:     snap.Text,
		keyHomes: snap.KeyHomes,
		history:  snap.History,
	}
	for _, e := range snap.History {
		restored.historyBytes += e.maxEncodedBytes()
	}
	if snap.Version > 0 {
		cfg, errs := rules.Load(FileName, snap.Text)
		if len(errs) > 0 {
			return &SnapshotError{Version: snap.Version, Reason: errs[0].Error()}
		}
		restored.cfg = cfg
	}
	*s = restored
	return nil
}

// inconsistency returns a description of the first inconsistency in the
// snapshot, or "".
func (snap *snapshot) inconsistency() string {
	if snap.Format != snapshotFormat {
		return "unsupported format"
	}
	if snap.Version == 0 {
		if len(snap.History) > 0 || len(snap.Text) > 0 {
			return "history or text without a version"
		}
		return ""
	}
	if rules.Digest(snap.Text) != snap.Digest {
		return "the text does not match its digest"
	}
	if len(snap.History) == 0 || len(snap.History) > MaxHistory {
		return "the length of the history is out of range"
	}
	next := snap.Version + 1 - uint64(len(snap.History))
	consecutive := func(e Entry) bool {
		ok := e.Version == next
		next++
		return ok
	}
	if i := slices.IndexFunc(snap.History, func(e Entry) bool { return !consecutive(e) }); i >= 0 {
		return "the versions of the history are not consecutive"
	}
	return ""
}
