package dedup

import (
	"time"

	"cranberrydrum.dev/coord/codec"
)

// Op selects the Table method that a command calls.
type Op uint8

// Operations of a Command.
const (
	OpBegin Op = iota + 1
	OpFinish
	OpMarkUnknown
	OpExpire
)

// Command is the content of a log entry.
type Command struct {
	Op Op
	// Now is the logical time.
	Now time.Duration
	// Key is used by OpBegin and OpFinish.
	Key string
	// Digest and Owner are used by OpBegin.
	Digest Digest
	Owner  string
	// Token is used by OpBegin and OpFinish.
	Token string
	// Outcome is used by OpFinish.
	Outcome Outcome
}

// Result is the result of applying a Command.
type Result struct {
	// Decision is set by OpBegin.
	Decision Decision
	// Finish is set by OpFinish.
	Finish FinishResult
	// Count is set by OpMarkUnknown and OpExpire.
	Count int
	// Malformed is true if the command could not be decoded or has an unknown
	// operation. Such a command has no effect.
	Malformed bool
}

// CommandError reports a command or result that cannot be encoded or decoded.
type CommandError struct {
	Err error
}

// Error implements error.
func (e *CommandError) Error() string {
	return "dedup: cannot encode or decode a command or result: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error { return e.Err }

// EncodeCommand returns the bytes to propose to the replicated log.
func EncodeCommand(c Command) ([]byte, error) { return encode(&c) }

// DecodeResult decodes a result of Machine.Apply.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := codec.Unmarshal(data, &r); err != nil {
		return Result{}, &CommandError{Err: err}
	}
	return r, nil
}

func encode(v any) ([]byte, error) {
	data, err := codec.MarshalCompact(v)
	if err != nil {
		return nil, &CommandError{Err: err}
	}
	return data, nil
}

// Machine applies encoded commands to a Table. OpBegin records the term of its
// log entry, and OpMarkUnknown applies to all terms before that of its log
// entry. The term of the entry is used because terms in the log never decrease
// and a proposer cannot choose them.
type Machine struct {
	Table *Table
}

// NewMachine returns a machine with an empty table.
func NewMachine(cfg Config) *Machine { return &Machine{Table: New(cfg)} }

// Apply applies a committed command under the term of its log entry and returns
// the encoded Result. The log index is not used.
func (m *Machine) Apply(_, term uint64, command []byte) []byte {
	var c Command
	r := Result{Malformed: true}
	if codec.Unmarshal(command, &c) == nil {
		r = m.apply(term, &c)
	}
	out, err := encode(&r)
	if err != nil {
		return nil
	}
	return out
}

func (m *Machine) apply(term uint64, c *Command) Result {
	switch c.Op {
	case OpBegin:
		request := Request{Key: c.Key, Digest: c.Digest, Owner: c.Owner, Term: term, Token: c.Token}
		return Result{Decision: m.Table.Begin(c.Now, request)}
	case OpFinish:
		return Result{Finish: m.Table.Finish(c.Now, c.Key, c.Token, c.Outcome)}
	case OpMarkUnknown:
		return Result{Count: m.Table.MarkUnknown(c.Now, term)}
	case OpExpire:
		return Result{Count: m.Table.Expire(c.Now)}
	}
	return Result{Malformed: true}
}

// Snapshot encodes the table.
func (m *Machine) Snapshot() ([]byte, error) { return m.Table.Snapshot() }

// Restore replaces the table.
func (m *Machine) Restore(data []byte) error { return m.Table.Restore(data) }
