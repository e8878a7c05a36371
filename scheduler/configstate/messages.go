package configstate

import (
	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
	"github.com/vmihailenco/msgpack/v5"
)

// Command requests the replacement of the configuration of BaseVersion by Text.
type Command struct {
	BaseVersion uint64 `msgpack:"base"`
	Text        []byte `msgpack:"text"`
	// Author is the person who applies the change.
	Author string `msgpack:"author"`
	// RequestID is the same in each resend of a change.
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
	// Added, Removed and Changed count rules relative to the previous version.
	Added   int `json:"added" msgpack:"added"`
	Removed int `json:"removed" msgpack:"removed"`
	Changed int `json:"changed" msgpack:"changed"`
	// Comments counts the rules in Changed whose comment differs.
	Comments int `json:"comments" msgpack:"comments"`
}

// maxEncodedBytes returns an upper bound of the encoded size of the entry.
func (e Entry) maxEncodedBytes() int {
	return entryOverheadBytes + len(e.Author) + len(e.RequestID)
}

// Winner is the accepted version that conflicts with a refused change.
type Winner struct {
	Version uint64 `json:"version" msgpack:"version"`
	Digest  string `json:"digest" msgpack:"digest"`
	Author  string `json:"author" msgpack:"author"`
}

// Result is the result of a command: either Version and Digest, or Refusal.
type Result struct {
	Version uint64           `msgpack:"version"`
	Digest  string           `msgpack:"digest"`
	Refusal *structs.Refusal `msgpack:"refusal"`
	// Winner is set with CodeVersionConflict if any version was accepted before.
	Winner *Winner `msgpack:"winner"`
	// Errors are the errors in the text, set if the text was refused.
	Errors []*rules.Error `msgpack:"errors"`
}

// EncodeCommand encodes a command for a proposal to the log.
func EncodeCommand(c Command) ([]byte, error) {
	data, err := msgpack.Marshal(&c)
	if err != nil {
		return nil, &CodecError{Subject: "command", Cause: err}
	}
	return data, nil
}

// DecodeResult decodes a result of Apply.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := codec.Unmarshal(data, &r); err != nil {
		return Result{}, &CodecError{Subject: "result", Cause: err}
	}
	return r, nil
}

// encodeResult encodes a result. Encoding cannot fail, because all fields are
// plain data; DecodeResult would reject an empty result.
func encodeResult(r Result) []byte {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil
	}
	return data
}
