package domain

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/coord/dedup"
	"cranberrydrum.dev/scheduler/jobs"
	"cranberrydrum.dev/scheduler/structs"
)

// State is the replicated state of one failure domain. It implements the state
// machine interface of a replica.
type State struct {
	jobs  *jobs.State
	keys  *dedup.Table
	clock time.Duration
	// takeOverTerm is the highest term whose leader has taken over the keys of its
	// predecessors.
	takeOverTerm uint64
	policy       keyPolicy
}

// Bounds of request keys in addition to those of the key policy.
const (
	// maxKeyBytes bounds the memory of the keys well below the 64 MB that a host
	// has for the control plane.
	maxKeyBytes = 24 << 20
	// maxResponseBytes bounds a recorded response. A larger one is dropped instead of
	// truncated.
	maxResponseBytes = 64 << 10
	// compactRecordsPerKey is the number of compact records kept for each full
	// record.
	compactRecordsPerKey = 3
	// expiredRetention is the time during which a key is refused after its
	// record has expired.
	expiredRetention = 7 * 24 * time.Hour
)

// New returns an empty state. It refuses all request keys until a key policy is
// installed.
func New() *State {
	return &State{jobs: jobs.New(), keys: dedup.New(dedupConfig(keyPolicy{}))}
}

func dedupConfig(p keyPolicy) dedup.Config {
	return dedup.Config{
		MaxKeys:          p.MaxKeys,
		MaxRecords:       p.MaxKeys * (1 + compactRecordsPerKey),
		MaxBytes:         maxKeyBytes,
		MaxResponseBytes: maxResponseBytes,
		Retention:        p.Retention,
		ExpiredRetention: expiredRetention,
	}
}

// KeyPolicyVersion returns the configuration version of the key policy in force.
func (s *State) KeyPolicyVersion() uint64 { return s.policy.Version }

// Jobs returns the job state. Callers must not modify it.
func (s *State) Jobs() *jobs.State { return s.jobs }

// Keys returns the table of request keys. Callers must not modify it.
func (s *State) Keys() *dedup.Table { return s.keys }

// TakeOverTerm returns the highest term whose leader has taken over the keys of its
// predecessors.
func (s *State) TakeOverTerm() uint64 { return s.takeOverTerm }

// Clock returns the domain clock: the accumulated time during which some leader
// logged commands. It never goes back and does not depend on the clock of a
// single host.
func (s *State) Clock() time.Duration { return max(s.clock, s.jobs.Clock()) }

// Apply executes one committed log entry and returns its encoded result. Keys are
// recorded under the term of the log entry, which the proposer cannot choose.
func (s *State) Apply(index, term uint64, command []byte) []byte {
	var e envelope
	if err := codec.Unmarshal(command, &e); err != nil {
		return encodeJobResult(invalidCommand(err))
	}
	s.clock = max(s.clock, e.Clock)
	switch e.Kind {
	case KindJobs:
		return s.applyJobs(index, e.Body)
	case KindKeyBegin:
		return s.applyBegin(term, e.Body)
	case KindKeyFinish:
		return s.applyFinish(e.Body)
	case KindTakeOver:
		s.keys.MarkUnknown(s.Clock(), term)
		s.takeOverTerm = max(s.takeOverTerm, term)
	case KindKeyExpire:
		s.keys.Expire(s.Clock())
	case KindKeyPolicy:
		s.applyPolicy(e.Body)
	}
	return nil
}

// applyPolicy installs the key policy of a later configuration version.
func (s *State) applyPolicy(body []byte) {
	var p keyPolicy
	if err := codec.Unmarshal(body, &p); err != nil || p.Version <= s.policy.Version {
		return
	}
	s.policy = p
	s.keys.SetConfig(dedupConfig(p))
}

func (s *State) applyJobs(index uint64, body []byte) []byte {
	command, err := jobs.DecodeCommand(body)
	if err != nil {
		return encodeJobResult(invalidCommand(err))
	}
	return encodeJobResult(s.jobs.Apply(index, command))
}

func (s *State) applyBegin(term uint64, body []byte) []byte {
	var r dedup.Request
	if err := codec.Unmarshal(body, &r); err != nil {
		return nil
	}
	r.Term = term
	return encodeResult(s.keys.Begin(s.Clock(), r))
}

func (s *State) applyFinish(body []byte) []byte {
	var f keyFinish
	if err := codec.Unmarshal(body, &f); err != nil {
		return nil
	}
	return encodeResult(s.keys.Finish(s.Clock(), f.Key, f.Token, f.Outcome))
}

func invalidCommand(err error) jobs.Result {
	return jobs.Result{Refusal: structs.RefuseNotRun(structs.CodeInvalid, err.Error())}
}

func encodeJobResult(r jobs.Result) []byte {
	data, err := jobs.EncodeResult(r)
	if err != nil {
		return nil
	}
	return data
}

func encodeResult(value any) []byte {
	data, err := msgpack.Marshal(value)
	if err != nil {
		return nil
	}
	return data
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Clock        time.Duration `msgpack:"c"`
	TakeOverTerm uint64        `msgpack:"t"`
	Policy       keyPolicy     `msgpack:"p"`
	Jobs         []byte        `msgpack:"j"`
	Keys         []byte        `msgpack:"k"`
	// Use is nil if there was no order about the failure domain. The snapshot is then
	// the same as that of a version without evacuations.
	Use *jobs.DomainUse `msgpack:"u,omitempty"`
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	jobData, err := s.jobs.Snapshot()
	if err != nil {
		return nil, err
	}
	keyData, err := s.keys.Snapshot()
	if err != nil {
		return nil, err
	}
	snap := snapshot{Clock: s.clock, TakeOverTerm: s.takeOverTerm, Policy: s.policy, Jobs: jobData, Keys: keyData}
	if use := s.jobs.Use(); use != (jobs.DomainUse{}) {
		snap.Use = &use
	}
	data, err := msgpack.Marshal(&snap)
	if err != nil {
		return nil, &CodecError{What: "snapshot", Cause: err}
	}
	return data, nil
}

// Restore replaces the state with a snapshot. On an error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := codec.Unmarshal(data, &snap); err != nil {
		return &CodecError{What: "snapshot", Cause: err}
	}
	keys := dedup.New(dedupConfig(snap.Policy))
	if err := keys.Restore(snap.Keys); err != nil {
		return err
	}
	if err := s.jobs.Restore(snap.Jobs); err != nil {
		return err
	}
	if snap.Use != nil {
		s.jobs.RestoreUse(*snap.Use)
	}
	s.keys = keys
	s.policy = snap.Policy
	s.clock = snap.Clock
	s.takeOverTerm = snap.TakeOverTerm
	return nil
}
