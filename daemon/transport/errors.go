package transport

import "strconv"

// FrameError reports bytes that are no valid frame.
type FrameError struct {
	Reason string
	Detail string
	Size   int
}

// Error implements error.
func (e *FrameError) Error() string {
	text := "invalid frame: " + e.Reason + " (" + strconv.Itoa(e.Size) + " bytes)"
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// HandshakeError reports a peer that was refused, or that refused this host.
type HandshakeError struct {
	Peer   string
	Reason string
}

// Error implements error.
func (e *HandshakeError) Error() string {
	return "handshake with " + e.Peer + " failed: " + e.Reason
}

// NotSentError reports a message or call of which no byte reached the peer.
type NotSentError struct {
	Peer   string
	Reason string
}

// Error implements error.
func (e *NotSentError) Error() string {
	return "not sent to " + e.Peer + ": " + e.Reason
}

// LostReplyError reports a call that may have been carried out.
type LostReplyError struct {
	Peer   string
	Reason string
}

// Error implements error.
func (e *LostReplyError) Error() string {
	return "no reply from " + e.Peer + ": " + e.Reason
}

// RemoteError is a failure that the called host answered with.
type RemoteError struct {
	Peer   string
	Code   string
	Detail string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return "call to " + e.Peer + " failed: " + e.Code + ": " + e.Detail
}

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
