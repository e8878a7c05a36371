package workload

// Change names a job or an incarnation of an executor that a command changed: the progress or
// the phase of the job, or the runs or the departure of the executor. One of the two is set.
type Change struct {
	Job string
	// Occurrence and Step identify the step of the job whose runs changed. Occurrence is
	// NoOccurrence if the change concerns no single step.
	Occurrence, Step int
	Executor         ExecutorKey
}

// NoOccurrence is the occurrence of a change that concerns no single step.
const NoOccurrence = -1

// maxChanges is the number of changes that are kept. It covers what is applied between two
// decisions, also after a burst; a reader that falls behind reads the whole state.
const maxChanges = 4096

// changeList keeps the latest changes in a ring. It is derived and not part of a snapshot.
type changeList struct {
	ring []Change
	// end is the number of changes so far, begin that of the changes before which none can be
	// read.
	begin, end uint64
}

func (l *changeList) add(c Change) {
	if len(l.ring) < maxChanges {
		l.ring = append(l.ring, c)
	} else {
		l.ring[l.end%maxChanges] = c
	}
	l.end++
	l.begin = max(l.begin, l.end-uint64(len(l.ring)))
}

// invalidate makes all readers read the whole state.
func (l *changeList) invalidate() {
	l.ring = l.ring[:0]
	l.end += maxChanges - l.end%maxChanges
	l.begin = l.end
}

// ChangePosition returns the position after the last change.
func (s *State) ChangePosition() uint64 { return s.changeList.end }

// EachChangeSince calls f for each change after a position. It returns false without a call if
// the changes are not known, because they are too many or concern the whole state.
func (s *State) EachChangeSince(position uint64, f func(Change)) bool {
	l := &s.changeList
	if position < l.begin {
		return false
	}
	for n := position; n < l.end; n++ {
		f(l.ring[n%maxChanges])
	}
	return true
}

func (s *State) jobChanged(id string) { s.changeList.add(Change{Job: id, Occurrence: NoOccurrence}) }

func (s *State) stepChanged(key TaskKey) {
	s.changeList.add(Change{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step})
}

func (s *State) executorChanged(key ExecutorKey) { s.changeList.add(Change{Executor: key}) }
