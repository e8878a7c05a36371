package configstate

import (
	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
	"github.com/vmihailenco/msgpack/v5"
)

// Command asks to replace the configuration of BaseVersion by Text.
type Command struct {
	BaseVersion uint64 `msgpack:"base"`
	Text        []byte `msgpack:"text"`
	// Author is the person who applies the change.
	Author string `msgpack:"author"`
	// RequestID is the same in each resend of one change.
	RequestID string `msgpack:"request_id"`
}

// Entry describes one accepted version.
type Entry struct {
	Version   uint64 `json:"version" msgpack:"version"`
	Digest    string `json:"digest" msgpack:"digest"`
	Author    string `json:"author" msgpack:"author"`
	RequestID string `json:"request_id" msgpack:"request_id"`
	// Index is the position of the command in the log.
	Index uint64 `json:"index" msgpack:"index"`
	// Added, Removed and Changed count rules compared with the version before.
	Added   int `json:"added" msgpack:"added"`
	Removed int `json:"removed" msgpack:"removed"`
	Changed int `json:"changed" msgpack:"changed"`
	// Comments counts the changed rules whose comment differs.
	Comments int `json:"comments" msgpack:"comments"`
}

func (e Entry) bytes() int {
	return entryOverheadBytes + len(e.Author) + len(e.RequestID)
}

// Winner names the accepted version that a refused change lost against.
type Winner struct {
	Version uint64 `json:"version" msgpack:"version"`
	Digest  string `json:"digest" msgpack:"digest"`
	Author  string `json:"author" msgpack:"author"`
}

// Result answers a command: either Version and Digest, or Refusal.
type Result struct {
	Version uint64           `msgpack:"version"`
	Digest  string           `msgpack:"digest"`
	Refusal *structs.Refusal `msgpack:"refusal"`
	// Winner is set with CodeVersionConflict if the log has a version.
	Winner *Winner `msgpack:"winner"`
	// Errors are the faults in the text, with CodeRulesInvalid.
	Errors []*rules.Error `msgpack:"errors"`
}

// EncodeCommand returns the form in which a command is proposed to the log.
func EncodeCommand(c Command) ([]byte, error) {
	data, err := msgpack.Marshal(&c)
	if err != nil {
		return nil, &CodecError{Subject: "command", Cause: err}
	}
	return data, nil
}

// DecodeResult reads what Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := codec.Unmarshal(data, &r); err != nil {
		return Result{}, &CodecError{Subject: "result", Cause: err}
	}
	return r, nil
}

// encodeResult cannot fail for a Result, whose fields are all plain data; an
// empty answer would be refused by DecodeResult.
func encodeResult(r Result) []byte {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil
	}
	return data
}
