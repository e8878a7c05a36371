package pqueue_test

import (
	"cmp"
	"os"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/pqueue"
	"cranberrydrum.dev/coord/testflags"
)

// TestMain sets the seed and the number of rapid checks, unless the command
// line sets them.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "1", "rapid.checks": "1000"})
	os.Exit(m.Run())
}

type entry struct{ rank, number, position int }

func before(a, b *entry) bool { return compare(a, b) < 0 }

func compare(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.number, b.number))
}

// Guards against stale positions, which make Fix and Remove act on another item,
// and against items that are returned in the wrong order. The model is an
// unordered list.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		q := pqueue.New(before, func(e *entry, position int) { e.position = position })
		var model []*entry
		number := 0
		pick := func() *entry {
			if len(model) == 0 {
				t.Skip("empty")
			}
			return model[rapid.IntRange(0, len(model)-1).Draw(t, "item")]
		}
		rank := func() int { return rapid.IntRange(0, 9).Draw(t, "rank") }
		removeFromModel := func(e *entry) {
			model = slices.DeleteFunc(model, func(other *entry) bool { return other == e })
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(*rapid.T) {
				number++
				e := &entry{rank: rank(), number: number}
				q.Push(e)
				model = append(model, e)
			},
			"pop": func(*rapid.T) {
				first, ok := q.Pop()
				g.Expect(ok).To(gomega.Equal(len(model) > 0))
				if ok {
					g.Expect(first).To(gomega.BeIdenticalTo(slices.MinFunc(model, compare)))
					removeFromModel(first)
				}
			},
			"fix": func(*rapid.T) {
				e := pick()
				e.rank = rank()
				q.Fix(e.position)
			},
			"remove": func(*rapid.T) {
				e := pick()
				q.Remove(e.position)
				removeFromModel(e)
			},
			"remove if": func(*rapid.T) {
				limit := rank()
				matches := func(e *entry) bool { return e.rank < limit }
				remaining := slices.DeleteFunc(slices.Clone(model), matches)
				g.Expect(q.RemoveIf(matches)).To(gomega.Equal(len(model) - len(remaining)))
				model = remaining
			},
			"": func(*rapid.T) {
				g.Expect(q.Len()).To(gomega.Equal(len(model)))
				g.Expect(slices.Collect(q.All())).To(gomega.ConsistOf(model))
				if first, ok := q.First(); ok {
					g.Expect(first).To(gomega.BeIdenticalTo(slices.MinFunc(model, compare)))
				}
			},
		})
	})
}
