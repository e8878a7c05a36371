// Package pqueue implements a priority queue whose items can be reordered and
// removed at any position. It adds type safety and position tracking to
// container/heap. Push, Pop, Fix and Remove take logarithmic time.
package pqueue

import (
	"container/heap"
	"iter"
)

// Queue is a priority queue of items. It must be created with New.
type Queue[T any] struct{ items items[T] }

// New returns an empty queue. The before function reports whether a precedes b.
// The moved function, which may be nil, is called with the new position of an
// item whenever the position changes. Fix and Remove need this position.
func New[T any](before func(a, b T) bool, moved func(item T, position int)) *Queue[T] {
	return &Queue[T]{items: items[T]{before: before, moved: moved}}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items.list) }

// Push adds an item.
func (q *Queue[T]) Push(item T) { heap.Push(&q.items, item) }

// First returns the first item without removing it, and false if the queue is
// empty.
func (q *Queue[T]) First() (item T, ok bool) {
	if q.Len() == 0 {
		return item, false
	}
	return q.items.list[0], true
}

// Pop removes and returns the first item. It returns false if the queue is empty.
func (q *Queue[T]) Pop() (item T, ok bool) {
	if q.Len() == 0 {
		return item, false
	}
	return heap.Pop(&q.items).(T), true
}

// Fix restores the order after a change of the item at the position.
func (q *Queue[T]) Fix(position int) { heap.Fix(&q.items, position) }

// Remove removes the item at the position.
func (q *Queue[T]) Remove(position int) { heap.Remove(&q.items, position) }

// RemoveIf removes the items for which the function returns true and returns
// their number. It takes linear time.
func (q *Queue[T]) RemoveIf(matches func(T) bool) int {
	oldLen := q.Len()
	kept := q.items.list[:0]
	for _, item := range q.items.list {
		if !matches(item) {
			kept = append(kept, item)
		}
	}
	clear(q.items.list[len(kept):])
	q.items.list = kept
	heap.Init(&q.items)
	for position, item := range kept {
		q.items.notifyMoved(item, position)
	}
	return oldLen - len(kept)
}

// All iterates over the items in no particular order. The queue must not change
// during the iteration.
func (q *Queue[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, item := range q.items.list {
			if !yield(item) {
				return
			}
		}
	}
}

// items implements heap.Interface.
type items[T any] struct {
	list   []T
	before func(a, b T) bool
	moved  func(item T, position int)
}

func (s *items[T]) notifyMoved(item T, position int) {
	if s.moved != nil {
		s.moved(item, position)
	}
}

// Len implements heap.Interface.
func (s *items[T]) Len() int { return len(s.list) }

// Less implements heap.Interface.
func (s *items[T]) Less(i, j int) bool { return s.before(s.list[i], s.list[j]) }

// Swap implements heap.Interface.
func (s *items[T]) Swap(i, j int) {
	s.list[i], s.list[j] = s.list[j], s.list[i]
	s.notifyMoved(s.list[i], i)
	s.notifyMoved(s.list[j], j)
}

// Push implements heap.Interface.
func (s *items[T]) Push(x any) {
	item := x.(T)
	s.notifyMoved(item, len(s.list))
	s.list = append(s.list, item)
}

// Pop implements heap.Interface.
func (s *items[T]) Pop() any {
	last := len(s.list) - 1
	item := s.list[last]
	var zero T
	s.list[last] = zero
	s.list = s.list[:last]
	return item
}
