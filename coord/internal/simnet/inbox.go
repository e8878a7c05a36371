package simnet

// Inbox simulates the socket buffers of a host whose process is paused: it
// stores the messages that arrive during the pause. A process cannot detect its
// own pause. When it resumes, it processes messages that arrived long before.
type Inbox[M any] struct {
	paused   bool
	buffered []M
}

// Pause pauses the process.
func (b *Inbox[M]) Pause() { b.paused = true }

// Paused reports whether the process is paused.
func (b *Inbox[M]) Paused() bool { return b.paused }

// BufferIfPaused stores a message if the process is paused, and reports whether
// it did.
func (b *Inbox[M]) BufferIfPaused(m M) bool {
	if b.paused {
		b.buffered = append(b.buffered, m)
	}
	return b.paused
}

// Resume ends the pause and returns the messages that arrived during it.
func (b *Inbox[M]) Resume() []M {
	buffered := b.buffered
	*b = Inbox[M]{}
	return buffered
}
