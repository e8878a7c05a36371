package transport

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/scheduler/structs"
)

// Codes of error replies. A reply without a code carries a result.
const (
	codeBusy    = "busy"
	codeRefused = "refused"
	codeFailed  = "failed"
)

// refusalBody is the wire form of structs.Refusal.
type refusalBody struct {
	Code         string `msgpack:"c"`
	Outcome      string `msgpack:"o"`
	Message      string `msgpack:"m"`
	RetryAfterMS int64  `msgpack:"r"`
}

func encodeRefusal(r *structs.Refusal) []byte {
	body, err := msgpack.Marshal(&refusalBody{
		Code:         string(r.Code),
		Outcome:      string(r.Outcome),
		Message:      r.Message,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	})
	if err != nil {
		return nil
	}
	return body
}

func decodeRefusal(body []byte) (*structs.Refusal, bool) {
	var r refusalBody
	if err := codec.Unmarshal(body, &r); err != nil {
		return nil, false
	}
	return &structs.Refusal{
		Code:       structs.Code(r.Code),
		Outcome:    structs.Outcome(r.Outcome),
		Message:    r.Message,
		RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
	}, true
}

// result is the outcome of one call.
type result struct {
	body []byte
	err  error
}

// replyResult converts a reply frame into the result of its call.
func replyResult(peer string, f *frame) result {
	switch f.Code {
	case "":
		return result{body: f.Body}
	case codeBusy:
		return result{err: &NotSentError{Peer: peer, Reason: "peer runs too many calls"}}
	case codeRefused:
		if refusal, ok := decodeRefusal(f.Body); ok {
			return result{err: refusal}
		}
	}
	return result{err: &RemoteError{Peer: peer, Code: f.Code, Detail: string(f.Body)}}
}

// Call runs a method on a peer and waits for the reply until the timeout. After
// a NotSentError the call has certainly not run on the peer and may be repeated
// elsewhere; after a LostReplyError it may have run.
func (t *Transport) Call(peer, method string, body []byte, timeout time.Duration) ([]byte, error) {
	out := t.outboundTo(peer)
	if out == nil {
		return nil, &NotSentError{Peer: peer, Reason: "unknown host"}
	}
	if timeout <= 0 {
		return nil, &NotSentError{Peer: peer, Reason: "no time left"}
	}
	return out.call(method, body, timeout)
}

// Send queues a one-way message. If the queue is full, the oldest queued raft
// messages are dropped, because raft retransmits them. If that does not free
// enough space, Send returns a NotSentError.
func (t *Transport) Send(peer string, kind Kind, body []byte) error {
	out := t.outboundTo(peer)
	if out == nil {
		return &NotSentError{Peer: peer, Reason: "unknown host"}
	}
	return out.send(&frame{Kind: kind, Body: body})
}
