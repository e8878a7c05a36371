package workload

import "unsafe"

const (
	// jobOverheadBytes covers a job, its strings, its map entries and its copy in a snapshot
	// that is being written.
	jobOverheadBytes  = 2 << 10
	stepBytes         = int64(unsafe.Sizeof(Step{}))
	occurrenceBytes   = int64(unsafe.Sizeof(Occurrence{}))
	stepStateBytes    = int64(unsafe.Sizeof(StepState{}))
	taskBytes         = int64(unsafe.Sizeof(Task{}))
	dependencyBytes   = int64(unsafe.Sizeof(int(0)))
	snapshotTaskBytes = 2
)

// StateBytes returns the memory, in bytes, that a stored job of a valid specification takes.
// Its state is allocated for all tasks of all occurrences when it is stored.
func (s *Spec) StateBytes() int64 {
	size, perOccurrence := int64(jobOverheadBytes+len(s.Payload)), occurrenceBytes
	for i := range s.Steps {
		size += stepBytes + dependencyBytes*int64(len(s.Steps[i].DependsOn))
		perOccurrence += stepStateBytes + (taskBytes+snapshotTaskBytes)*int64(s.Steps[i].Count)
	}
	return size + perOccurrence*int64(s.Occurrences())
}

// StateBytes returns the memory, in bytes, that the stored jobs take, without tombstones.
func (s *State) StateBytes() int64 { return s.jobBytes }
