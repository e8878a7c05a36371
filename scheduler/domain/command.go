package domain

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/coord/dedup"
	"cranberrydrum.dev/scheduler/jobs"
	"cranberrydrum.dev/scheduler/structs"
)

// Kind is the type of a command in the log. The values are part of the log
// format and must not change.
type Kind uint8

// Command kinds.
const (
	KindJobs      Kind = 1
	KindKeyBegin  Kind = 2
	KindKeyFinish Kind = 3
	KindTakeOver  Kind = 4
	KindKeyExpire Kind = 5
	KindKeyPolicy Kind = 6
)

// envelope is one log entry. Clock is the leader's domain clock when it proposed
// the entry.
type envelope struct {
	Kind  Kind          `msgpack:"k"`
	Clock time.Duration `msgpack:"c,omitempty"`
	Body  []byte        `msgpack:"b"`
}

// keyFinish records the outcome of a run of the request with a request key. Token
// identifies the run, as in the entry that began it.
type keyFinish struct {
	Key     string        `msgpack:"k"`
	Token   string        `msgpack:"n"`
	Outcome dedup.Outcome `msgpack:"o"`
}

// keyPolicy sets the retention and the maximum number of request keys. Version is
// the version of the configuration that it comes from.
type keyPolicy struct {
	Version   uint64        `msgpack:"v"`
	Retention time.Duration `msgpack:"r"`
	MaxKeys   int           `msgpack:"m"`
}

// EncodeKeyPolicy returns the log entry that installs the key policy of a
// configuration version.
func EncodeKeyPolicy(clock time.Duration, version uint64, p structs.KeyPolicy) ([]byte, error) {
	return encodeBody(KindKeyPolicy, clock, &keyPolicy{Version: version, Retention: p.Retention, MaxKeys: p.MaxKeys})
}

// EncodeJobs returns the log entry of a job command.
func EncodeJobs(c jobs.Command) ([]byte, error) {
	body, err := jobs.EncodeCommand(c)
	if err != nil {
		return nil, err
	}
	return encodeEnvelope(envelope{Kind: KindJobs, Body: body})
}

// EncodeBegin returns the log entry that records a key before its request is sent
// to an executor.
func EncodeBegin(clock time.Duration, r dedup.Request) ([]byte, error) {
	return encodeBody(KindKeyBegin, clock, &r)
}

// EncodeFinish returns the log entry that records the outcome of the run of a
// key that began with the token.
func EncodeFinish(clock time.Duration, key, token string, o dedup.Outcome) ([]byte, error) {
	return encodeBody(KindKeyFinish, clock, &keyFinish{Key: key, Token: token, Outcome: o})
}

// EncodeTakeOver returns the log entry with which a new leader takes over the keys
// of its predecessors: the outcome of keys that are recorded as being sent becomes
// unknown.
func EncodeTakeOver(clock time.Duration) ([]byte, error) {
	return encodeEnvelope(envelope{Kind: KindTakeOver, Clock: clock})
}

// EncodeExpire returns the log entry that removes expired keys.
func EncodeExpire(clock time.Duration) ([]byte, error) {
	return encodeEnvelope(envelope{Kind: KindKeyExpire, Clock: clock})
}

// DecodeDecision decodes the result of an EncodeBegin entry.
func DecodeDecision(result []byte) (dedup.Decision, error) {
	var d dedup.Decision
	if err := codec.Unmarshal(result, &d); err != nil {
		return d, &CodecError{What: "decision", Cause: err}
	}
	return d, nil
}

func encodeBody(kind Kind, clock time.Duration, value any) ([]byte, error) {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return nil, &CodecError{What: "command", Cause: err}
	}
	return encodeEnvelope(envelope{Kind: kind, Clock: clock, Body: body})
}

func encodeEnvelope(e envelope) ([]byte, error) {
	data, err := msgpack.Marshal(&e)
	if err != nil {
		return nil, &CodecError{What: "command", Cause: err}
	}
	return data, nil
}

// CodecError reports a command, result or snapshot that could not be encoded or
// decoded.
type CodecError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *CodecError) Error() string { return "invalid " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CodecError) Unwrap() error { return e.Cause }
