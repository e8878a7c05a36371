// Package lease keeps leases that holders renew before they end. A Table is
// pure: the caller passes the time in, from any monotonic origin. The cost of
// a call is logarithmic in the number of leases, and finding expired leases
// costs time for those leases only.
//
// Each grant carries a fencing token that is greater than all tokens granted
// before. A resource that remembers the highest token it has seen can refuse
// a holder whose lease ended while it was paused. Tokens stay unique across
// leaders if each one starts its table with FirstToken of its term.
package lease

import (
	"fmt"
	"time"

	"cranberrydrum.dev/coord/pqueue"
)

// tokenBitsPerTerm is how many tokens, as a power of two, one leader can
// grant: 2^40 is 1,000 grants per second for 34 years.
const tokenBitsPerTerm = 40

// FirstToken returns a token above all those of earlier terms.
func FirstToken(term uint64) uint64 { return term << tokenBitsPerTerm }

// Lease is a granted lease.
type Lease struct {
	Holder string
	Token  uint64
	// Ends is the time up to which the lease holds, inclusively.
	Ends time.Duration
}

// HeldError reports a grant to a holder that has a lease.
type HeldError struct {
	Lease Lease
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("lease: %s holds a lease with token %d", e.Lease.Holder, e.Lease.Token)
}

// NotHeldError reports a renewal or release of a lease that the holder does
// not have, or has under another token. Current is zero if there is none.
type NotHeldError struct {
	Holder  string
	Token   uint64
	Current uint64
}

// Error implements error.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("lease: %s does not hold token %d, current is %d", e.Holder, e.Token, e.Current)
}

// TokenError reports a token that does not grow.
type TokenError struct {
	Token uint64
	Last  uint64
}

// Error implements error.
func (e *TokenError) Error() string {
	return fmt.Sprintf("lease: token %d is not above %d", e.Token, e.Last)
}

// item is a lease with its position in the queue.
type item struct {
	Lease
	position int
}

func (it *item) setPosition(position int) { it.position = position }

// endsBefore orders leases by end, then holder.
func (it *item) endsBefore(other *item) bool {
	if it.Ends != other.Ends {
		return it.Ends < other.Ends
	}
	return it.Holder < other.Holder
}

// Table holds at most one lease for each holder.
type Table struct {
	items map[string]*item
	ends  *pqueue.Queue[*item]
	last  uint64
}

// New returns an empty table whose first token is above the given one.
func New(last uint64) *Table {
	return &Table{
		items: map[string]*item{},
		ends:  pqueue.New((*item).endsBefore, (*item).setPosition),
		last:  last,
	}
}

// Len returns the number of leases, including ended ones that Expired has not
// returned yet.
func (t *Table) Len() int { return len(t.items) }

// LastToken returns the highest token granted.
func (t *Table) LastToken() uint64 { return t.last }

// Advance raises the token counter, for example after another table granted
// tokens.
func (t *Table) Advance(last uint64) { t.last = max(t.last, last) }

// Grant gives a new lease. It returns a *HeldError if the holder has one that
// Expired has not returned yet, even if it has ended: its end must be handled
// first.
func (t *Table) Grant(now time.Duration, holder string, duration time.Duration) (Lease, error) {
	if held := t.items[holder]; held != nil {
		return Lease{}, &HeldError{Lease: held.Lease}
	}
	t.last++
	return t.insert(Lease{Holder: holder, Token: t.last, Ends: now + duration}), nil
}

// Adopt adds a lease that an earlier leader granted, as a new leader learns it
// from its holder. The token counter is raised to its token.
func (t *Table) Adopt(now time.Duration, holder string, token uint64, duration time.Duration) (Lease, error) {
	if held := t.items[holder]; held != nil {
		return Lease{}, &HeldError{Lease: held.Lease}
	}
	if token == 0 {
		return Lease{}, &TokenError{Token: token, Last: t.last}
	}
	t.Advance(token)
	return t.insert(Lease{Holder: holder, Token: token, Ends: now + duration}), nil
}

func (t *Table) insert(l Lease) Lease {
	it := &item{Lease: l}
	t.items[l.Holder] = it
	t.ends.Push(it)
	return l
}

// Renew extends a lease from now on. A lease that has ended is not renewed,
// because its end may have been acted on. A renewal never shortens a lease.
func (t *Table) Renew(now time.Duration, holder string, token uint64, duration time.Duration) (Lease, error) {
	it, err := t.find(holder, token)
	if err != nil {
		return Lease{}, err
	}
	if it.Ends < now {
		return Lease{}, &NotHeldError{Holder: holder, Token: token}
	}
	it.Ends = max(it.Ends, now+duration)
	t.ends.Fix(it.position)
	return it.Lease, nil
}

// Release ends a lease at once.
func (t *Table) Release(holder string, token uint64) error {
	it, err := t.find(holder, token)
	if err != nil {
		return err
	}
	t.remove(it)
	return nil
}

// Get returns the lease of a holder if it holds at a time.
func (t *Table) Get(now time.Duration, holder string) (Lease, bool) {
	it := t.items[holder]
	if it == nil || it.Ends < now {
		return Lease{}, false
	}
	return it.Lease, true
}

// Expired removes and returns the leases that ended before now, in order of
// their end, then holder.
func (t *Table) Expired(now time.Duration) []Lease {
	var out []Lease
	for {
		it, ok := t.ends.First()
		if !ok || it.Ends >= now {
			return out
		}
		t.remove(it)
		out = append(out, it.Lease)
	}
}

// NextEnd returns when the next lease ends, for a timer.
func (t *Table) NextEnd() (time.Duration, bool) {
	it, ok := t.ends.First()
	if !ok {
		return 0, false
	}
	return it.Ends, true
}

func (t *Table) find(holder string, token uint64) (*item, error) {
	it := t.items[holder]
	if it == nil {
		return nil, &NotHeldError{Holder: holder, Token: token}
	}
	if it.Token != token {
		return nil, &NotHeldError{Holder: holder, Token: token, Current: it.Token}
	}
	return it, nil
}

func (t *Table) remove(it *item) {
	t.ends.Remove(it.position)
	delete(t.items, it.Holder)
}
