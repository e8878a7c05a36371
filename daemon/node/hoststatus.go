package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// fullStatusInterval is how often a host sends its full status unrequested, so
// that an error in the incremental messages does not persist.
const fullStatusInterval = 30 * time.Second

// statusMessage carries the changes in the status of a host, or the full status.
// All hosts get the same messages. A host that has missed the previous message
// requests the full status, so a lost message is repaired with the next one,
// after hostStatusInterval and one round trip.
type statusMessage struct {
	// Version and Stopping are in every message: a new configuration has to be
	// in force within seconds.
	Version  uint64 `msgpack:"v"`
	Stopping bool   `msgpack:"s,omitempty"`
	// Evacuates is in every message of a host whose version knows evacuations.
	Evacuates bool `msgpack:"e,omitempty"`
	// Revision identifies the status after this message. It starts at a random
	// number, so that revisions of an earlier process are not mistaken for those
	// of this process.
	Revision uint64 `msgpack:"r,omitempty"`
	// Base is the revision that the changes apply to. It is 0 in a message
	// without changes, which confirms Revision.
	Base uint64 `msgpack:"b,omitempty"`
	Full bool   `msgpack:"f,omitempty"`
	// RequestFull asks the receiver for its full status. Such a message carries
	// no status.
	RequestFull bool `msgpack:"a,omitempty"`
	// Digest, Groups and Services hold the changed parts, or all in a full
	// message.
	Digest   string          `msgpack:"d,omitempty"`
	Groups   []groupView     `msgpack:"g,omitempty"`
	Services []serviceStatus `msgpack:"x,omitempty"`
}

// statusSource encodes the status of this host as incremental messages.
type statusSource struct {
	mu       sync.Mutex
	revision uint64
	last     hostStatus
	nextFull time.Duration
}

// newStatusSource returns a source whose first message is the full status.
func newStatusSource() *statusSource {
	return &statusSource{revision: rand.Uint64()>>1 + 1}
}

// next returns the message with the changes since the previous one. The caller
// holds the lock until the message is queued, so that messages are sent in order.
func (s *statusSource) next(now time.Duration, current hostStatus) statusMessage {
	if now >= s.nextFull || hasRemovals(s.last, current) {
		s.revision++
		s.last = current
		s.nextFull = now + fullStatusInterval
		return s.full()
	}
	message := diffStatus(s.last, current)
	if message.hasChanges(s.last) {
		message.Base = s.revision
		s.revision++
	}
	message.Revision = s.revision
	s.last = current
	return message
}

// full returns the full status as of the last message.
func (s *statusSource) full() statusMessage {
	return statusMessage{
		Version:   s.last.ConfigVersion,
		Stopping:  s.last.Stopping,
		Evacuates: s.last.Evacuates,
		Revision:  s.revision,
		Full:      true,
		Digest:    s.last.ConfigDigest,
		Groups:    s.last.Groups,
		Services:  s.last.Services,
	}
}

// hasRemovals reports whether a group or service was removed, which an
// incremental message cannot express.
func hasRemovals(last, current hostStatus) bool {
	group := func(g groupView) bool {
		return !slices.ContainsFunc(current.Groups, func(c groupView) bool { return c.Name == g.Name })
	}
	service := func(s serviceStatus) bool {
		return !slices.ContainsFunc(current.Services, func(c serviceStatus) bool { return c.Service == s.Service })
	}
	return slices.ContainsFunc(last.Groups, group) || slices.ContainsFunc(last.Services, service)
}

// diffStatus returns a message with the parts of a status that differ from an
// earlier one.
func diffStatus(last, current hostStatus) statusMessage {
	message := statusMessage{Version: current.ConfigVersion, Stopping: current.Stopping, Evacuates: current.Evacuates}
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

// hasChanges reports whether a message differs from an earlier status.
func (m *statusMessage) hasChanges(last hostStatus) bool {
	return m.Version != last.ConfigVersion || m.Stopping != last.Stopping || m.Digest != "" || len(m.Groups) > 0 || len(m.Services) > 0
}

func (s serviceStatus) equal(other serviceStatus) bool {
	same := s.Service == other.Service && s.Executors == other.Executors && s.FreeSlots == other.FreeSlots
	return same && s.Queued == other.Queued && slices.Equal(s.WaitEstimates, other.WaitEstimates)
}

// apply applies a message of the host. It reports false if an earlier message is
// missing; the status and its time of receipt then stay unchanged.
func (h *host) apply(now time.Duration, m statusMessage) bool {
	switch {
	case m.Full:
		h.status.ConfigDigest, h.status.Groups, h.status.Services = m.Digest, m.Groups, m.Services
	case !h.seen || (m.Base == 0 && m.Revision != h.revision) || (m.Base != 0 && m.Base != h.revision):
		return false
	default:
		h.merge(m)
	}
	h.status.ConfigVersion, h.status.Stopping, h.status.Evacuates = m.Version, m.Stopping, m.Evacuates
	h.revision = m.Revision
	h.received = now
	h.seen = true
	return true
}

// merge replaces the changed parts. It copies the slices, because readers may
// hold the old ones.
func (h *host) merge(m statusMessage) {
	if m.Digest != "" {
		h.status.ConfigDigest = m.Digest
	}
	if len(m.Groups) > 0 {
		h.status.Groups = upsert(h.status.Groups, m.Groups, func(g groupView) string { return g.Name })
	}
	if len(m.Services) > 0 {
		h.status.Services = upsert(h.status.Services, m.Services, func(s serviceStatus) string { return s.Service })
	}
}

// upsert returns a copy of a list in which the changes replace the elements of
// the same name or, if there is none, are appended.
func upsert[E any](list, changes []E, name func(E) string) []E {
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
