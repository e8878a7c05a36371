package jobs

// maxChanges bounds the change list of a state whose controller is gone.
const maxChanges = 1 << 16

// change names a job or a worker that differs since the last look.
type change struct {
	job    string
	worker string
}

// changeList collects what has changed, so that the cost of a controller's
// Tick follows the changes and not the size of the state.
type changeList struct {
	tracking bool
	all      bool
	config   bool
	seen     map[change]struct{}
	list     []change
}

// track starts a new list on which everything counts as changed.
func (l *changeList) track() {
	*l = changeList{tracking: true, all: true, seen: map[change]struct{}{}}
}

// add notes a change once.
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
