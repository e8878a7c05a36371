package transport

import "strconv"

// FrameError reports a frame that cannot be encoded or decoded. Size is the
// payload length in bytes where it is known.
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

// HandshakeError reports that this host or the peer refused the connection
// during the handshake.
type HandshakeError struct {
	Peer   string
	Reason string
}

// Error implements error.
func (e *HandshakeError) Error() string {
	return "handshake with " + e.Peer + " failed: " + e.Reason
}

// NotSentError reports a message or call that the peer certainly did not
// process: it was not written, or the peer refused it without running it.
type NotSentError struct {
	Peer   string
	Reason string
}

// Error implements error.
func (e *NotSentError) Error() string {
	return "not sent to " + e.Peer + ": " + e.Reason
}

// LostReplyError reports a call that was written but not answered, so that it
// may have run on the peer.
type LostReplyError struct {
	Peer   string
	Reason string
}

// Error implements error.
func (e *LostReplyError) Error() string {
	return "no reply from " + e.Peer + ": " + e.Reason
}

// RemoteError is a failure returned by the called host.
type RemoteError struct {
	Peer   string
	Code   string
	Detail string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return "call to " + e.Peer + " failed: " + e.Code + ": " + e.Detail
}

// ListenError reports that listening on an address failed.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Cause }
