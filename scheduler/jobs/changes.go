package jobs

// maxChanges bounds the change list when no controller consumes it. Beyond it
// the list is replaced by the mark that everything changed.
const maxChanges = 1 << 16

// change identifies a job or a worker that changed since the last take. One of
// the fields is empty.
type change struct {
	job    string
	worker string
}

// changeList collects the changed jobs and workers, so that the cost of a
// controller's Tick depends on the number of changes instead of the size of
// the state. all means that everything counts as changed.
type changeList struct {
	tracking bool
	all      bool
	config   bool
	seen     map[change]struct{}
	list     []change
}

// track starts recording, with everything marked as changed.
func (l *changeList) track() {
	*l = changeList{tracking: true, all: true, seen: map[change]struct{}{}}
}

// add records a change unless it is already listed.
func (l *changeList) add(c change) {
	if !l.tracking || l.all {
		return
	}
	if _, ok := l.seen[c]; ok {
		return
	}
	if len(l.list) >= maxChanges {
		l.track()
		return
	}
	l.seen[c] = struct{}{}
	l.list = append(l.list, c)
}

// empty reports whether nothing has changed.
func (l *changeList) empty() bool {
	return !l.all && !l.config && len(l.list) == 0
}

// take returns the changes and starts a new list.
func (l *changeList) take() changeList {
	taken := *l
	*l = changeList{tracking: l.tracking, seen: map[change]struct{}{}}
	return taken
}
