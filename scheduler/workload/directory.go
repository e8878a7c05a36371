package workload

import "slices"

// Executor is the entry of an executor in the directory. A new leader finds the
// executors there and does not have to wait for their next reports.
type Executor struct {
	Key      ExecutorKey `msgpack:"k"`
	Service  string      `msgpack:"s"`
	Address  string      `msgpack:"a"`
	Labels   []string    `msgpack:"l"`
	Capacity Resources   `msgpack:"c"`
	// Draining executors get no new runs. It stays set for the rest of a life,
	// since an acknowledged farewell must hold under every later leader.
	Draining bool `msgpack:"d,omitempty"`
}

// Same reports whether two entries say the same.
func (e *Executor) Same(o *Executor) bool {
	return e.Key == o.Key && e.Service == o.Service && e.Address == o.Address &&
		e.Capacity == o.Capacity && e.Draining == o.Draining && slices.Equal(e.Labels, o.Labels)
}

// Executor returns the entry of the present life of an executor, or nil. The
// caller must not change it.
func (s *State) Executor(id string) *Executor { return s.executors[id] }

// Executors calls f for every entry of the directory, in no order.
func (s *State) Executors(f func(*Executor)) {
	for _, e := range s.executors {
		f(e)
	}
}

// enroll keeps the entry of the latest life.
func (s *State) enroll(e *Executor) {
	if known := s.executors[e.Key.ID]; known != nil {
		if known.Key.Born > e.Key.Born {
			return
		}
		e.Draining = e.Draining || (known.Draining && known.Key == e.Key)
	}
	s.executors[e.Key.ID] = e
}

func (s *State) dismiss(key ExecutorKey) {
	if known := s.executors[key.ID]; known != nil && known.Key == key {
		delete(s.executors, key.ID)
	}
}
