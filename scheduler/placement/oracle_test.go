package placement_test

import (
	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// block is a set of accelerators by worker.
type block map[string]uint64

// packer searches by brute force for disjoint blocks for all guaranteed slots, such
// that each job inside its guarantee lies in blocks of its customer, and no block
// overlaps a job inside the guarantee of another customer.
type packer struct {
	m            *model
	inside       map[string]bool
	owner        map[string][4]string // customer to which each accelerator's block is given
	insideHolder map[string][4]string // customer of the job inside its guarantee that holds each accelerator
}

// slot is one guaranteed block that is still to be placed.
type slot struct {
	customer string
	size     int // number of accelerators of a cell, or -1 for a worker, -2 for a rack
}

// reclaimable reports whether blocks for all guaranteed slots exist, given the jobs
// inside their guarantee.
func reclaimable(m *model, inside map[string]bool) bool {
	p := &packer{m: m, inside: inside, owner: map[string][4]string{}, insideHolder: map[string][4]string{}}
	for _, r := range m.running {
		if !inside[r.ID] {
			continue
		}
		for _, member := range r.Members {
			held := p.insideHolder[member.Worker]
			for _, a := range member.Accelerators {
				held[a] = r.Spec.Customer
			}
			p.insideHolder[member.Worker] = held
		}
	}
	var slots []slot
	for _, size := range []int{-2, -1, 4, 2, 1} {
		for _, g := range m.rules.Guarantees {
			for range count(g.Shape, size) {
				slots = append(slots, slot{g.Customer, size})
			}
		}
	}
	return p.search(slots)
}

// count returns the number of slots of a size in a shape.
func count(s structs.Shape, size int) int {
	switch size {
	case -2:
		return s.Racks
	case -1:
		return s.Workers
	case 4:
		return s.Accelerators / 4
	default:
		return s.Accelerators / size % 2
	}
}

// search places the slots one after the other with backtracking.
func (p *packer) search(slots []slot) bool {
	if len(slots) == 0 {
		return p.covered()
	}
	for _, b := range p.blocks(slots[0].size) {
		if !p.free(b, slots[0].customer) {
			continue
		}
		p.set(b, slots[0].customer)
		if p.search(slots[1:]) {
			return true
		}
		p.set(b, "")
	}
	return false
}

// covered reports whether all jobs inside their guarantee lie in blocks of their
// customers.
func (p *packer) covered() bool {
	for worker, held := range p.insideHolder {
		for a, customer := range held {
			if customer != "" && p.owner[worker][a] != customer {
				return false
			}
		}
	}
	return true
}

// free reports whether no accelerator of a block is in another block or held by a
// job inside the guarantee of another customer.
func (p *packer) free(b block, customer string) bool {
	for worker, mask := range b {
		for a := range 4 {
			if mask>>a&1 == 0 {
				continue
			}
			held := p.insideHolder[worker][a]
			if p.owner[worker][a] != "" || (held != "" && held != customer) {
				return false
			}
		}
	}
	return true
}

func (p *packer) set(b block, customer string) {
	for worker, mask := range b {
		owner := p.owner[worker]
		for a := range 4 {
			if mask>>a&1 == 1 {
				owner[a] = customer
			}
		}
		p.owner[worker] = owner
	}
}

// blocks lists all blocks of a size on healthy workers.
func (p *packer) blocks(size int) []block {
	var list []block
	racks := map[string]block{}
	for _, id := range p.m.workerIDs() {
		w := p.m.workers[id]
		if w.Quarantined {
			continue
		}
		if racks[w.Rack] == nil {
			racks[w.Rack] = block{}
		}
		racks[w.Rack][id] = 0xf
		if size == -1 {
			list = append(list, block{id: 0xf})
		}
		for start := 0; size > 0 && start < 4; start += size {
			list = append(list, block{id: (1<<size - 1) << start})
		}
	}
	for _, rack := range []string{"r0", "r1"} {
		if size == -2 && len(racks[rack]) >= p.m.rules.Topology.WorkersPerRack {
			list = append(list, racks[rack])
		}
	}
	return list
}

// minimalVictims reports by brute force whether all victims are needed: without
// any one of them, the job would not fit on healthy accelerators.
func minimalVictims(m *model, job placement.Queued, victims []string) bool {
	for skip := range victims {
		stopped := map[string]bool{}
		for i, v := range victims {
			stopped[v] = i != skip
		}
		if m.placeable(job, stopped) {
			return false
		}
	}
	return true
}
