package timer

import "time"

// entry is a pending call. Entries that are due at the same time are ordered by seq.
type entry struct {
	at       time.Time
	seq      uint64
	interval time.Duration
	call     func(time.Time)
	index    int
	queued   bool
}

type queue []*entry

// Len implements heap.Interface.Len.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.Less.
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

// Swap implements heap.Interface.Swap.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.Push.
func (q *queue) Push(v any) {
	e := v.(*entry)
	e.index = len(*q)
	e.queued = true
	*q = append(*q, e)
}

// Pop implements heap.Interface.Pop.
func (q *queue) Pop() any {
	o := *q
	e := o[len(o)-1]
	o[len(o)-1] = nil
	e.queued = false
	*q = o[:len(o)-1]
	return e
}
