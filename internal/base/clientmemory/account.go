package clientmemory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ageWeight divides the age of a request in its rank, so that one that makes progress byte by byte is evicted too.
	ageWeight = 4
	// unreadTime is how long a client may leave a response unread before it counts as stalled.
	unreadTime = 3 * time.Second
	// spareShare divides the bound for what is held only for convenience, so that requests always find memory.
	spareShare = 2
)

// state is what a client does.
type state int

const (
	receiving state = iota
	running
	writing
)

// client is an open connection of a client.
type client struct {
	id       uint64
	address  string
	reserved bool
	held     int64
	state    state
	// since is the begin of the request or of the idle time, and progress the last time that bytes came or went.
	since, progress time.Time
	evicted         bool
}

// Account holds what the clients of a host hold. The zero value has no bounds.
type Account struct {
	// Bytes bounds what all clients hold, zero for no bound. An eighth is kept for reserved connections.
	Bytes int64
	// Connections bounds the open connections of callers, zero for no bound. Reserved ones get a quarter more.
	Connections int

	clients map[uint64]*client
	// held and leaving count the bytes of all clients, and of those that were evicted and are still open.
	held, leaving int64
	byAddress     map[string]int64
	// open counts the connections that were not evicted, by whether they are reserved.
	open map[bool]int
}

// Open adds a connection from an address that holds n bytes, and returns whether it may stay and who is evicted for it.
// Reserved connections are those of upstreams and operators.
func (a *Account) Open(id uint64, address string, reserved bool, n int64, now time.Time) (ok bool, evicted []uint64) {
	if a.clients == nil {
		a.clients, a.byAddress, a.open = map[uint64]*client{}, map[string]int64{}, map[bool]int{}
	}
	c := &client{id: id, address: address, reserved: reserved, since: now, progress: now}
	if a.Connections > 0 && a.open[reserved] >= a.connections(reserved) {
		l := a.candidates(c, now, func(o *client) bool { return o.reserved == reserved })
		if len(l) == 0 || len(a.clients) >= 2*a.Connections {
			return false, nil
		}
		evicted = append(evicted, a.evict(l[0]))
	}
	ok, more := a.fit(c, n, now)
	evicted = append(evicted, more...)
	if ok {
		a.clients[id] = c
		a.open[reserved]++
		a.add(c, n)
	}
	return ok, evicted
}

// Grow lets a client hold n bytes more, and returns whether it may and who is evicted for it.
func (a *Account) Grow(id uint64, n int64, now time.Time) (ok bool, evicted []uint64) {
	c := a.clients[id]
	if c == nil || c.evicted {
		return false, nil
	}
	if ok, evicted = a.fit(c, n, now); ok {
		a.add(c, n)
	}
	return ok, evicted
}

// GrowSpare lets a client hold n bytes more if half of the bound stays free, and returns whether it may. Nobody is evicted.
func (a *Account) GrowSpare(id uint64, n int64) bool {
	c := a.clients[id]
	if c == nil || c.evicted || a.Bytes > 0 && a.held+n > a.bytes(c.reserved)/spareShare {
		return false
	}
	a.add(c, n)
	return true
}

// Shrink records that a client holds n bytes less.
func (a *Account) Shrink(id uint64, n int64) {
	if c := a.clients[id]; c != nil {
		a.add(c, -min(n, c.held))
	}
}

// Progress records that bytes of a request came.
func (a *Account) Progress(id uint64, now time.Time) {
	if c := a.clients[id]; c != nil {
		c.progress = now
	}
}

// Receive records that a client sends a request or is idle.
func (a *Account) Receive(id uint64, now time.Time) {
	a.enter(id, receiving, now)
	if c := a.clients[id]; c != nil {
		c.since = now
	}
}

// Continue records that a client goes on sending a request after an interim response.
func (a *Account) Continue(id uint64, now time.Time) { a.enter(id, receiving, now) }

// Run records that the request of a client is complete. It is not evicted until it is answered.
func (a *Account) Run(id uint64, now time.Time) { a.enter(id, running, now) }

// Write records that a response is being written to a client, which is stalled if the write takes long.
func (a *Account) Write(id uint64, now time.Time) { a.enter(id, writing, now) }

// Evicted reports whether a client was evicted.
func (a *Account) Evicted(id uint64) bool {
	c := a.clients[id]
	return c != nil && c.evicted
}

// Close removes a connection.
func (a *Account) Close(id uint64) {
	c := a.clients[id]
	if c == nil {
		return
	}
	a.add(c, -c.held)
	if !c.evicted {
		a.open[c.reserved]--
	}
	delete(a.clients, id)
}

// Held returns the bytes that all clients hold.
func (a *Account) Held() int64 { return a.held }

// Leaving returns the bytes of evicted clients that are still open.
func (a *Account) Leaving() int64 { return a.leaving }

func (a *Account) enter(id uint64, s state, now time.Time) {
	if c := a.clients[id]; c != nil {
		c.state, c.progress = s, now
	}
}

func (a *Account) connections(reserved bool) int {
	if reserved {
		return max(1, a.Connections/4)
	}
	return a.Connections
}

func (a *Account) add(c *client, n int64) {
	c.held += n
	a.held += n
	if c.evicted {
		a.leaving += n
		return
	}
	a.byAddress[c.address] += n
	if a.byAddress[c.address] == 0 {
		delete(a.byAddress, c.address)
	}
}

func (a *Account) evict(c *client) uint64 {
	a.byAddress[c.address] -= c.held
	if a.byAddress[c.address] == 0 {
		delete(a.byAddress, c.address)
	}
	a.open[c.reserved]--
	a.leaving += c.held
	c.evicted = true
	return c.id
}

// fit reports whether a client may hold n bytes more, and evicts others for it.
func (a *Account) fit(c *client, n int64, now time.Time) (ok bool, evicted []uint64) {
	if a.Bytes <= 0 {
		return true, nil
	}
	for _, o := range []struct {
		missing int64
		match   func(*client) bool
	}{
		{a.byAddress[c.address] + n - a.Bytes*3/4, func(o *client) bool { return o.address == c.address }},
		{a.held - a.leaving + n - a.bytes(c.reserved), func(*client) bool { return true }},
	} {
		if o.missing <= 0 {
			continue
		}
		l, missing := a.candidates(c, now, o.match), o.missing
		n := 0
		for ; n < len(l) && missing > 0; n++ {
			missing -= l[n].held
		}
		if missing > 0 {
			return false, evicted // nobody is evicted for a client that can't stay
		}
		for _, v := range l[:n] {
			evicted = append(evicted, a.evict(v))
		}
	}
	// Those that were evicted must have left before much more than the bound is held.
	return a.held-a.leaving+n <= a.bytes(c.reserved) && a.held+n <= a.Bytes+a.Bytes/4, evicted
}

func (a *Account) bytes(reserved bool) int64 {
	if reserved {
		return a.Bytes
	}
	return a.Bytes * 7 / 8
}

// candidates returns the clients that are evicted before c, first those that have held most for longest without progress.
func (a *Account) candidates(c *client, now time.Time, match func(*client) bool) []*client {
	own := c.rank(now)
	ranks := map[*client]float64{}
	var l []*client
	for _, o := range a.clients {
		if o == c || o.evicted || !o.evictable(now) || !match(o) {
			continue
		}
		if r := o.rank(now); r > own {
			ranks[o] = r
			l = append(l, o)
		}
	}
	slices.SortFunc(l, func(x, y *client) int {
		return cmp.Or(cmp.Compare(ranks[y], ranks[x]), cmp.Compare(x.id, y.id))
	})
	return l
}

func (c *client) evictable(now time.Time) bool {
	return c.state == receiving || c.state == writing && now.Sub(c.progress) >= unreadTime
}

// rank is what a client holds times how long it has been without progress.
func (c *client) rank(now time.Time) float64 {
	return float64(c.held) * (now.Sub(c.progress).Seconds() + now.Sub(c.since).Seconds()/ageWeight)
}
