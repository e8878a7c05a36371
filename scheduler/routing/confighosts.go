package routing

import (
	"maps"
	"slices"
)

// ConfigHosts returns the initial replicas of the configuration's log: all
// hosts with a disk, at most one per failure domain more than any other, so
// that the loss of one failure domain leaves a majority. The size is odd where
// possible, because an even set survives no more losses than the next smaller.
func ConfigHosts(hosts []Host) []string {
	byDomain := map[string][]string{}
	for _, h := range hosts {
		if h.Disk {
			byDomain[h.Domain] = append(byDomain[h.Domain], h.ID)
		}
	}
	domains := slices.Sorted(maps.Keys(byDomain))
	for _, d := range domains {
		slices.Sort(byDomain[d])
	}
	chosen := takeInTurn(domains, byDomain, maxConfigHosts)
	if len(chosen) > 1 && len(chosen)%2 == 0 {
		chosen = chosen[:len(chosen)-1]
	}
	return chosen
}

// maxConfigHosts bounds the replicas of the configuration; more would add
// messages over the region link without surviving more of the stated faults.
const maxConfigHosts = 5

// takeInTurn takes one host of each failure domain in turn.
func takeInTurn(domains []string, byDomain map[string][]string, limit int) []string {
	var chosen []string
	for round := 0; ; round++ {
		before := len(chosen)
		for _, d := range domains {
			if round < len(byDomain[d]) && len(chosen) < limit {
				chosen = append(chosen, byDomain[d][round])
			}
		}
		if len(chosen) == before {
			return chosen
		}
	}
}
