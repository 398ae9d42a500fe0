package clientmemory

import (
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
	evicted, closed bool
	// ranked is the rank at the last ranking.
	ranked float64
}

// Account holds what the clients of a host hold. The zero value has no bounds.
type Account struct {
	// Bytes bounds what all clients hold, zero for no bound. An eighth is kept for reserved connections.
	Bytes int64
	// Connections bounds the open connections of callers, zero for no bound. Reserved ones get a quarter more.
	Connections int
	// Large is what one client at a time may hold beyond the bounds, where they are too small for the largest request.
	Large int64
	// Ranked counts the clients that were ranked to find those that are evicted.
	Ranked int

	ranking *ranking
	// large is the client that may hold Large bytes more until its request ends.
	large   *client
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
		r := a.currentRanking(now)
		l := r.byUse[reserved].take(c, 0, r, now)
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

// GrowLarge lets one client at a time hold n bytes beyond the bounds until its request ends, and returns whether it may.
func (a *Account) GrowLarge(id uint64, n int64) bool {
	c := a.clients[id]
	if c == nil || c.evicted || a.large != nil || n > a.Large {
		return false
	}
	a.large = c
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
		a.endLarge(c)
	}
}

// endLarge ends what a client holds beyond the bounds.
func (a *Account) endLarge(c *client) {
	if a.large == c {
		a.large = nil
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
	c.closed = true
	a.endLarge(c)
	delete(a.clients, id)
}

// RankedBefore reports whether clients were last ranked before a time, so that more may be evicted at the next ranking.
func (a *Account) RankedBefore(t time.Time) bool { return a.ranking != nil && a.ranking.at.Before(t) }

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
	for _, own := range []bool{true, false} { // first others of the address for its share, then any
		missing := a.held - a.leaving + n - a.bytes(c.reserved)
		if own {
			missing = a.byAddress[c.address] + n - a.Bytes*3/4
		}
		if missing <= 0 {
			continue
		}
		r := a.currentRanking(now)
		q := r.all
		if own {
			q = r.byAddress[c.address]
		}
		l := q.take(c, missing, r, now)
		if len(l) == 0 {
			return false, evicted // nobody is evicted for a client that can't stay
		}
		for _, v := range l {
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

func (c *client) evictable(now time.Time) bool {
	return c.state == receiving || c.state == writing && now.Sub(c.progress) >= unreadTime
}

// rank is what a client holds times how long it has been without progress.
func (c *client) rank(now time.Time) float64 {
	return float64(c.held) * (now.Sub(c.progress).Seconds() + now.Sub(c.since).Seconds()/ageWeight)
}
