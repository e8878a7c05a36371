package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// fullStatusInterval is how often a host sends its whole status although
// nothing asks for it, so that no fault in the changes lasts.
const fullStatusInterval = 30 * time.Second

// statusMessage carries what changed in the status of a host, or everything.
// Every host gets the same messages. One that has not got the message before
// asks for the whole status, so a lost message is repaired with the next one,
// after hostStatusInterval and one round trip.
type statusMessage struct {
	// Version and Stopping are in each message: a new configuration has to be
	// in force within seconds.
	Version  uint64 `msgpack:"v"`
	Stopping bool   `msgpack:"s,omitempty"`
	// Revision names the status that the message leads to. It starts at a
	// random number, so that no revision of an earlier process is taken for one
	// of this process.
	Revision uint64 `msgpack:"r,omitempty"`
	// Base is the revision that the changes build on. A message without changes
	// has none and confirms Revision.
	Base uint64 `msgpack:"b,omitempty"`
	Full bool   `msgpack:"f,omitempty"`
	// Ask asks the receiver for its whole status and says nothing else.
	Ask bool `msgpack:"a,omitempty"`
	// Digest, Groups and Services are those that changed.
	Digest   string          `msgpack:"d,omitempty"`
	Groups   []groupView     `msgpack:"g,omitempty"`
	Services []serviceStatus `msgpack:"x,omitempty"`
}

// statusSource turns the status of this host into messages.
type statusSource struct {
	mu       sync.Mutex
	revision uint64
	last     hostStatus
	fullAt   time.Duration
}

// newStatusSource returns a source whose first message is the whole status.
func newStatusSource() *statusSource {
	return &statusSource{revision: rand.Uint64()>>1 + 1}
}

// next returns the message that follows the one before. The caller holds the
// lock until the message is queued, so that messages leave in their order.
func (s *statusSource) next(now time.Duration, current hostStatus) statusMessage {
	if now >= s.fullAt || removed(s.last, current) {
		s.revision++
		s.last = current
		s.fullAt = now + fullStatusInterval
		return s.full()
	}
	message := changesOf(s.last, current)
	if message.changed(s.last) {
		message.Base = s.revision
		s.revision++
	}
	message.Revision = s.revision
	s.last = current
	return message
}

// full returns the whole status as of the last message.
func (s *statusSource) full() statusMessage {
	return statusMessage{
		Version:  s.last.ConfigVersion,
		Stopping: s.last.Stopping,
		Revision: s.revision,
		Full:     true,
		Digest:   s.last.ConfigDigest,
		Groups:   s.last.Groups,
		Services: s.last.Services,
	}
}

// removed reports whether something is gone, which changes cannot express.
func removed(last, current hostStatus) bool {
	group := func(g groupView) bool {
		return !slices.ContainsFunc(current.Groups, func(c groupView) bool { return c.Name == g.Name })
	}
	service := func(s serviceStatus) bool {
		return !slices.ContainsFunc(current.Services, func(c serviceStatus) bool { return c.Service == s.Service })
	}
	return slices.ContainsFunc(last.Groups, group) || slices.ContainsFunc(last.Services, service)
}

// changesOf returns the parts of a status that differ from an earlier one.
func changesOf(last, current hostStatus) statusMessage {
	message := statusMessage{Version: current.ConfigVersion, Stopping: current.Stopping}
	if current.ConfigDigest != last.ConfigDigest {
		message.Digest = current.ConfigDigest
	}
	for _, g := range current.Groups {
		if !slices.Contains(last.Groups, g) {
			message.Groups = append(message.Groups, g)
		}
	}
	for _, s := range current.Services {
		if !slices.ContainsFunc(last.Services, s.equal) {
			message.Services = append(message.Services, s)
		}
	}
	return message
}

// changed reports whether a message says more than a status did.
func (m *statusMessage) changed(last hostStatus) bool {
	return m.Version != last.ConfigVersion || m.Stopping != last.Stopping || m.Digest != "" || len(m.Groups) > 0 || len(m.Services) > 0
}

func (l serviceStatus) equal(other serviceStatus) bool {
	same := l.Service == other.Service && l.Executors == other.Executors && l.FreeSlots == other.FreeSlots
	return same && l.Queued == other.Queued && slices.Equal(l.Outlooks, other.Outlooks)
}

// apply takes a message of the host. It reports false if an earlier message is
// missing; the status then stays as it was, and ages.
func (h *host) apply(now time.Duration, m statusMessage) bool {
	switch {
	case m.Full:
		h.status.ConfigDigest, h.status.Groups, h.status.Services = m.Digest, m.Groups, m.Services
	case !h.seen || (m.Base == 0 && m.Revision != h.revision) || (m.Base != 0 && m.Base != h.revision):
		return false
	default:
		h.merge(m)
	}
	h.status.ConfigVersion, h.status.Stopping = m.Version, m.Stopping
	h.revision = m.Revision
	h.received = now
	h.seen = true
	return true
}

// merge replaces what changed. Readers may hold the old slices.
func (h *host) merge(m statusMessage) {
	if m.Digest != "" {
		h.status.ConfigDigest = m.Digest
	}
	if len(m.Groups) > 0 {
		h.status.Groups = replaced(h.status.Groups, m.Groups, func(g groupView) string { return g.Name })
	}
	if len(m.Services) > 0 {
		h.status.Services = replaced(h.status.Services, m.Services, func(s serviceStatus) string { return s.Service })
	}
}

// replaced returns a copy of a list with the elements of the same names, and
// those with new names, from another.
func replaced[E any](list, changes []E, name func(E) string) []E {
	result := slices.Clone(list)
	for _, c := range changes {
		at := slices.IndexFunc(result, func(e E) bool { return name(e) == name(c) })
		if at < 0 {
			result = append(result, c)
			continue
		}
		result[at] = c
	}
	return result
}
