package registry

import (
	"bytes"
	"container/list"
	"sort"
	"time"

	"cranberrydrum.dev/coord/pqueue"
)

// MaxIDBytes bounds the length of an id.
const MaxIDBytes = 256

// record is what the registry knows about one id.
type record struct {
	entry Entry
	// born is the local time of the announcement: receipt minus age.
	born time.Duration
	// dead is true for tombstones (expired or left).
	dead bool
	// deadline is when a live record expires or a tombstone is forgotten.
	deadline time.Duration
	revision uint64
	material uint64
	// position is the index in the queue of deadlines.
	position int
	// element is the place in the list ordered by revision.
	element *list.Element
}

func (r *record) setPosition(position int) { r.position = position }

// isDueBefore orders records by deadline, then id.
func (r *record) isDueBefore(other *record) bool {
	if r.deadline != other.deadline {
		return r.deadline < other.deadline
	}
	return r.entry.ID < other.entry.ID
}

// Registry holds the newest announcement of each id.
type Registry struct {
	cfg       Config
	records   map[string]*record
	deadlines *pqueue.Queue[*record]
	// changes holds *record by revision, oldest first.
	changes  *list.List
	revision uint64
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	return &Registry{
		cfg:       cfg,
		records:   map[string]*record{},
		deadlines: pqueue.New((*record).isDueBefore, (*record).setPosition),
		changes:   list.New(),
	}
}

// Len returns the number of live entries and tombstones.
func (r *Registry) Len() int { return len(r.records) }

// Revision returns the local revision of the last change.
func (r *Registry) Revision() uint64 { return r.revision }

// Merge adds announcements received from servers or other hosts.
func (r *Registry) Merge(now time.Duration, entries []Entry) MergeResult {
	var out MergeResult
	for _, e := range entries {
		e.TTL = e.TTL.Truncate(time.Millisecond)
		switch {
		case !r.valid(&e):
			out.Rejected++
		default:
			r.mergeOne(now, e, &out)
		}
	}
	return out
}

func (r *Registry) valid(e *Entry) bool {
	named := e.ID != "" && len(e.ID) <= MaxIDBytes
	state := e.State >= Up && e.State <= Left
	timed := e.TTL > 0 && e.TTL <= r.cfg.MaxTTL && e.Age >= 0
	return named && state && timed && len(e.Payload) <= r.cfg.MaxPayloadBytes
}

func (r *Registry) mergeOne(now time.Duration, e Entry, out *MergeResult) {
	born := now - e.Age
	known := r.records[e.ID]
	if known == nil {
		r.mergeNew(now, born, e, out)
		return
	}
	switch order := known.entry.Version().Compare(e.Version()); {
	case order < 0:
		out.Applied++
		r.replace(known, now, born, e)
	case order == 0:
		out.Stale++
		r.makeOlder(known, born)
	default:
		out.Stale++
	}
}

// mergeNew adds an id unless its announcement has ended already.
func (r *Registry) mergeNew(now, born time.Duration, e Entry, out *MergeResult) {
	rec := &record{entry: e, born: born, dead: e.State == Left}
	rec.deadline = r.deadlineOf(rec)
	if rec.deadline < now {
		out.Stale++
		return
	}
	if len(r.records) >= r.cfg.MaxEntries {
		out.Rejected++
		return
	}
	out.Applied++
	rec.entry.Payload = bytes.Clone(e.Payload)
	r.records[e.ID] = rec
	rec.element = r.changes.PushBack(rec)
	r.deadlines.Push(rec)
	r.touch(rec, true)
}

// replace stores a newer version of a known id.
func (r *Registry) replace(rec *record, now, born time.Duration, e Entry) {
	old := rec.entry
	wasDead := rec.dead
	rec.entry = e
	rec.entry.Payload = bytes.Clone(e.Payload)
	rec.born = born
	rec.dead = e.State == Left || born+e.TTL < now
	rec.deadline = r.deadlineOf(rec)
	r.deadlines.Fix(rec.position)
	same := old.Incarnation == e.Incarnation && old.State == e.State && old.TTL == e.TTL
	same = same && wasDead == rec.dead && bytes.Equal(old.Payload, e.Payload)
	r.touch(rec, !same)
}

// makeOlder takes the greater age of two copies of one announcement. Copies
// only look too young, and an age that could shrink would let copies that
// travel in circles live forever.
func (r *Registry) makeOlder(rec *record, born time.Duration) {
	if rec.dead || born >= rec.born {
		return
	}
	rec.born = born
	rec.deadline = r.deadlineOf(rec)
	r.deadlines.Fix(rec.position)
}

// deadlineOf returns when a live record expires or a tombstone is forgotten.
func (r *Registry) deadlineOf(rec *record) time.Duration {
	if !rec.dead {
		return rec.born + rec.entry.TTL
	}
	return rec.born + rec.entry.TTL + r.cfg.TombstoneRetention
}

func (r *Registry) touch(rec *record, material bool) {
	r.revision++
	rec.revision = r.revision
	if material {
		rec.material = r.revision
	}
	r.changes.MoveToBack(rec.element)
}

// Expire marks entries that were not renewed as expired, forgets old
// tombstones and returns the entries that expired, in order of expiry.
func (r *Registry) Expire(now time.Duration) []Entry {
	var out []Entry
	for {
		rec, ok := r.deadlines.First()
		if !ok || rec.deadline >= now {
			return out
		}
		if rec.dead {
			r.forget(rec)
			continue
		}
		rec.dead = true
		rec.deadline = r.deadlineOf(rec)
		r.deadlines.Fix(rec.position)
		r.touch(rec, true)
		out = append(out, rec.at(now))
	}
}

func (r *Registry) forget(rec *record) {
	r.deadlines.Remove(rec.position)
	r.changes.Remove(rec.element)
	delete(r.records, rec.entry.ID)
}

// live reports whether the announcement holds at a time, even if Expire has
// not been called since its deadline.
func (rec *record) live(now time.Duration) bool {
	return !rec.dead && now <= rec.deadline
}

// at returns the entry with its age at a time.
func (rec *record) at(now time.Duration) Entry {
	e := rec.entry
	e.Age = max(0, now-rec.born)
	return e
}

// Get returns the live entry of an id.
func (r *Registry) Get(now time.Duration, id string) (Entry, bool) {
	rec := r.records[id]
	if rec == nil || !rec.live(now) {
		return Entry{}, false
	}
	return rec.at(now), true
}

// Live returns all live entries, sorted by id.
func (r *Registry) Live(now time.Duration) []Entry {
	var out []Entry
	for _, rec := range r.records {
		if rec.live(now) {
			out = append(out, rec.at(now))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Changes returns the entries changed after the given local revision, oldest
// change first, and the current revision. Forgotten tombstones are not
// reported, so a reader that was away for longer than the tombstone retention
// must start again from Live.
func (r *Registry) Changes(now time.Duration, since uint64) ([]Change, uint64) {
	var out []Change
	element := r.changes.Back()
	for element != nil && element.Value.(*record).revision > since {
		rec := element.Value.(*record)
		c := Change{Entry: rec.at(now), Revision: rec.revision, Material: rec.material}
		c.Expired = !rec.live(now)
		out = append(out, c)
		element = element.Prev()
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out, r.revision
}
