// Package pqueue is a priority queue whose items can be moved and removed
// while they wait. It adds types and positions to container/heap. Push, Pop,
// Fix and Remove cost logarithmic time.
package pqueue

import (
	"container/heap"
	"iter"
)

// Queue orders items by a comparison. Use New.
type Queue[T any] struct{ items items[T] }

// New returns an empty queue. Before reports whether an item comes out before
// another. Moved, unless it is nil, is told the position of an item whenever
// it changes, which Fix and Remove need.
func New[T any](before func(a, b T) bool, moved func(item T, position int)) *Queue[T] {
	return &Queue[T]{items: items[T]{before: before, moved: moved}}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items.list) }

// Push adds an item.
func (q *Queue[T]) Push(item T) { heap.Push(&q.items, item) }

// First returns the item that comes out next.
func (q *Queue[T]) First() (item T, ok bool) {
	if q.Len() == 0 {
		return item, false
	}
	return q.items.list[0], true
}

// Pop removes and returns the item that comes out next.
func (q *Queue[T]) Pop() (item T, ok bool) {
	if q.Len() == 0 {
		return item, false
	}
	return heap.Pop(&q.items).(T), true
}

// Fix restores the order after the item at the position has changed.
func (q *Queue[T]) Fix(position int) { heap.Fix(&q.items, position) }

// Remove removes the item at the position.
func (q *Queue[T]) Remove(position int) { heap.Remove(&q.items, position) }

// RemoveIf removes the items that the function selects, in linear time, and
// returns how many there were.
func (q *Queue[T]) RemoveIf(selects func(T) bool) int {
	before := q.Len()
	kept := q.items.list[:0]
	for _, item := range q.items.list {
		if !selects(item) {
			kept = append(kept, item)
		}
	}
	clear(q.items.list[len(kept):])
	q.items.list = kept
	heap.Init(&q.items)
	for position, item := range kept {
		q.items.tell(item, position)
	}
	return before - len(kept)
}

// All lists the items in no particular order. The queue must not change
// meanwhile.
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

func (s *items[T]) tell(item T, position int) {
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
	s.tell(s.list[i], i)
	s.tell(s.list[j], j)
}

// Push implements heap.Interface.
func (s *items[T]) Push(x any) {
	item := x.(T)
	s.tell(item, len(s.list))
	s.list = append(s.list, item)
}

// Pop implements heap.Interface.
func (s *items[T]) Pop() any {
	last := len(s.list) - 1
	item := s.list[last]
	var none T
	s.list[last] = none
	s.list = s.list[:last]
	return item
}
