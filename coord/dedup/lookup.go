package dedup

// Lookup returns the decision that Begin would return for a key that is
// recorded, without changing anything.
func (t *Table) Lookup(key string, digest Digest) (Decision, bool) { return Decision{}, false }
