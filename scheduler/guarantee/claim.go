package guarantee

import "math/bits"

// operation is an entry of the undo log: the binding or the release of a block.
type operation struct {
	customer int
	level    int
	index    int // index of the worker, or of the rack for a rack block
	mask     Mask
	released bool
}

// strategy is the smallest kind of slot that a claim may bind.
type strategy int

// Strategies of a claim, in the order in which they are tried.
const (
	bindCells strategy = iota
	bindWorkers
	bindRacks
	numStrategies
)

// Mark returns the present position in the undo log, for a later Undo.
func (l *Ledger) Mark() int { return len(l.undoLog) }

// Undo reverts all claims made since the mark.
func (l *Ledger) Undo(mark int) {
	for len(l.undoLog) > mark {
		last := l.undoLog[len(l.undoLog)-1]
		l.undoLog = l.undoLog[:len(l.undoLog)-1]
		l.change(last, last.released)
	}
}

// Claim covers the parts with blocks of the customer and reports whether it could.
// It changes nothing if the parts cannot be covered, or if the open slots of all
// customers would no longer fit into the unbound accelerators.
func (l *Ledger) Claim(customer int, parts []Part) bool {
	mark := l.Mark()
	for s := range numStrategies {
		if l.cover(customer, parts, s) && l.feasible() {
			return true
		}
		l.Undo(mark)
	}
	return false
}

// ClaimTight is like Claim but binds the smallest open slots that cover the parts,
// and no larger ones. It fails if only larger slots would leave enough accelerators
// for the other guarantees. A small gang thus does not use up a slot that the
// customer may need for a large one.
func (l *Ledger) ClaimTight(customer int, parts []Part) bool {
	mark := l.Mark()
	for s := range numStrategies {
		if l.cover(customer, parts, s) {
			if l.feasible() {
				return true
			}
			break
		}
		l.Undo(mark)
	}
	l.Undo(mark)
	return false
}

// cover binds slots until all parts lie in blocks of the customer.
func (l *Ledger) cover(customer int, parts []Part, s strategy) bool {
	for _, p := range parts {
		if !l.coverPart(customer, p, s) {
			return false
		}
	}
	return true
}

// coverPart binds slots for the accelerators of one worker.
func (l *Ledger) coverPart(customer int, p Part, s strategy) bool {
	w := &l.workers[p.Worker]
	if p.Mask&^w.usable != 0 || p.Mask&l.OwnedByOthers(customer, p.Worker) != 0 {
		return false
	}
	uncovered := p.Mask &^ l.Owned(customer, p.Worker)
	if uncovered == 0 {
		return true
	}
	if s == bindCells && l.coverCells(customer, p.Worker, uncovered) {
		return true
	}
	if s <= bindWorkers && l.bindWorker(customer, p.Worker) {
		return true
	}
	return l.bindRack(customer, w.rack)
}

// coverCells binds one cell slot, or several, for accelerators of a worker.
func (l *Ledger) coverCells(customer, worker int, uncovered Mask) bool {
	mark := l.Mark()
	cell, level := enclosingCell(uncovered)
	if l.bindSmallest(customer, worker, cell, level) {
		return true
	}
	for level := l.maxCellLevel; level >= 0 && uncovered != 0; level-- {
		for starts := fullCellStarts(uncovered, level); starts != 0; starts &= starts - 1 {
			piece := CellAt(bits.TrailingZeros64(starts), level)
			if uncovered&piece != piece {
				continue
			}
			if !l.bindSmallest(customer, worker, piece, level) {
				l.Undo(mark)
				return false
			}
			uncovered &^= l.Owned(customer, worker)
		}
	}
	return true
}

// bindSmallest binds the smallest open cell slot that is large enough to a block
// that contains the cell. It reports whether it could.
func (l *Ledger) bindSmallest(customer, worker int, cell Mask, level int) bool {
	w := &l.workers[worker]
	start := bits.TrailingZeros64(cell)
	for ; level <= l.maxCellLevel; level++ {
		block := CellAt(start>>level<<level, level)
		if block&^w.usable != 0 || block&l.OwnedByOthers(customer, worker) != 0 {
			return false
		}
		if l.accounts[customer].open[level] == 0 {
			continue
		}
		l.releaseContained(customer, worker, block)
		l.apply(operation{customer: customer, level: level, index: worker, mask: block})
		return true
	}
	return false
}

// bindWorker binds a worker slot to a worker, and reports whether it could.
func (l *Ledger) bindWorker(customer, worker int) bool {
	w := &l.workers[worker]
	if l.accounts[customer].open[l.workerLevel] == 0 || !w.whole || l.OwnedByOthers(customer, worker) != 0 {
		return false
	}
	l.releaseContained(customer, worker, w.usable)
	l.apply(operation{customer: customer, level: l.workerLevel, index: worker, mask: w.usable})
	return true
}

// bindRack binds a rack slot to a rack, and reports whether it could.
func (l *Ledger) bindRack(customer, rack int) bool {
	r := &l.racks[rack]
	if l.accounts[customer].open[l.rackLevel] == 0 || r.owner != noOwner || r.whole < l.workersPerRack {
		return false
	}
	for _, w := range r.workers {
		if l.OwnedByOthers(customer, w) != 0 {
			return false
		}
	}
	for _, w := range r.workers {
		l.releaseContained(customer, w, l.workers[w].usable)
	}
	l.apply(operation{customer: customer, level: l.rackLevel, index: rack})
	return true
}

// releaseContained releases the customer's smaller blocks inside a block that is
// about to be bound, so that their slots are open again.
func (l *Ledger) releaseContained(customer, worker int, block Mask) {
	w := &l.workers[worker]
	if w.owner == customer {
		l.apply(operation{customer: customer, level: l.workerLevel, index: worker, mask: w.usable, released: true})
		return
	}
	for i := 0; i < len(w.cells); {
		c := w.cells[i]
		if c.mask&^block != 0 {
			i++
			continue
		}
		l.apply(operation{customer: customer, level: c.level, index: worker, mask: c.mask, released: true})
	}
}

// apply performs an operation and adds it to the undo log.
func (l *Ledger) apply(op operation) {
	l.change(op, !op.released)
	l.undoLog = append(l.undoLog, op)
}

// change binds or releases a block and updates all counts.
func (l *Ledger) change(op operation, bind bool) {
	sign := 1
	if !bind {
		sign = -1
	}
	a := &l.accounts[op.customer]
	a.open[op.level] -= sign
	l.open[op.level] -= sign
	if op.level == l.rackLevel {
		l.changeRack(op, bind, a)
		return
	}
	a.bound += sign * bits.OnesCount64(op.mask)
	rack := l.workers[op.index].rack
	l.countRack(rack, -1)
	l.countWorker(op.index, -1)
	l.changeWorker(op, bind)
	l.countWorker(op.index, 1)
	l.countRack(rack, 1)
}

// changeRack binds or releases a rack block.
func (l *Ledger) changeRack(op operation, bind bool, a *account) {
	r := &l.racks[op.index]
	l.countRack(op.index, -1)
	for _, w := range r.workers {
		l.countWorker(w, -1)
	}
	r.owner = noOwner
	sign := -1
	if bind {
		r.owner = op.customer
		sign = 1
	}
	for _, w := range r.workers {
		a.bound += sign * bits.OnesCount64(l.workers[w].usable)
		l.countWorker(w, 1)
	}
	l.countRack(op.index, 1)
}

// changeWorker binds or releases a worker block or a cell.
func (l *Ledger) changeWorker(op operation, bind bool) {
	w := &l.workers[op.index]
	before := w.bound != 0
	switch {
	case bind && op.level == l.workerLevel:
		w.owner = op.customer
		w.bound = w.usable
	case bind:
		w.cells = append(w.cells, cell{customer: op.customer, level: op.level, mask: op.mask})
		w.bound |= op.mask
	case op.level == l.workerLevel:
		w.owner = noOwner
		w.bound = 0
	default:
		w.removeCell(op.mask)
	}
	after := w.bound != 0
	if after && !before {
		l.racks[w.rack].boundWorkers++
	}
	if before && !after {
		l.racks[w.rack].boundWorkers--
	}
}

// removeCell removes a bound cell from the worker.
func (w *workerState) removeCell(mask Mask) {
	for i, c := range w.cells {
		if c.mask == mask {
			last := len(w.cells) - 1
			w.cells[i] = w.cells[last]
			w.cells = w.cells[:last]
			break
		}
	}
	w.bound &^= mask
}
