package workload

import (
	"slices"
	"time"
)

// departureRetention is how long the deregistration of an executor is stored. It
// exceeds the time for which a connection can hold back a report.
const departureRetention = 10 * time.Minute

// departure records that an incarnation of an executor deregistered itself.
type departure struct {
	Incarnation int64 `msgpack:"i"`
	// At is the Unix time of the deregistration.
	At time.Duration `msgpack:"a"`
}

// Executor is the entry of an executor in the executor directory. The directory is
// replicated, so that a new leader knows the executors before their next reports.
type Executor struct {
	Key      ExecutorKey `msgpack:"k"`
	Service  string      `msgpack:"s"`
	Address  string      `msgpack:"a"`
	Labels   []string    `msgpack:"l"`
	Capacity Resources   `msgpack:"c"`
	// Domain is the failure domain, or "" in an entry that an earlier version stored.
	Domain string `msgpack:"z,omitempty"`
	// DomainUnclear is set if reports of the incarnation named different failure domains. Domain
	// is "" then.
	DomainUnclear bool `msgpack:"u,omitempty"`
	// Draining is set if the executor gets no new runs. It remains set until the
	// incarnation ends, because an acknowledged drain must hold under every later
	// leader.
	Draining bool `msgpack:"d,omitempty"`
}

// Equal reports whether two entries are equal.
func (e *Executor) Equal(o *Executor) bool {
	return e.Key == o.Key && e.Service == o.Service && e.Address == o.Address && e.Domain == o.Domain && e.DomainUnclear == o.DomainUnclear &&
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

// HasLeft reports whether an incarnation deregistered itself, or was followed by
// one that did. A late report must not make it known again.
func (s *State) HasLeft(key ExecutorKey) bool {
	d, known := s.departures[key.ID]
	return known && key.Incarnation <= d.Incarnation
}

// recordDeparture stores the deregistration of an incarnation and removes those
// past their retention.
func (s *State) recordDeparture(key ExecutorKey, at time.Duration) {
	for id, d := range s.departures {
		if at-d.At > departureRetention {
			delete(s.departures, id)
		}
	}
	// Without an incarnation, a late report cannot be told from one after a restart.
	if key.Incarnation > 0 && !s.HasLeft(key) {
		s.departures[key.ID] = departure{Incarnation: key.Incarnation, At: at}
		s.executorChanged(key)
	}
}

// register stores an entry unless its incarnation has left or one of a later
// incarnation is stored. It keeps Draining and DomainUnclear set within an incarnation.
func (s *State) register(e *Executor) {
	if s.HasLeft(e.Key) {
		return
	}
	if current := s.executors[e.Key.ID]; current != nil {
		if current.Key.Incarnation > e.Key.Incarnation {
			return
		}
		if current.Key == e.Key {
			e.Draining = e.Draining || current.Draining
			e.DomainUnclear = e.DomainUnclear || current.DomainUnclear
		}
	}
	s.executors[e.Key.ID] = e
}

// deregister removes the entry of an incarnation or an earlier one, unless a later
// one has replaced it.
func (s *State) deregister(key ExecutorKey) {
	if current := s.executors[key.ID]; current != nil && current.Key.Incarnation <= key.Incarnation {
		delete(s.executors, key.ID)
	}
}
