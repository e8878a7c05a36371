package workload

import "slices"

// Executor is the entry of an executor in the executor directory. The directory is
// replicated, so that a new leader knows the executors before their next reports.
type Executor struct {
	Key      ExecutorKey `msgpack:"k"`
	Service  string      `msgpack:"s"`
	Address  string      `msgpack:"a"`
	Labels   []string    `msgpack:"l"`
	Capacity Resources   `msgpack:"c"`
	// Draining is set if the executor gets no new runs. It remains set until the
	// incarnation ends, because an acknowledged drain must hold under every later
	// leader.
	Draining bool `msgpack:"d,omitempty"`
}

// Equal reports whether two entries are equal.
func (e *Executor) Equal(o *Executor) bool {
	return e.Key == o.Key && e.Service == o.Service && e.Address == o.Address &&
		e.Capacity == o.Capacity && e.Draining == o.Draining && slices.Equal(e.Labels, o.Labels)
}

// Executor returns the entry of the current incarnation of an executor, or nil. The
// caller must not modify it.
func (s *State) Executor(id string) *Executor { return s.executors[id] }

// Executors calls f for every entry of the directory, in no particular order.
func (s *State) Executors(f func(*Executor)) {
	for _, e := range s.executors {
		f(e)
	}
}

// register stores an entry unless one of a later incarnation is stored. It keeps
// Draining set within an incarnation.
func (s *State) register(e *Executor) {
	if current := s.executors[e.Key.ID]; current != nil {
		if current.Key.Incarnation > e.Key.Incarnation {
			return
		}
		e.Draining = e.Draining || (current.Draining && current.Key == e.Key)
	}
	s.executors[e.Key.ID] = e
}

// deregister removes the entry of an incarnation, unless a later one has replaced it.
func (s *State) deregister(key ExecutorKey) {
	if current := s.executors[key.ID]; current != nil && current.Key == key {
		delete(s.executors, key.ID)
	}
}
