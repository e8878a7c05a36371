package simnet

// queued is a delivery with its position among deliveries at the same time.
type queued[M any] struct {
	delivery Delivery[M]
	sequence uint64
}

// deliveryQueue implements heap.Interface, ordered by time and sequence.
type deliveryQueue[M any] []queued[M]

func (q deliveryQueue[M]) Len() int { return len(q) }

func (q deliveryQueue[M]) Less(i, j int) bool {
	if q[i].delivery.At != q[j].delivery.At {
		return q[i].delivery.At < q[j].delivery.At
	}
	return q[i].sequence < q[j].sequence
}

func (q deliveryQueue[M]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *deliveryQueue[M]) Push(x any) { *q = append(*q, x.(queued[M])) }

func (q *deliveryQueue[M]) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = queued[M]{}
	*q = (*q)[:last]
	return item
}
