package guarantee

import "cranberrydrum.dev/scheduler/structs"

// countWorker adds or subtracts the unbound room of a worker.
func (l *Ledger) countWorker(worker, sign int) {
	w := &l.workers[worker]
	if l.racks[w.rack].owner != nobody || w.owner != nobody {
		return
	}
	if w.whole && w.bound == 0 {
		l.freeWorkers += sign
		return
	}
	addCells(&l.freeCells, w.usable&^w.bound, l.top, sign)
}

// countRack adds or subtracts a rack from the unbound whole racks.
func (l *Ledger) countRack(rack, sign int) {
	r := &l.racks[rack]
	if r.owner != nobody || r.touched > 0 || r.whole < l.workersPerRack {
		return
	}
	l.freeRacks[r.whole] += sign
}

// feasible reports whether all open slots fit into the unbound room.
func (l *Ledger) feasible() bool {
	_, missing := l.shortage()
	return missing == 0
}

// shortage returns the largest level whose open slots do not fit into the
// unbound room, and how many of them. Each size divides the next larger one, so
// placing the largest slots first is optimal and only the counts matter.
func (l *Ledger) shortage() (level, missing int) {
	racks := l.open[l.rack]
	workers := l.freeWorkers
	for size := l.workersPerRack; racks > 0 && size < len(l.freeRacks); size++ {
		used := min(racks, l.freeRacks[size])
		racks -= used
		workers -= used * size
	}
	if racks > 0 {
		return l.rack, racks
	}
	workers -= l.open[l.worker]
	if workers < 0 {
		return l.worker, -workers
	}
	room := 0
	for level := l.top; level >= 0; level-- {
		room = 2*room + l.freeCells[level] + workers*l.split[level] - l.open[level]
		if room < 0 {
			return level, -room
		}
	}
	return 0, 0
}

// reduce drops slots until the rest fits into the healthy workers.
func (l *Ledger) reduce() {
	for {
		level, missing := l.shortage()
		if missing == 0 {
			return
		}
		l.reduceOne(level)
	}
}

// reduceOne takes one slot of a level from the customer that has most of them.
// A rack is replaced by its workers, and these are dropped before the slots of
// any customer whose shape is still intact.
func (l *Ledger) reduceOne(level int) {
	if level != l.rack {
		at := l.most(func(a *account) int { return a.substitutes })
		if l.accounts[at].substitutes > 0 {
			l.accounts[at].substitutes--
			l.drop(at, l.worker)
			return
		}
	}
	at := l.most(func(a *account) int { return a.open[level] })
	l.drop(at, level)
	if level == l.rack {
		l.accounts[at].open[l.worker] += l.workersPerRack
		l.accounts[at].substitutes += l.workersPerRack
		l.open[l.worker] += l.workersPerRack
	}
}

// most returns the last account with the largest value.
func (l *Ledger) most(value func(*account) int) int {
	at := 0
	for i := range l.accounts {
		if value(&l.accounts[i]) >= value(&l.accounts[at]) {
			at = i
		}
	}
	return at
}

// drop takes one slot from an account and notes that it is missing.
func (l *Ledger) drop(at, level int) {
	a := &l.accounts[at]
	a.open[level]--
	l.open[level]--
	a.missing = addShape(a.missing, l.shapeOf(level, 1))
}

// Fits checks that all guarantees fit the failure domain together while the
// given number of workers is out of service. The lost workers are assumed to
// lie in different racks as far as possible, which breaks the most racks.
func Fits(domain structs.FailureDomain, guarantees []structs.Guarantee, badWorkers int) error {
	if domain.Racks <= 0 || domain.WorkersPerRack <= 0 || domain.AcceleratorsPerWorker <= 0 {
		return &InvalidTopologyError{Domain: domain.Name}
	}
	l := NewLedger(domain, nil, nil)
	broken := min(max(badWorkers, 0), domain.Racks)
	l.freeRacks = make([]int, domain.WorkersPerRack+1)
	l.freeRacks[domain.WorkersPerRack] = domain.Racks - broken
	l.freeWorkers = max(domain.Racks*domain.WorkersPerRack-max(badWorkers, 0), 0)
	for _, g := range shapesByCustomer(domain.Name, guarantees) {
		for level, n := range l.slots(g.Shape) {
			l.open[level] += n
		}
		if level, missing := l.shortage(); missing > 0 {
			g.Domain = domain.Name
			return &UnfitError{Guarantee: g, Missing: l.shapeOf(level, missing)}
		}
	}
	return nil
}

// shapeOf returns a number of slots of a level as a shape.
func (l *Ledger) shapeOf(level, n int) structs.Shape {
	switch level {
	case l.rack:
		return structs.Shape{Racks: n}
	case l.worker:
		return structs.Shape{Workers: n}
	default:
		return structs.Shape{Accelerators: n << level}
	}
}
