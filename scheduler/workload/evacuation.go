package workload

import "time"

// Evacuation is an order of an operator about a failure domain: to start nothing there, or to
// use it again.
type Evacuation struct {
	Domain string `msgpack:"d"`
	Active bool   `msgpack:"a"`
}

// DomainUse is what the last order about a failure domain made of it.
type DomainUse struct {
	Evacuated bool `msgpack:"e"`
	// ChangedAt is the Unix time of that order.
	ChangedAt time.Duration `msgpack:"t"`
}

// Evacuated reports whether nothing may be started in a failure domain. An executor whose
// failure domain is not known, "", may be in any of those that are evacuated.
func (s *State) Evacuated(domain string) bool {
	if domain == "" {
		return s.evacuated > 0
	}
	return s.domains[domain].Evacuated
}

// DomainUse returns the use of a failure domain. It is zero if there was no order about it.
func (s *State) DomainUse(domain string) DomainUse { return s.domains[domain] }

// EachEvacuated calls f for each evacuated failure domain, in no particular order, with the
// Unix time since when it is.
func (s *State) EachEvacuated(f func(domain string, since time.Duration)) {
	for domain, use := range s.domains {
		if use.Evacuated {
			f(domain, use.ChangedAt)
		}
	}
}

// HasDomain reports whether an executor of the directory is in a failure domain.
func (s *State) HasDomain(domain string) bool {
	for _, e := range s.executors {
		if e.Domain == domain {
			return true
		}
	}
	return false
}

// evacuate carries out an order. A repeated order changes nothing, so that the time since when
// a failure domain is evacuated stays.
func (s *State) evacuate(order Evacuation, at time.Duration) Result {
	if s.domains[order.Domain].Evacuated == order.Active {
		return ResultUnchanged
	}
	s.domains[order.Domain] = DomainUse{Evacuated: order.Active, ChangedAt: at}
	s.countEvacuated()
	return ResultApplied
}

func (s *State) countEvacuated() {
	s.evacuated = 0
	s.EachEvacuated(func(string, time.Duration) { s.evacuated++ })
}
