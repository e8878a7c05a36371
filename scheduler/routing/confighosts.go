package routing

import (
	"maps"
	"slices"
)

// ConfigHosts returns the initial replicas of the log of the configuration. They
// are taken from the hosts with a disk, one of each failure domain in rotation, so
// that the loss of one failure domain leaves a majority where the hosts allow it.
// The set has at most maxConfigHosts members. Its size is odd unless it is empty,
// because a set of even size tolerates no more failures than the next smaller one.
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
	chosen := roundRobin(domains, byDomain, maxConfigHosts)
	if len(chosen) > 1 && len(chosen)%2 == 0 {
		chosen = chosen[:len(chosen)-1]
	}
	return chosen
}

// maxConfigHosts bounds the replicas of the configuration. More replicas would add
// messages over the link between the regions without tolerating more of the faults
// that the design covers.
const maxConfigHosts = 5

// roundRobin selects up to limit hosts, one of each failure domain per round.
func roundRobin(domains []string, byDomain map[string][]string, limit int) []string {
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
