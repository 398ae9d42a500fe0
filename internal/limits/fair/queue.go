package fair

import (
	"container/heap"
	"time"
)

const (
	// MaxWeight is the largest weight that counts.
	MaxWeight = 1 << 16
	// MaxCost is the largest cost that counts.
	MaxCost = 1 << 32
)

// Queue holds items of many teams and yields them in order of their virtual finish times.
type Queue[T any] struct {
	// MostTeam bounds the items of one team.
	MostTeam int
	// Most bounds all items.
	Most int

	virtual uint64
	teams   map[string]*flow[T]
	heads   flows[T]
	count   int
	cost    int64
	weight  int64
}

// flow is the queue of one team.
type flow[T any] struct {
	team   string
	weight int64
	cost   int64
	finish uint64
	items  []item[T]
	place  int
}

type item[T any] struct {
	value    T
	cost     int64
	deadline time.Time
	finish   uint64
}

// Push appends an item of a team and reports whether there was room.
func (q *Queue[T]) Push(team string, weight, cost int64, deadline time.Time, v T) bool {
	f := q.teams[team]
	if q.count >= q.Most || f != nil && len(f.items) >= q.MostTeam {
		return false
	}
	weight = min(max(weight, 1), MaxWeight)
	cost = min(max(cost, 1), MaxCost)
	if f == nil {
		f = q.open(team, weight)
	}
	f.finish = max(q.virtual, f.finish) + step(weight, cost)
	f.items = append(f.items, item[T]{v, cost, deadline, f.finish})
	f.cost += cost
	q.cost += cost
	q.count++
	if len(f.items) == 1 {
		heap.Push(&q.heads, f)
	}
	return true
}

// Pop removes the item that is due next and reports whether there was one.
func (q *Queue[T]) Pop() (T, bool) {
	var zero T
	if len(q.heads) == 0 {
		return zero, false
	}
	f := q.heads[0]
	i := f.items[0]
	q.virtual = max(q.virtual, i.finish)
	q.drop(f, 0)
	q.settle(f)
	return i.value, true
}

// Ahead bounds the cost that is served before a new item of the team begins.
func (q *Queue[T]) Ahead(team string, weight, cost int64) int64 {
	w := q.weight
	var own int64
	f := q.teams[team]
	if f != nil {
		own = f.cost
		weight = f.weight
	} else {
		weight = min(max(weight, 1), MaxWeight)
		w += weight
	}
	return ahead(q.cost+cost, own+cost, w, weight) - cost
}

// Cull removes the items for which late says that they cannot be done in time, given the cost ahead of them.
func (q *Queue[T]) Cull(late func(ahead int64, deadline time.Time) bool) []T {
	var out []T
	for _, f := range q.teams {
		out = append(out, q.cull(f, late)...)
	}
	return out
}

// Remove takes the first item of a team for which is returns true out of the queue.
func (q *Queue[T]) Remove(team string, is func(T) bool) bool {
	f := q.teams[team]
	if f == nil {
		return false
	}
	for i := range f.items {
		if is(f.items[i].value) {
			q.drop(f, i)
			q.settle(f)
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

func (q *Queue[T]) open(team string, weight int64) *flow[T] {
	if q.teams == nil {
		q.teams = map[string]*flow[T]{}
	}
	f := &flow[T]{team: team, weight: weight, place: -1}
	q.teams[team] = f
	q.weight += weight
	return f
}

func (q *Queue[T]) cull(f *flow[T], late func(int64, time.Time) bool) []T {
	var out []T
	var own int64
	for i := 0; i < len(f.items); {
		e := f.items[i]
		if late(ahead(q.cost, own+e.cost, q.weight, f.weight)-e.cost, e.deadline) {
			out = append(out, e.value)
			q.drop(f, i)
			continue
		}
		own += e.cost
		i++
	}
	if len(out) > 0 {
		q.settle(f)
	}
	return out
}

// drop removes an item without restoring the order of the teams.
func (q *Queue[T]) drop(f *flow[T], i int) {
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

// settle restores the order of the teams after items of one were removed.
func (q *Queue[T]) settle(f *flow[T]) {
	if len(f.items) > 0 {
		heap.Fix(&q.heads, f.place)
		return
	}
	heap.Remove(&q.heads, f.place)
	delete(q.teams, f.team)
	q.weight -= f.weight
	if q.count == 0 {
		q.virtual = 0
	}
}

// ahead returns the lesser of all cost and the cost that a weighted share lets pass before own is done.
func ahead(all, own, weights, weight int64) int64 {
	s := float64(own) * float64(weights) / float64(weight)
	if s < float64(all) {
		return int64(s)
	}
	return all
}

// step returns the virtual time that a cost takes under a weight.
func step(weight, cost int64) uint64 {
	return uint64(cost) * MaxWeight / uint64(weight)
}

// flows orders teams by the virtual finish time of their first item.
type flows[T any] []*flow[T]

// Len implements heap.Interface.Len.
func (f flows[T]) Len() int { return len(f) }

// Less implements heap.Interface.Less.
func (f flows[T]) Less(i, j int) bool {
	a, b := f[i], f[j]
	if a.items[0].finish == b.items[0].finish {
		return a.team < b.team
	}
	return a.items[0].finish < b.items[0].finish
}

// Swap implements heap.Interface.Swap.
func (f flows[T]) Swap(i, j int) {
	f[i], f[j] = f[j], f[i]
	f[i].place = i
	f[j].place = j
}

// Push implements heap.Interface.Push.
func (f *flows[T]) Push(v any) {
	e := v.(*flow[T])
	e.place = len(*f)
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
