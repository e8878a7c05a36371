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
	progressBytes     = int64(unsafe.Sizeof(progress{}))
	// stepProgressBytes covers the sums of a step and the list of those that depend on it.
	stepProgressBytes = int64(unsafe.Sizeof(stepProgress{}) + unsafe.Sizeof(occurrenceSet{}) + unsafe.Sizeof([]int32{}))
	dependentBytes    = int64(unsafe.Sizeof(int32(0)))
	wordBytes         = wordBits / 8
)

// StateBytes returns the memory, in bytes, that a stored job of a valid specification takes.
// Its state is allocated for all tasks of all occurrences when it is stored.
func (s *Spec) StateBytes() int64 {
	size, perOccurrence := progressBytes+int64(jobOverheadBytes+len(s.Payload)), occurrenceBytes
	size += wordBytes * int64(wordsFor(s.Occurrences())*(len(s.Steps)+1))
	for i := range s.Steps {
		size += stepBytes + stepProgressBytes + int64(s.Steps[i].nameBytes()) + (dependencyBytes+dependentBytes)*int64(len(s.Steps[i].DependsOn))
		perOccurrence += stepStateBytes + (taskBytes+snapshotTaskBytes)*int64(s.Steps[i].Count)
	}
	return size + perOccurrence*int64(s.Occurrences())
}

// StateBytes returns the memory, in bytes, that the stored jobs take, without tombstones.
func (s *State) StateBytes() int64 { return s.jobBytes }
