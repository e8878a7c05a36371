package guarantee

import "cranberrydrum.dev/scheduler/structs"

// countWorker adds (sign 1) or subtracts (sign -1) the unbound accelerators of a
// worker.
func (l *Ledger) countWorker(worker, sign int) {
	w := &l.workers[worker]
	if l.racks[w.rack].owner != noOwner || w.owner != noOwner {
		return
	}
	if w.whole && w.bound == 0 {
		l.freeWorkers += sign
		return
	}
	addCells(&l.freeCells, w.usable&^w.bound, l.maxCellLevel, sign)
}

// countRack adds (sign 1) or subtracts (sign -1) a rack to or from the unbound whole
// racks.
func (l *Ledger) countRack(rack, sign int) {
	r := &l.racks[rack]
	if r.owner != noOwner || r.boundWorkers > 0 || r.whole < l.workersPerRack {
		return
	}
	l.freeRacks[r.whole] += sign
}

// feasible reports whether all open slots fit into the unbound accelerators.
func (l *Ledger) feasible() bool {
	_, missing := l.shortage()
	return missing == 0
}

// shortage returns the largest level whose open slots do not all fit into the
// unbound accelerators, and how many of them do not. Each slot size divides the next
// larger one, so placing the largest slots first is optimal, and the numbers of
// unbound blocks of each size decide.
func (l *Ledger) shortage() (level, missing int) {
	racks := l.open[l.rackLevel]
	workers := l.freeWorkers
	for size := l.workersPerRack; racks > 0 && size < len(l.freeRacks); size++ {
		used := min(racks, l.freeRacks[size])
		racks -= used
		workers -= used * size
	}
	if racks > 0 {
		return l.rackLevel, racks
	}
	workers -= l.open[l.workerLevel]
	if workers < 0 {
		return l.workerLevel, -workers
	}
	spare := 0
	for level := l.maxCellLevel; level >= 0; level-- {
		spare = 2*spare + l.freeCells[level] + workers*l.cellsPerWorker[level] - l.open[level]
		if spare < 0 {
			return level, -spare
		}
	}
	return 0, 0
}

// reduceSlots drops slots until the remaining ones fit into the healthy workers.
func (l *Ledger) reduceSlots() {
	for {
		level, missing := l.shortage()
		if missing == 0 {
			return
		}
		l.reduceSlot(level)
	}
}

// reduceSlot drops one slot of a level from the customer that has most of them. A
// rack slot is replaced by worker slots. These substitutes are dropped before any
// other slot, so that customers whose shape is still complete keep it.
func (l *Ledger) reduceSlot(level int) {
	if level != l.rackLevel {
		at := l.accountWithMost(func(a *account) int { return a.substitutes })
		if l.accounts[at].substitutes > 0 {
			l.accounts[at].substitutes--
			l.dropSlot(at, l.workerLevel)
			return
		}
	}
	at := l.accountWithMost(func(a *account) int { return a.open[level] })
	l.dropSlot(at, level)
	if level == l.rackLevel {
		l.accounts[at].open[l.workerLevel] += l.workersPerRack
		l.accounts[at].substitutes += l.workersPerRack
		l.open[l.workerLevel] += l.workersPerRack
	}
}

// accountWithMost returns the index of the account with the largest value. Of
// accounts with equal values it takes the last one.
func (l *Ledger) accountWithMost(value func(*account) int) int {
	at := 0
	for i := range l.accounts {
		if value(&l.accounts[i]) >= value(&l.accounts[at]) {
			at = i
		}
	}
	return at
}

// dropSlot removes one open slot from an account and adds it to the missing part of
// its shape.
func (l *Ledger) dropSlot(at, level int) {
	a := &l.accounts[at]
	a.open[level]--
	l.open[level]--
	a.missing = addShape(a.missing, l.shapeOf(level, 1))
}

// Fits checks that all guarantees fit the failure domain together while the given
// number of workers is unavailable. The unavailable workers are assumed to be in
// different racks as far as possible, which leaves the fewest whole racks.
func Fits(domain structs.FailureDomain, guarantees []structs.Guarantee, unavailableWorkers int) error {
	if domain.Racks <= 0 || domain.WorkersPerRack <= 0 || domain.AcceleratorsPerWorker <= 0 {
		return &InvalidTopologyError{Domain: domain.Name}
	}
	l := NewLedger(domain, nil, nil)
	brokenRacks := min(max(unavailableWorkers, 0), domain.Racks)
	l.freeRacks = make([]int, domain.WorkersPerRack+1)
	l.freeRacks[domain.WorkersPerRack] = domain.Racks - brokenRacks
	l.freeWorkers = max(domain.Racks*domain.WorkersPerRack-max(unavailableWorkers, 0), 0)
	for _, g := range shapesByCustomer(domain.Name, guarantees) {
		for level, n := range l.slots(g.Shape) {
			l.open[level] += n
		}
		if level, missing := l.shortage(); missing > 0 {
			g.Domain = domain.Name
			return &DoesNotFitError{Guarantee: g, Missing: l.shapeOf(level, missing)}
		}
	}
	return nil
}

// shapeOf returns the shape of n slots of a level.
func (l *Ledger) shapeOf(level, n int) structs.Shape {
	switch level {
	case l.rackLevel:
		return structs.Shape{Racks: n}
	case l.workerLevel:
		return structs.Shape{Workers: n}
	default:
		return structs.Shape{Accelerators: n << level}
	}
}
