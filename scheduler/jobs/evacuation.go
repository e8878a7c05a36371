package jobs

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// reasonEvacuated is the reason why a job waits, why a reserved gang is withdrawn and
// why a part of a plan is dropped while the failure domain is evacuated.
const reasonEvacuated = "the failure domain is evacuated"

// DomainUse is the effect of the last evacuation order on the failure domain.
type DomainUse struct {
	Evacuated bool `msgpack:"e"`
	// ChangedAt is the domain clock of that order.
	ChangedAt time.Duration `msgpack:"t"`
}

// Use returns the use of the failure domain. It is zero if there was no order.
func (s *State) Use() DomainUse { return s.use }

// RestoreUse sets the use of the failure domain after Restore. Snapshot omits it: a
// version without evacuations refuses a snapshot with one more field, so package domain
// stores it in its own snapshot, of which earlier versions ignore unknown fields.
func (s *State) RestoreUse(use DomainUse) { s.use = use }

// evacuate carries out an order. A repeated order changes nothing, so that the time
// since when the failure domain is evacuated stays.
//
// Reserved gangs are withdrawn in the same entry, and plans that are applied later are
// dropped. No command that an earlier or a slow leader has proposed can therefore start
// a gang after this entry.
func (s *State) evacuate(b *Evacuate) Result {
	if s.use.Evacuated == b.Active {
		return Result{}
	}
	s.use = DomainUse{Evacuated: b.Active, ChangedAt: s.clock}
	if !b.Active {
		return Result{}
	}
	for _, j := range s.sortedJobs() {
		if j.Status == structs.JobReserved {
			s.beginStop(j, stopRequeue, true, reasonEvacuated)
		}
	}
	return Result{}
}
