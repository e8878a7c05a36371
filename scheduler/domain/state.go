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
// machine of a replica.
type State struct {
	jobs  *jobs.State
	keys  *dedup.Table
	clock time.Duration
	// takenOver is the highest term whose leader has ended the keys of its
	// predecessors.
	takenOver uint64
	policy    keyPolicy
}

// Bounds of request keys beside those of the rules. A recorded answer above
// maxAnswerBytes is dropped as a whole.
const (
	// maxKeyBytes keeps the keys of a host well below its 64 MB for control.
	maxKeyBytes    = 24 << 20
	maxAnswerBytes = 64 << 10
	// compactPerKey is how many compact records are kept per full one.
	compactPerKey = 3
	// expiredRetention is how long a key is refused after its record expired.
	expiredRetention = 7 * 24 * time.Hour
)

// New returns an empty state. It refuses all request keys until a key policy
// is in force.
func New() *State {
	return &State{jobs: jobs.New(), keys: dedup.New(keyConfig(keyPolicy{}))}
}

func keyConfig(p keyPolicy) dedup.Config {
	return dedup.Config{
		MaxKeys:          p.MaxKeys,
		MaxRecords:       p.MaxKeys * (1 + compactPerKey),
		MaxBytes:         maxKeyBytes,
		MaxResponseBytes: maxAnswerBytes,
		Retention:        p.Retention,
		ExpiredRetention: expiredRetention,
	}
}

// KeyPolicyVersion returns the configuration version of the key policy in force.
func (s *State) KeyPolicyVersion() uint64 { return s.policy.Version }

// Jobs returns the job state. It must not be changed.
func (s *State) Jobs() *jobs.State { return s.jobs }

// Keys returns the request keys. They must not be changed.
func (s *State) Keys() *dedup.Table { return s.keys }

// TakenOver returns the highest term whose leader has ended the keys of its
// predecessors.
func (s *State) TakenOver() uint64 { return s.takenOver }

// Clock returns the domain clock: the time during which some leader logged
// commands. It never goes back and does not depend on the clock of one host.
func (s *State) Clock() time.Duration { return max(s.clock, s.jobs.Clock()) }

// Apply runs one command of the log. Keys are recorded under the term of the
// entry, which a proposer cannot choose.
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
		s.takenOver = max(s.takenOver, term)
	case KindKeyExpire:
		s.keys.Expire(s.Clock())
	case KindKeyPolicy:
		s.applyPolicy(e.Body)
	}
	return nil
}

// applyPolicy puts the key policy of a later configuration in force.
func (s *State) applyPolicy(body []byte) {
	var p keyPolicy
	if err := codec.Unmarshal(body, &p); err != nil || p.Version <= s.policy.Version {
		return
	}
	s.policy = p
	s.keys.SetConfig(keyConfig(p))
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
	return encodePlain(s.keys.Begin(s.Clock(), r))
}

func (s *State) applyFinish(body []byte) []byte {
	var f keyFinish
	if err := codec.Unmarshal(body, &f); err != nil {
		return nil
	}
	return encodePlain(s.keys.Finish(s.Clock(), f.Key, f.Token, f.Outcome))
}

func invalidCommand(err error) jobs.Result {
	return jobs.Result{Refusal: structs.NotRun(structs.CodeInvalid, err.Error())}
}

func encodeJobResult(r jobs.Result) []byte {
	data, err := jobs.EncodeResult(r)
	if err != nil {
		return nil
	}
	return data
}

func encodePlain(value any) []byte {
	data, err := msgpack.Marshal(value)
	if err != nil {
		return nil
	}
	return data
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Clock     time.Duration `msgpack:"c"`
	TakenOver uint64        `msgpack:"t"`
	Policy    keyPolicy     `msgpack:"p"`
	Jobs      []byte        `msgpack:"j"`
	Keys      []byte        `msgpack:"k"`
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
	data, err := msgpack.Marshal(&snapshot{Clock: s.clock, TakenOver: s.takenOver, Policy: s.policy, Jobs: jobData, Keys: keyData})
	if err != nil {
		return nil, &CodecError{What: "snapshot", Cause: err}
	}
	return data, nil
}

// Restore replaces the state by a snapshot.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := codec.Unmarshal(data, &snap); err != nil {
		return &CodecError{What: "snapshot", Cause: err}
	}
	if err := s.jobs.Restore(snap.Jobs); err != nil {
		return err
	}
	if err := s.keys.Restore(snap.Keys); err != nil {
		return err
	}
	s.keys.SetConfig(keyConfig(snap.Policy))
	s.policy = snap.Policy
	s.clock = snap.Clock
	s.takenOver = snap.TakenOver
	return nil
}
