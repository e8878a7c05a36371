// Package lease implements a table of leases that holders renew before they
// expire. A Table reads no clock; the caller passes the current time as the
// duration since any monotonic origin. The cost of a call is logarithmic in the
// number of leases. Expired costs logarithmic time for each lease that it
// returns and nothing for the others.
//
// Each lease has a fencing token that is greater than all tokens granted
// before. A resource that stores the highest token it has received can refuse
// a holder whose lease expired while the holder was paused. Tokens are unique
// across leaders if each leader starts its table with FirstToken of its term.
package lease

import (
	"fmt"
	"time"

	"cranberrydrum.dev/coord/pqueue"
)

// tokenBitsPerTerm is the number of token bits within one term. A leader can
// grant 2^40 tokens, which is 1,000 grants per second for 34 years.
const tokenBitsPerTerm = 40

// FirstToken returns a token that is greater than all tokens of earlier terms.
func FirstToken(term uint64) uint64 { return term << tokenBitsPerTerm }

// Lease is a granted lease.
type Lease struct {
	Holder string
	Token  uint64
	// Expires is the last time at which the lease is valid.
	Expires time.Duration
}

// HeldError reports a grant to a holder that already has a lease.
type HeldError struct {
	Lease Lease
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("lease: %s already holds a lease with token %d", e.Lease.Holder, e.Lease.Token)
}

// NotHeldError reports a renewal or release by a holder that has no lease with
// the given token. Current is the token of the holder's lease, or zero if it
// has no valid lease.
type NotHeldError struct {
	Holder  string
	Token   uint64
	Current uint64
}

// Error implements error.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("lease: %s holds no lease with token %d; current token is %d", e.Holder, e.Token, e.Current)
}

// TokenError reports the adoption of a lease with an invalid token. Last is the
// value of the token counter.
type TokenError struct {
	Token uint64
	Last  uint64
}

// Error implements error.
func (e *TokenError) Error() string {
	return fmt.Sprintf("lease: invalid token %d; last granted token is %d", e.Token, e.Last)
}

// entry is a lease with its position in the expiry queue.
type entry struct {
	Lease
	position int
}

func (e *entry) setPosition(position int) { e.position = position }

// expiresBefore orders leases by expiry time, then by holder.
func (e *entry) expiresBefore(other *entry) bool {
	if e.Expires != other.Expires {
		return e.Expires < other.Expires
	}
	return e.Holder < other.Holder
}

// Table stores at most one lease for each holder.
type Table struct {
	entries   map[string]*entry
	byExpiry  *pqueue.Queue[*entry]
	lastToken uint64
}

// New returns an empty table whose first token is greater than lastToken.
func New(lastToken uint64) *Table {
	return &Table{
		entries:   map[string]*entry{},
		byExpiry:  pqueue.New((*entry).expiresBefore, (*entry).setPosition),
		lastToken: lastToken,
	}
}

// Len returns the number of leases, including expired ones that Expired has
// not returned yet.
func (t *Table) Len() int { return len(t.entries) }

// LastToken returns the value of the token counter, which is the highest token
// granted so far.
func (t *Table) LastToken() uint64 { return t.lastToken }

// Advance raises the token counter to lastToken, for example after another
// table has granted tokens.
func (t *Table) Advance(lastToken uint64) { t.lastToken = max(t.lastToken, lastToken) }

// Grant grants a new lease. It returns a *HeldError if the holder has a lease
// that Expired has not returned yet, even if that lease has expired: the caller
// must handle its expiry first.
func (t *Table) Grant(now time.Duration, holder string, duration time.Duration) (Lease, error) {
	if held := t.entries[holder]; held != nil {
		return Lease{}, &HeldError{Lease: held.Lease}
	}
	t.lastToken++
	return t.insert(Lease{Holder: holder, Token: t.lastToken, Expires: now + duration}), nil
}

// Adopt adds a lease that an earlier leader granted and that the holder
// reported to the new leader. It raises the token counter to the token of the
// lease. It returns a *TokenError if the token is zero.
func (t *Table) Adopt(now time.Duration, holder string, token uint64, duration time.Duration) (Lease, error) {
	if held := t.entries[holder]; held != nil {
		return Lease{}, &HeldError{Lease: held.Lease}
	}
	if token == 0 {
		return Lease{}, &TokenError{Token: token, Last: t.lastToken}
	}
	t.Advance(token)
	return t.insert(Lease{Holder: holder, Token: token, Expires: now + duration}), nil
}

func (t *Table) insert(l Lease) Lease {
	e := &entry{Lease: l}
	t.entries[l.Holder] = e
	t.byExpiry.Push(e)
	return l
}

// Renew extends a lease to now plus duration. An expired lease is not renewed,
// because its expiry may have been handled already. A renewal never shortens a
// lease.
func (t *Table) Renew(now time.Duration, holder string, token uint64, duration time.Duration) (Lease, error) {
	e, err := t.find(holder, token)
	if err != nil {
		return Lease{}, err
	}
	if e.Expires < now {
		return Lease{}, &NotHeldError{Holder: holder, Token: token}
	}
	e.Expires = max(e.Expires, now+duration)
	t.byExpiry.Fix(e.position)
	return e.Lease, nil
}

// Release removes a lease before it expires.
func (t *Table) Release(holder string, token uint64) error {
	e, err := t.find(holder, token)
	if err != nil {
		return err
	}
	t.remove(e)
	return nil
}

// Get returns the lease of a holder if it is valid at the time now.
func (t *Table) Get(now time.Duration, holder string) (Lease, bool) {
	e := t.entries[holder]
	if e == nil || e.Expires < now {
		return Lease{}, false
	}
	return e.Lease, true
}

// Expired removes and returns the leases that expired before now, ordered by
// expiry time, then by holder.
func (t *Table) Expired(now time.Duration) []Lease {
	var out []Lease
	for {
		e, ok := t.byExpiry.First()
		if !ok || e.Expires >= now {
			return out
		}
		t.remove(e)
		out = append(out, e.Lease)
	}
}

// NextExpiry returns the earliest expiry time of all leases, for a timer, and
// false if there are no leases.
func (t *Table) NextExpiry() (time.Duration, bool) {
	e, ok := t.byExpiry.First()
	if !ok {
		return 0, false
	}
	return e.Expires, true
}

func (t *Table) find(holder string, token uint64) (*entry, error) {
	e := t.entries[holder]
	if e == nil {
		return nil, &NotHeldError{Holder: holder, Token: token}
	}
	if e.Token != token {
		return nil, &NotHeldError{Holder: holder, Token: token, Current: e.Token}
	}
	return e, nil
}

func (t *Table) remove(e *entry) {
	t.byExpiry.Remove(e.position)
	delete(t.entries, e.Holder)
}
