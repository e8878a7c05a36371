package preemption

import "math/bits"

// Victim is a job that occupies some units. A unit is a worker that can be
// given to the gang as a whole.
type Victim struct {
	// Units is the set of occupied units.
	Units uint64
	Cost  Cost
}

// maxExactUnits bounds the units of which all subsets are compared: a rack of 8
// workers has at most 70 subsets of one size. Larger racks use a greedy choice.
const maxExactUnits = 12

// Choose returns the set of k out of n units whose victims cost the least. The
// lowest units win ties. It fails if there are fewer than k units or more than 64.
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

// CostOf returns the cost of freeing a set of units.
func CostOf(units uint64, victims []Victim) Cost {
	var total Cost
	for _, v := range victims {
		if v.Units&units != 0 {
			total = total.Add(v.Cost)
		}
	}
	return total
}

// chooseExact compares all subsets of k units.
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

// nextSubset returns the next larger number with the same number of bits.
func nextSubset(set uint64) uint64 {
	low := set & -set
	carry := set + low
	return carry | (set^carry)/low>>2
}

// chooseGreedy adds the unit that costs the least in addition, k times.
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
