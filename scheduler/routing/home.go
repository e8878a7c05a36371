package routing

import "github.com/cespare/xxhash/v2"

// HomeDomain returns the failure domain that owns a request key: the one with
// the highest rendezvous hash. Adding or removing a domain moves only the keys
// that this domain owns. The result does not depend on the order of domains; it
// is empty if there are none.
//
// The hash must not change, like a storage format: a change would move keys to
// other domains, where a request could run a second time.
func HomeDomain(key string, domains []string) string {
	best := ""
	var bestHash uint64
	for _, domain := range domains {
		hash := rendezvous(key, domain)
		if best == "" || hash > bestHash || (hash == bestHash && domain < best) {
			best, bestHash = domain, hash
		}
	}
	return best
}

// rendezvous returns the hash of a key and a domain. The length prefix ensures that
// different pairs have different hash inputs.
func rendezvous(key, domain string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	prefix := [2]byte{byte(len(domain) >> 8), byte(len(domain))}
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(domain)
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
