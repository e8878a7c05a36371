package registry

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// entryOverheadBytes is the upper bound of the encoded size of an entry without
// its id and payload: array header 1, id header 3, incarnation 9, sequence 9,
// state 1, time to live 9, age 9, payload header 5.
const entryOverheadBytes = 1 + 3 + 9 + 9 + 1 + 9 + 9 + 5

// EncodedBytes returns an upper bound of the encoded size of the entry.
func (e Entry) EncodedBytes() int {
	return entryOverheadBytes + len(e.ID) + len(e.Payload)
}

// Version returns the version of the entry.
func (e Entry) Version() Version {
	return Version{ID: e.ID, Incarnation: e.Incarnation, Sequence: e.Sequence, State: e.State}
}

// Compare orders versions of one id, older first: by incarnation, then state,
// then sequence. See the package comment for the reason.
func (v Version) Compare(other Version) int {
	return cmp.Or(
		cmp.Compare(v.Incarnation, other.Incarnation),
		cmp.Compare(v.State, other.State),
		cmp.Compare(v.Sequence, other.Sequence),
	)
}

// Digest returns the versions of all live entries and tombstones, sorted by id.
func (r *Registry) Digest() []Version {
	out := make([]Version, 0, len(r.records))
	for _, rec := range r.records {
		out = append(out, rec.entry.Version())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Delta returns the entries that are newer than the digest of another host, up
// to maxBytes when encoded, and reports whether more remain. Entries that have
// left come first, then draining entries, then up entries; within a state the
// oldest local revision comes first. Expired entries are not sent, because the
// other host expires them itself. An entry larger than maxBytes is never sent.
func (r *Registry) Delta(now time.Duration, digest []Version, maxBytes int) (entries []Entry, more bool) {
	size := 0
	for _, rec := range r.newerRecords(now, digest) {
		size += rec.entry.EncodedBytes()
		if size > maxBytes {
			return entries, true
		}
		entries = append(entries, rec.at(now))
	}
	return entries, false
}

// newerRecords returns the records to send for a digest, in sending order.
func (r *Registry) newerRecords(now time.Duration, digest []Version) []*record {
	known := make(map[string]Version, len(digest))
	for _, v := range digest {
		known[v.ID] = v
	}
	var out []*record
	for _, rec := range r.records {
		v, ok := known[rec.entry.ID]
		if ok && v.Compare(rec.entry.Version()) >= 0 {
			continue
		}
		if rec.live(now) || (rec.entry.State == Left && now <= rec.deadline) {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.entry.State, a.entry.State), cmp.Compare(a.revision, b.revision))
	})
	return out
}
