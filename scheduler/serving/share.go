package serving

import "slices"

// Share returns the number of slots that self owns when the slots are divided
// between the hosts. The result does not depend on the order of hosts or on
// repeated entries. The shares of all hosts add up to slots, and each host gets
// at least one if there are enough. A host that is not in the list owns none.
func Share(slots int, hosts []string, self string) int {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	rank, found := slices.BinarySearch(sorted, self)
	if !found || slots <= 0 {
		return 0
	}
	share := slots / len(sorted)
	if rank < slots%len(sorted) {
		share++
	}
	return share
}
