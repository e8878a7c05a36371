package fleet

import (
	"slices"

	"cranberrydrum.dev/scheduler/workload"
)

// poolKey identifies the executors of a service that carry a label; the empty label stands for all.
type poolKey struct{ service, label string }

// poolCapacity is the capacity of the executors of a pool, whatever runs there.
type poolCapacity struct {
	// largest is at least what any of them has, of each resource; total is the sum.
	largest, total workload.Resources
}

// poolCapacities holds the capacity of the pools of all known executors. A step that none of them
// can hold is set aside without a comparison with each executor.
type poolCapacities struct {
	byKey map[poolKey]poolCapacity
	// executors are those that are counted, with the number of their descriptions.
	executors    []*executor
	descriptions []int
}

// currentPools returns the capacities of the known executors. They are computed anew once one of them
// has come, gone or changed.
func (c *Controller) currentPools() *poolCapacities {
	if ordered := c.orderedExecutors(); !c.pools.isCurrent(ordered) {
		c.pools = newPoolCapacities(ordered)
	}
	return c.pools
}

func newPoolCapacities(executors []*executor) *poolCapacities {
	p := &poolCapacities{byKey: map[poolKey]poolCapacity{}, executors: executors}
	for _, e := range executors {
		p.descriptions = append(p.descriptions, e.descriptions)
		p.count(poolKey{service: e.service}, e.capacity)
		for n, label := range e.labels {
			if label != "" && !slices.Contains(e.labels[:n], label) {
				p.count(poolKey{service: e.service, label: label}, e.capacity)
			}
		}
	}
	return p
}

func (p *poolCapacities) count(key poolKey, capacity workload.Resources) {
	pool := p.byKey[key]
	pool.largest = pool.largest.Max(capacity)
	pool.total = pool.total.Add(capacity)
	p.byKey[key] = pool
}

// isCurrent reports whether the capacities are those of the given executors.
func (p *poolCapacities) isCurrent(executors []*executor) bool {
	if p == nil || len(p.executors) != len(executors) {
		return false
	}
	for n, e := range executors {
		if p.executors[n] != e || p.descriptions[n] != e.descriptions {
			return false
		}
	}
	return true
}

// mayHold reports whether the executors of a pool could hold a task of a step, or all of a gang, if
// they had no runs. It may report true although the parts that are left on them are too small.
func (p *poolCapacities) mayHold(service string, step *workload.Step) bool {
	pool, known := p.byKey[poolKey{service: service, label: step.Requires}]
	need := step.Allocation()
	if !known || !need.Fits(pool.largest) {
		return false
	}
	return !step.Gang || need.Times(int64(step.Count)).Fits(pool.total)
}
