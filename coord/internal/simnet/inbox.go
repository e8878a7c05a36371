package simnet

// Inbox holds the messages that arrive at a host while its process is paused,
// as the buffers of its sockets do. A paused process does not know that it is
// paused: when it resumes, it continues with what arrived long ago.
type Inbox[M any] struct {
	paused  bool
	waiting []M
}

// Pause stops the process.
func (b *Inbox[M]) Pause() { b.paused = true }

// Paused reports whether the process is paused.
func (b *Inbox[M]) Paused() bool { return b.paused }

// Hold keeps a message if the process is paused, and reports whether it did.
func (b *Inbox[M]) Hold(m M) bool {
	if b.paused {
		b.waiting = append(b.waiting, m)
	}
	return b.paused
}

// Resume lets the process continue and returns what arrived meanwhile.
func (b *Inbox[M]) Resume() []M {
	waiting := b.waiting
	*b = Inbox[M]{}
	return waiting
}
