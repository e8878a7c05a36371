package guarantee

import (
	"slices"
	"strings"

	"cranberrydrum.dev/scheduler/structs"
)

// noOwner marks an unbound block.
const noOwner = -1

// Part is the accelerators of a job on one worker, given by its index in a ledger.
type Part struct {
	Worker int
	Mask   Mask
}

// Ledger records the guaranteed slots of all customers and the blocks to which they
// are bound. Claims are undone in reverse order. Methods take a customer as the
// index of its account, see Customer, and a worker as its index, see NewLedger.
type Ledger struct {
	workersPerRack         int
	perWorker              int
	maxCellLevel           int
	workerLevel, rackLevel int // levels of worker slots and rack slots
	workers                []workerState
	racks                  []rackState
	accounts               []account
	accountIndex           map[string]int // by customer
	open                   [maxLevels]int // open slots of all customers, by level
	// Unbound accelerators: whole racks by their number of whole workers, whole
	// workers (also those of whole racks), and the maximal cells of the other
	// workers.
	freeRacks      []int
	freeWorkers    int
	freeCells      [maxLevels]int
	cellsPerWorker [maxLevels]int // maximal cells of one whole worker
	undoLog        []operation
}

// account is the guarantee of one customer.
type account struct {
	customer string
	open     [maxLevels]int // open slots by level
	missing  structs.Shape  // dropped slots
	// substitutes is the number of worker slots that replace rack slots.
	substitutes int
	// bound is the number of accelerators in the customer's blocks.
	bound int
}

// workerState is a worker with the blocks bound on it.
type workerState struct {
	rack   int
	usable Mask
	whole  bool // has all accelerators of a whole worker
	owner  int  // customer of the worker block, or noOwner
	bound  Mask // accelerators in worker blocks and cells
	cells  []cell
}

// cell is a bound cell of a worker.
type cell struct {
	customer int
	level    int
	mask     Mask
}

// rackState is a rack and the owner of its rack block, if one is bound.
type rackState struct {
	workers      []int
	whole        int // number of whole workers
	owner        int // customer of the rack block, or noOwner
	boundWorkers int // number of workers with bound blocks
}

// NewLedger returns a ledger without claims. The index of a worker is its index in
// the slice. Quarantined workers have no usable accelerators.
func NewLedger(topology structs.FailureDomain, workers []structs.Worker, guarantees []structs.Guarantee) *Ledger {
	l := &Ledger{
		workersPerRack: max(topology.WorkersPerRack, 1),
		perWorker:      min(max(topology.AcceleratorsPerWorker, 1), MaxAccelerators),
		accountIndex:   make(map[string]int),
	}
	l.maxCellLevel = LargestCell(FullMask(l.perWorker))
	l.workerLevel = l.maxCellLevel + 1
	l.rackLevel = l.maxCellLevel + 2
	addCells(&l.cellsPerWorker, FullMask(l.perWorker), l.maxCellLevel, 1)
	l.addWorkers(workers)
	l.addAccounts(topology.Name, guarantees)
	l.reduceSlots()
	return l
}

// addWorkers adds the workers and racks and counts their accelerators.
func (l *Ledger) addWorkers(workers []structs.Worker) {
	racks := make(map[string]int)
	l.workers = make([]workerState, len(workers))
	for i, w := range workers {
		r, known := racks[w.Rack]
		if !known {
			r = len(l.racks)
			racks[w.Rack] = r
			l.racks = append(l.racks, rackState{owner: noOwner})
		}
		state := workerState{rack: r, owner: noOwner}
		if !w.Quarantined {
			state.usable = FullMask(w.Accelerators)
			state.whole = w.Accelerators >= l.perWorker
		}
		l.workers[i] = state
		l.racks[r].workers = append(l.racks[r].workers, i)
		if state.whole {
			l.racks[r].whole++
		}
	}
	for i := range l.workers {
		l.countWorker(i, 1)
	}
	l.freeRacks = make([]int, len(workers)+1)
	for r := range l.racks {
		l.countRack(r, 1)
	}
}

// addAccounts adds an account with open slots for each customer that has a guarantee
// in the failure domain.
func (l *Ledger) addAccounts(domain string, guarantees []structs.Guarantee) {
	shapes := shapesByCustomer(domain, guarantees)
	for _, g := range shapes {
		a := account{customer: g.Customer, open: l.slots(g.Shape)}
		l.accountIndex[g.Customer] = len(l.accounts)
		l.accounts = append(l.accounts, a)
		for level, n := range a.open {
			l.open[level] += n
		}
	}
}

// shapesByCustomer returns one guarantee per customer, sorted by customer: the sum of
// those that apply to the failure domain.
func shapesByCustomer(domain string, guarantees []structs.Guarantee) []structs.Guarantee {
	var merged []structs.Guarantee
	for _, g := range guarantees {
		if g.Domain != "" && g.Domain != domain {
			continue
		}
		at := slices.IndexFunc(merged, func(m structs.Guarantee) bool { return m.Customer == g.Customer })
		if at < 0 {
			merged = append(merged, g)
			continue
		}
		merged[at].Shape = addShape(merged[at].Shape, g.Shape)
	}
	slices.SortFunc(merged, func(a, b structs.Guarantee) int { return strings.Compare(a.Customer, b.Customer) })
	return merged
}

// addShape adds two shapes part by part.
func addShape(a, b structs.Shape) structs.Shape {
	return structs.Shape{
		Racks:        a.Racks + b.Racks,
		Workers:      a.Workers + b.Workers,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

// slots splits a shape into slots by level.
func (l *Ledger) slots(s structs.Shape) [maxLevels]int {
	var slots [maxLevels]int
	slots[l.rackLevel] = max(s.Racks, 0)
	slots[l.workerLevel] = max(s.Workers, 0)
	remaining := max(s.Accelerators, 0)
	for level := l.maxCellLevel; level >= 0; level-- {
		slots[level] += remaining >> level
		remaining &= 1<<level - 1
	}
	return slots
}

// Customer returns the index of a customer's account.
func (l *Ledger) Customer(name string) (int, bool) {
	i, ok := l.accountIndex[name]
	return i, ok
}

// Missing returns the part of a customer's shape that was dropped because it does not
// fit into the healthy workers.
func (l *Ledger) Missing(customer int) structs.Shape {
	return l.accounts[customer].missing
}

// OpenSlotSizes returns the sizes of the customer's open slots in accelerators, the
// largest first.
func (l *Ledger) OpenSlotSizes(customer int) []int {
	var sizes []int
	for level := l.rackLevel; level >= 0; level-- {
		for range l.accounts[customer].open[level] {
			sizes = append(sizes, l.size(level))
		}
	}
	return sizes
}

// size returns the number of accelerators of a slot.
func (l *Ledger) size(level int) int {
	switch level {
	case l.rackLevel:
		return l.workersPerRack * l.perWorker
	case l.workerLevel:
		return l.perWorker
	default:
		return 1 << level
	}
}

// Bound returns the number of accelerators in the customer's blocks.
func (l *Ledger) Bound(customer int) int {
	return l.accounts[customer].bound
}

// Owned returns the accelerators of a worker in blocks of the customer.
func (l *Ledger) Owned(customer, worker int) Mask {
	w := &l.workers[worker]
	if l.racks[w.rack].owner == customer || w.owner == customer {
		return w.usable
	}
	return w.cellsOf(customer)
}

// cellsOf returns the accelerators in bound cells of the customer.
func (w *workerState) cellsOf(customer int) Mask {
	var own Mask
	for _, c := range w.cells {
		if c.customer == customer {
			own |= c.mask
		}
	}
	return own
}

// BoundMask returns the accelerators of a worker in blocks of any customer.
func (l *Ledger) BoundMask(worker int) Mask {
	w := &l.workers[worker]
	if l.racks[w.rack].owner != noOwner {
		return w.usable
	}
	return w.bound
}

// OwnedByOthers returns the accelerators of a worker in blocks of other customers.
func (l *Ledger) OwnedByOthers(customer, worker int) Mask {
	w := &l.workers[worker]
	owner := l.racks[w.rack].owner
	if owner == noOwner {
		owner = w.owner
	}
	if owner == customer {
		return 0
	}
	if owner != noOwner {
		return w.usable
	}
	return w.bound &^ w.cellsOf(customer)
}

// MayFit reports whether the customer has an open slot, or enough open slots, for a
// gang of n accelerators. Unused accelerators in blocks that are bound already do not
// count.
func (l *Ledger) MayFit(customer, n int) bool {
	open := &l.accounts[customer].open
	if n > l.perWorker*l.workersPerRack {
		return l.openCapacity(customer, l.rackLevel) >= n
	}
	if open[l.rackLevel] > 0 {
		return true
	}
	if n > l.perWorker {
		return l.openCapacity(customer, l.workerLevel) >= n
	}
	return open[l.workerLevel] > 0 || l.openCapacity(customer, l.maxCellLevel) >= n
}

// openCapacity returns the number of accelerators of the customer's open slots up to
// a level.
func (l *Ledger) openCapacity(customer, level int) int {
	capacity := 0
	for ; level >= 0; level-- {
		capacity += l.accounts[customer].open[level] * l.size(level)
	}
	return capacity
}

// SlotFor returns the level of the smallest open slot that holds a gang of n
// accelerators, or the level of a rack slot if there is none.
func (l *Ledger) SlotFor(customer, n int) int {
	for level := range l.rackLevel {
		if l.accounts[customer].open[level] > 0 && l.size(level) >= n {
			return level
		}
	}
	return l.rackLevel
}

// Bindable returns the accelerators of a worker in blocks of a level to which a slot
// of the customer can be bound: each accelerator of such a block is available or in
// a block of the customer already.
func (l *Ledger) Bindable(customer, worker, level int, available Mask) Mask {
	usable := l.workers[worker].usable
	available |= l.Owned(customer, worker)
	if usable&^available == 0 {
		return usable
	}
	if level > l.maxCellLevel {
		return 0
	}
	return fullCells(available, level)
}
