package routing

import (
	"slices"
	"strconv"
	"strings"
)

// Host holds the properties of an entry host that affect the placement of replicas.
type Host struct {
	ID     string
	Domain string
	Region string
	// Disk tells whether the host has a data directory. Only such hosts hold
	// replicas.
	Disk bool
}

// ReplicaShortage is the error for a failure domain for which the full set of two
// local replicas and a remote one is not possible. The set returned with it is the
// best one available.
type ReplicaShortage struct {
	Domain string
	// Local and Remote count the hosts with a disk inside and outside the domain.
	Local, Remote int
	// Replicas is the size of the set that was chosen.
	Replicas int
}

// Error implements the error interface.
func (e *ReplicaShortage) Error() string {
	return "failure domain " + e.Domain + " has " + strconv.Itoa(e.Local) + " local and " +
		strconv.Itoa(e.Remote) + " remote hosts with a disk; number of replicas chosen: " + strconv.Itoa(e.Replicas)
}

const (
	localReplicas  = 2
	fullReplicaSet = 3
)

// ReplicaHosts returns the initial replicas of a failure domain's log: two
// local hosts with a disk, followed by one host with a disk in another failure
// domain, in the same region if possible. The choice spreads the logs of all
// domains over the hosts and depends only on the set of hosts.
//
// The set has three members or one, because a set of two loses its quorum when
// either fails. If it is not the full set, the error is a *ReplicaShortage. Without
// a local host with a disk the set is empty.
func ReplicaHosts(domain string, hosts []Host) ([]string, error) {
	candidates := withDisk(hosts)
	load := map[string]int{}
	for _, current := range domainsOf(candidates) {
		set, err := chooseReplicas(current, candidates, load)
		if current == domain {
			return set, err
		}
		for _, id := range set {
			load[id]++
		}
	}
	return nil, &ReplicaShortage{Domain: domain, Remote: len(candidates)}
}

func withDisk(hosts []Host) []Host {
	var result []Host
	for _, host := range hosts {
		if host.Disk {
			result = append(result, host)
		}
	}
	slices.SortFunc(result, func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(result, func(a, b Host) bool { return a.ID == b.ID })
}

func domainsOf(hosts []Host) []string {
	var domains []string
	for _, host := range hosts {
		domains = append(domains, host.Domain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// chooseReplicas selects the replicas of one domain, given the number of logs that
// each host already holds.
func chooseReplicas(domain string, hosts []Host, load map[string]int) ([]string, error) {
	local, remote := rankHosts(domain, hosts, load)
	shortage := &ReplicaShortage{Domain: domain, Local: len(local), Remote: len(remote)}
	if len(local) >= localReplicas && len(remote) > 0 {
		return []string{local[0].ID, local[1].ID, remote[0].ID}, nil
	}
	set := append(slices.Clone(local), remote...)
	size := 1
	if len(set) >= fullReplicaSet {
		size = fullReplicaSet
	}
	shortage.Replicas = size
	ids := make([]string, 0, size)
	for _, host := range set[:size] {
		ids = append(ids, host.ID)
	}
	return ids, shortage
}

// rankHosts orders the hosts inside and outside the domain by preference. Remote
// hosts of the same region come first, because the links between regions are slow.
func rankHosts(domain string, hosts []Host, load map[string]int) (local, remote []Host) {
	for _, host := range hosts {
		if host.Domain == domain {
			local = append(local, host)
		} else {
			remote = append(remote, host)
		}
	}
	region := local[0].Region
	byLoad := func(a, b Host) int { return load[a.ID] - load[b.ID] }
	slices.SortStableFunc(local, byLoad)
	slices.SortStableFunc(remote, func(a, b Host) int {
		if (a.Region == region) != (b.Region == region) {
			if a.Region == region {
				return -1
			}
			return 1
		}
		return byLoad(a, b)
	})
	return local, remote
}
