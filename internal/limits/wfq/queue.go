package wfq

import (
	"container/heap"
	"slices"
	"sort"
	"time"
)

const (
	// MaxWeight is the largest weight; greater ones are lowered to it.
	MaxWeight = 1 << 16
	// MaxCost is the largest cost; greater ones are lowered to it.
	MaxCost = 1 << 32
)

// Queue holds items of many teams. It shares the service between the teams by weight, in order of virtual finish times, and
// serves the items of one team in order of their deadlines.
type Queue[T any] struct {
	// MaxPerTeam bounds the items of one team.
	MaxPerTeam int
	// MaxItems bounds all items.
	MaxItems int

	virtualClock uint64
	teams        map[string]*flow[T]
	heads        flows[T]
	count        int
	cost         int64
	weight       int64
}

// flow is the queue of one team, in order of deadlines and, where these are equal, of arrival.
type flow[T any] struct {
	team   string
	weight int64
	cost   int64
	// start is the virtual time at which the first item starts.
	start uint64
	items []item[T]
	index int
}

type item[T any] struct {
	value    T
	cost     int64
	deadline time.Time
}

// Push adds an item to its team's flow and reports whether there was room.
func (q *Queue[T]) Push(team string, weight, cost int64, deadline time.Time, v T) bool {
	f := q.teams[team]
	if q.Full(team) {
		return false
	}
	cost = min(max(cost, 1), MaxCost)
	if f == nil {
		f = q.addTeam(team, min(max(weight, 1), MaxWeight))
	}
	i := f.place(deadline)
	f.items = slices.Insert(f.items, i, item[T]{v, cost, deadline})
	f.cost += cost
	q.cost += cost
	q.count++
	if len(f.items) == 1 {
		heap.Push(&q.heads, f)
	} else if i == 0 {
		heap.Fix(&q.heads, f.index)
	}
	return true
}

// Full reports whether there is no room for another item of a team.
func (q *Queue[T]) Full(team string) bool {
	f := q.teams[team]
	return q.count >= q.MaxItems || f != nil && len(f.items) >= q.MaxPerTeam
}

// Pop removes the first item of the team with the least virtual finish time and reports whether there was one.
func (q *Queue[T]) Pop() (T, bool) {
	var zero T
	if len(q.heads) == 0 {
		return zero, false
	}
	f := q.heads[0]
	v := f.items[0].value
	f.start = f.finish()
	q.virtualClock = max(q.virtualClock, f.start)
	q.removeAt(f, 0)
	q.fixOrder(f)
	return v, true
}

// Ahead returns an upper bound of the cost that is served before a new item of the team starts.
func (q *Queue[T]) Ahead(team string, weight, cost int64, deadline time.Time) int64 {
	w := q.weight
	var own int64
	f := q.teams[team]
	if f != nil {
		own = f.costBefore(f.place(deadline))
		weight = f.weight
	} else {
		weight = min(max(weight, 1), MaxWeight)
		w += weight
	}
	return costAhead(q.cost+cost, own+cost, w, weight) - cost
}

// Displaces reports whether late is true for any item of the team that a new item would go before, given the cost that would
// then be ahead of it and its deadline.
func (q *Queue[T]) Displaces(team string, cost int64, deadline time.Time, late func(ahead int64, deadline time.Time) bool) bool {
	f := q.teams[team]
	if f == nil {
		return false
	}
	i := f.place(deadline)
	own := f.costBefore(i) + cost
	for _, e := range f.items[i:] {
		if late(costAhead(q.cost+cost, own+e.cost, q.weight, f.weight)-e.cost, e.deadline) {
			return true
		}
		own += e.cost
	}
	return false
}

// RemoveLate removes and returns the items for which late is true, given the cost ahead of them and their deadline.
func (q *Queue[T]) RemoveLate(late func(ahead int64, deadline time.Time) bool) []T {
	var out []T
	for _, f := range q.teams {
		out = append(out, q.removeLate(f, late)...)
	}
	return out
}

// Remove removes the first item of a team for which match is true and reports whether there was one.
func (q *Queue[T]) Remove(team string, match func(T) bool) bool {
	f := q.teams[team]
	if f == nil {
		return false
	}
	for i := range f.items {
		if match(f.items[i].value) {
			q.removeAt(f, i)
			q.fixOrder(f)
			return true
		}
	}
	return false
}

// Len returns the number of items.
func (q *Queue[T]) Len() int {
	return q.count
}

// Cost returns the cost of all items together.
func (q *Queue[T]) Cost() int64 {
	return q.cost
}

func (q *Queue[T]) addTeam(team string, weight int64) *flow[T] {
	if q.teams == nil {
		q.teams = map[string]*flow[T]{}
	}
	f := &flow[T]{team: team, weight: weight, start: q.virtualClock, index: -1}
	q.teams[team] = f
	q.weight += weight
	return f
}

func (q *Queue[T]) removeLate(f *flow[T], late func(int64, time.Time) bool) []T {
	var out []T
	var own int64
	for i := 0; i < len(f.items); {
		e := f.items[i]
		if late(costAhead(q.cost, own+e.cost, q.weight, f.weight)-e.cost, e.deadline) {
			out = append(out, e.value)
			q.removeAt(f, i)
			continue
		}
		own += e.cost
		i++
	}
	if len(out) > 0 {
		q.fixOrder(f)
	}
	return out
}

// removeAt removes an item of a flow; the caller restores the heap with fixOrder.
func (q *Queue[T]) removeAt(f *flow[T], i int) {
	c := f.items[i].cost
	if i == 0 {
		f.items[0] = item[T]{}
		f.items = f.items[1:]
	} else {
		f.items = append(f.items[:i], f.items[i+1:]...)
	}
	f.cost -= c
	q.cost -= c
	q.count--
}

// fixOrder restores the heap after items of a flow were removed and drops the flow if it is empty.
func (q *Queue[T]) fixOrder(f *flow[T]) {
	if len(f.items) > 0 {
		heap.Fix(&q.heads, f.index)
		return
	}
	heap.Remove(&q.heads, f.index)
	delete(q.teams, f.team)
	q.weight -= f.weight
	if q.count == 0 {
		q.virtualClock = 0
	}
}

// costAhead returns the lesser of all cost and the cost that is served, at a weighted share, until own is done.
func costAhead(all, own, weights, weight int64) int64 {
	s := float64(own) * float64(weights) / float64(weight)
	if s < float64(all) {
		return int64(s)
	}
	return all
}

// virtualTime returns the virtual time that a cost takes at a weight.
func virtualTime(weight, cost int64) uint64 {
	return uint64(cost) * MaxWeight / uint64(weight)
}

// place returns where an item with a deadline goes among those of its team.
func (f *flow[T]) place(deadline time.Time) int {
	return sort.Search(len(f.items), func(i int) bool { return f.items[i].deadline.After(deadline) })
}

// costBefore returns the cost of the first n items.
func (f *flow[T]) costBefore(n int) int64 {
	var c int64
	for _, e := range f.items[:n] {
		c += e.cost
	}
	return c
}

// finish returns the virtual finish time of the first item.
func (f *flow[T]) finish() uint64 {
	return f.start + virtualTime(f.weight, f.items[0].cost)
}

// flows is a heap of flows in order of the virtual finish time of their first item.
type flows[T any] []*flow[T]

// Len implements heap.Interface.Len.
func (f flows[T]) Len() int { return len(f) }

// Less implements heap.Interface.Less.
func (f flows[T]) Less(i, j int) bool {
	a, b := f[i].finish(), f[j].finish()
	if a == b {
		return f[i].team < f[j].team
	}
	return a < b
}

// Swap implements heap.Interface.Swap.
func (f flows[T]) Swap(i, j int) {
	f[i], f[j] = f[j], f[i]
	f[i].index = i
	f[j].index = j
}

// Push implements heap.Interface.Push.
func (f *flows[T]) Push(v any) {
	e := v.(*flow[T])
	e.index = len(*f)
	*f = append(*f, e)
}

// Pop implements heap.Interface.Pop.
func (f *flows[T]) Pop() any {
	o := *f
	e := o[len(o)-1]
	o[len(o)-1] = nil
	*f = o[:len(o)-1]
	return e
}
