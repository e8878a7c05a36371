package registry

import (
	"bytes"
	"container/list"
	"sort"
	"time"

	"cranberrydrum.dev/coord/pqueue"
)

// MaxIDBytes is the maximum length of an id in bytes.
const MaxIDBytes = 256

// record is the local state of one id: a live entry or a tombstone.
type record struct {
	entry Entry
	// announcedAt is the local time of the announcement: time of receipt minus
	// age.
	announcedAt time.Duration
	// isTombstone is true if the entry has left or has been marked as expired.
	isTombstone bool
	// deadline is the local time at which a live record expires or a tombstone
	// is removed.
	deadline time.Duration
	// revision and materialRevision are reported in Change.
	revision         uint64
	materialRevision uint64
	// position is the index in Registry.deadlines.
	position int
	// element is the element of Registry.changes.
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
	// changes holds a *record for each id, ordered by revision, oldest first.
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

// Merge applies announcements received from servers or other hosts. It keeps
// the newer version of each id and rounds TTLs down to milliseconds.
func (r *Registry) Merge(now time.Duration, entries []Entry) MergeResult {
	var out MergeResult
	for _, e := range entries {
		e.TTL = e.TTL.Truncate(time.Millisecond)
		switch {
		case !r.valid(&e):
			out.Rejected++
		default:
			r.mergeEntry(now, e, &out)
		}
	}
	return out
}

func (r *Registry) valid(e *Entry) bool {
	validID := e.ID != "" && len(e.ID) <= MaxIDBytes
	validState := e.State >= Up && e.State <= Left
	validTimes := e.TTL > 0 && e.TTL <= r.cfg.MaxTTL && e.Age >= 0
	return validID && validState && validTimes && len(e.Payload) <= r.cfg.MaxPayloadBytes
}

func (r *Registry) mergeEntry(now time.Duration, e Entry, out *MergeResult) {
	announcedAt := now - e.Age
	known := r.records[e.ID]
	if known == nil {
		r.addEntry(now, announcedAt, e, out)
		return
	}
	switch order := known.entry.Version().Compare(e.Version()); {
	case order < 0:
		out.Applied++
		r.replace(known, now, announcedAt, e)
	case order == 0:
		out.Stale++
		r.raiseAge(known, announcedAt)
	default:
		out.Stale++
	}
}

// addEntry adds an unknown id, unless its announcement has already expired or
// its tombstone would already be removed.
func (r *Registry) addEntry(now, announcedAt time.Duration, e Entry, out *MergeResult) {
	rec := &record{entry: e, announcedAt: announcedAt, isTombstone: e.State == Left}
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
	r.recordChange(rec, true)
}

// replace stores a newer version of a known id. A change is material unless it
// only renews the announcement.
func (r *Registry) replace(rec *record, now, announcedAt time.Duration, e Entry) {
	old := rec.entry
	wasTombstone := rec.isTombstone
	rec.entry = e
	rec.entry.Payload = bytes.Clone(e.Payload)
	rec.announcedAt = announcedAt
	rec.isTombstone = e.State == Left || announcedAt+e.TTL < now
	rec.deadline = r.deadlineOf(rec)
	r.deadlines.Fix(rec.position)
	same := old.Incarnation == e.Incarnation && old.State == e.State && old.TTL == e.TTL
	same = same && wasTombstone == rec.isTombstone && bytes.Equal(old.Payload, e.Payload)
	r.recordChange(rec, !same)
}

// raiseAge keeps the greater age of two copies of one announcement. The time in
// transit is not counted, so the age of a copy is only ever too small. If a
// copy could lower the age, copies that circulate between hosts would keep the
// announcement alive forever.
func (r *Registry) raiseAge(rec *record, announcedAt time.Duration) {
	if rec.isTombstone || announcedAt >= rec.announcedAt {
		return
	}
	rec.announcedAt = announcedAt
	rec.deadline = r.deadlineOf(rec)
	r.deadlines.Fix(rec.position)
}

// deadlineOf returns the local time at which a live record expires or a
// tombstone is removed.
func (r *Registry) deadlineOf(rec *record) time.Duration {
	if !rec.isTombstone {
		return rec.announcedAt + rec.entry.TTL
	}
	return rec.announcedAt + rec.entry.TTL + r.cfg.TombstoneRetention
}

// recordChange gives the record the next revision. A change is material if it
// is more than a renewal.
func (r *Registry) recordChange(rec *record, material bool) {
	r.revision++
	rec.revision = r.revision
	if material {
		rec.materialRevision = r.revision
	}
	r.changes.MoveToBack(rec.element)
}

// Expire turns entries that were not renewed into tombstones, removes
// tombstones past their retention and returns the entries that expired, in
// order of expiry.
func (r *Registry) Expire(now time.Duration) []Entry {
	var out []Entry
	for {
		rec, ok := r.deadlines.First()
		if !ok || rec.deadline >= now {
			return out
		}
		if rec.isTombstone {
			r.remove(rec)
			continue
		}
		rec.isTombstone = true
		rec.deadline = r.deadlineOf(rec)
		r.deadlines.Fix(rec.position)
		r.recordChange(rec, true)
		out = append(out, rec.at(now))
	}
}

func (r *Registry) remove(rec *record) {
	r.deadlines.Remove(rec.position)
	r.changes.Remove(rec.element)
	delete(r.records, rec.entry.ID)
}

// live reports whether the announcement is valid at time now. It does not
// depend on Expire having been called since the deadline.
func (rec *record) live(now time.Duration) bool {
	return !rec.isTombstone && now <= rec.deadline
}

// at returns the entry with its age at time now.
func (rec *record) at(now time.Duration) Entry {
	e := rec.entry
	e.Age = max(0, now-rec.announcedAt)
	return e
}

// Get returns the entry of an id if it is live.
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
// change first, and the current revision. Removed tombstones are not reported,
// so a reader that has not called Changes for longer than
// Config.TombstoneRetention must start again from Live.
func (r *Registry) Changes(now time.Duration, since uint64) ([]Change, uint64) {
	var out []Change
	element := r.changes.Back()
	for element != nil && element.Value.(*record).revision > since {
		rec := element.Value.(*record)
		c := Change{Entry: rec.at(now), Revision: rec.revision, MaterialRevision: rec.materialRevision}
		c.Expired = !rec.live(now)
		out = append(out, c)
		element = element.Prev()
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out, r.revision
}
