package preemption

import "math/bits"

// Victim is a job that would be preempted if one of its units were freed. A unit is
// a worker that can be assigned to the gang as a whole.
type Victim struct {
	// Units is the set of units that the job occupies, one bit each.
	Units uint64
	Cost  Cost
}

// maxExactUnits is the number of units up to which all subsets are compared. A rack
// of 8 workers has at most 70 subsets of one size. Larger racks use a greedy
// choice, because the number of subsets grows exponentially.
const maxExactUnits = 12

// Choose returns the set of k out of n units whose victims cost the least, and the
// cost. Of sets of equal cost it takes the one with the lowest units. It fails if
// k is negative, if there are fewer than k units, or if there are more than 64. With
// more than 12 units the choice is greedy and may not be the cheapest.
func Choose(n, k int, victims []Victim) (units uint64, cost Cost, ok bool) {
	if k > n || n > 64 || k < 0 {
		return 0, Cost{}, false
	}
	if k == 0 {
		return 0, Cost{}, true
	}
	if n <= maxExactUnits {
		units, cost = chooseExact(n, k, victims)
		return units, cost, true
	}
	units, cost = chooseGreedy(n, k, victims)
	return units, cost, true
}

// CostOf returns the cost of freeing a set of units. A victim on several of them
// counts once.
func CostOf(units uint64, victims []Victim) Cost {
	var total Cost
	for _, v := range victims {
		if v.Units&units != 0 {
			total = total.Add(v.Cost)
		}
	}
	return total
}

// chooseExact returns the cheapest of all subsets of k units.
func chooseExact(n, k int, victims []Victim) (best uint64, cost Cost) {
	found := false
	for set := uint64(1)<<k - 1; set < 1<<n; set = nextSubset(set) {
		c := CostOf(set, victims)
		if !found || c.Compare(cost) < 0 {
			found, best, cost = true, set, c
		}
	}
	return best, cost
}

// nextSubset returns the next larger number with the same number of set bits
// (Gosper's hack).
func nextSubset(set uint64) uint64 {
	low := set & -set
	carry := set + low
	return carry | (set^carry)/low>>2
}

// chooseGreedy starts with no units and adds, k times, the unit that raises the cost
// the least.
func chooseGreedy(n, k int, victims []Victim) (chosen uint64, cost Cost) {
	for bits.OnesCount64(chosen) < k {
		best := uint64(0)
		var bestCost Cost
		for i := range n {
			unit := uint64(1) << i
			if chosen&unit != 0 {
				continue
			}
			c := CostOf(chosen|unit, victims)
			if best == 0 || c.Compare(bestCost) < 0 {
				best, bestCost = unit, c
			}
		}
		chosen |= best
		cost = bestCost
	}
	return chosen, cost
}
