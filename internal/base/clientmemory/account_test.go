package clientmemory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskinrun/internal/base/clientmemory"
)

var start = time.Unix(1000, 0)

// TestTheMostStalledIsEvictedFirst guards against an ordinary caller that is closed in place of one that holds much and stalls.
func TestTheMostStalledIsEvictedFirst(t *testing.T) {
	is := is.New(t)
	a := clientmemory.Account{Bytes: 800}
	for i := range uint64(4) {
		ok, _ := a.Open(i, fmt.Sprint(i), false, 100, start)
		is.True(ok)
	}
	ok, _ := a.Grow(2, 200, start)
	is.True(ok)
	a.Progress(3, start.Add(2*time.Second))
	a.Progress(1, start.Add(2*time.Second))
	ok, l := a.Open(9, "9", false, 150, start.Add(2*time.Second))
	is.True(ok)
	is.Equal(l, []uint64{2})
	is.Equal(a.Held(), int64(750))
	is.Equal(a.Leaving(), int64(300))
}

// TestCompleteRequestsStay guards against a request that is closed while it runs, and against a response that stays unread
// for good.
func TestCompleteRequestsStay(t *testing.T) {
	is := is.New(t)
	a := clientmemory.Account{Bytes: 800}
	ok, _ := a.Open(1, "1", false, 600, start)
	is.True(ok)
	a.Run(1, start)
	ok, l := a.Open(2, "2", false, 600, start.Add(time.Minute))
	is.True(!ok)
	is.Equal(len(l), 0)
	a.Write(1, start.Add(time.Minute))
	ok, l = a.Open(2, "2", false, 600, start.Add(time.Minute+time.Second))
	is.True(!ok)
	is.Equal(len(l), 0)
	_, l = a.Open(2, "2", false, 600, start.Add(2*time.Minute))
	is.Equal(l, []uint64{1})
}

// TestEvictedClientsAreWaitedFor guards against memory that is given twice, and against further evictions while the first leave.
func TestEvictedClientsAreWaitedFor(t *testing.T) {
	is := is.New(t)
	a := clientmemory.Account{Bytes: 800}
	for i := range uint64(4) {
		ok, _ := a.Open(i, fmt.Sprint(i), false, 170, start)
		is.True(ok)
	}
	now := start.Add(time.Second)
	a.Progress(3, now)
	ok, l := a.Grow(3, 380, now)
	is.True(!ok)
	is.Equal(len(l), 3)
	ok, l = a.Grow(3, 380, now)
	is.True(!ok)
	is.Equal(len(l), 0)
	a.Close(0)
	ok, _ = a.Grow(3, 380, now)
	is.True(ok)
}

// TestNoAddressTakesAll guards against one address, or all callers, that leave nothing to others.
func TestNoAddressTakesAll(t *testing.T) {
	is := is.New(t)
	a := clientmemory.Account{Bytes: 800}
	ok, _ := a.Open(1, "x", false, 600, start)
	is.True(ok)
	ok, _ = a.Open(2, "x", false, 1, start)
	is.True(!ok)
	ok, _ = a.Open(2, "y", false, 100, start)
	is.True(ok)
	ok, _ = a.Open(3, "z", false, 100, start)
	is.True(!ok)
	ok, _ = a.Open(3, "z", true, 100, start)
	is.True(ok)
}

// TestConnectionsAreBounded guards against callers that take all descriptors, and against idle ones that keep others out.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	a := clientmemory.Account{Connections: 4}
	for i := range uint64(4) {
		ok, _ := a.Open(i, "x", false, 1, start)
		is.True(ok)
		a.Run(i, start)
	}
	ok, _ := a.Open(4, "x", false, 1, start.Add(time.Second))
	is.True(!ok)
	a.Receive(2, start)
	ok, l := a.Open(4, "x", false, 1, start.Add(time.Second))
	is.True(ok)
	is.Equal(l, []uint64{2})
	ok, _ = a.Open(5, "operator", true, 1, start.Add(time.Second))
	is.True(ok)
}

// TestSumsHold guards against an account that loses or makes up bytes, and against one that passes its bound.
func TestSumsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := clientmemory.Account{Bytes: 1000, Connections: 8}
		now := start
		held := map[uint64]int64{}
		next := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			id := uint64(rapid.IntRange(0, 12).Draw(t, "id"))
			n := int64(rapid.IntRange(0, 400).Draw(t, "n"))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				next++
				if ok, _ := a.Open(next, fmt.Sprint(n%3), n%7 == 0, n, now); ok {
					held[next] = n
				}
			case 2, 3:
				if ok, _ := a.Grow(id, n, now); ok {
					held[id] += n
				}
			case 4:
				a.Shrink(id, n)
				if _, ok := held[id]; ok {
					held[id] -= min(n, held[id])
				}
			case 5:
				a.Close(id)
				delete(held, id)
			default:
				a.Run(id, now)
			}
			sum := int64(0)
			for _, v := range held {
				sum += v
			}
			if a.Held() != sum || sum > 1250 || a.Leaving() < 0 || a.Leaving() > sum || sum-a.Leaving() > 1000 {
				t.Fatalf("%d held, %d leaving, %d by the model", a.Held(), a.Leaving(), sum)
			}
		}
		for id := range held {
			a.Close(id)
		}
		if a.Held() != 0 || a.Leaving() != 0 {
			t.Fatalf("%d held and %d leaving when all are closed", a.Held(), a.Leaving())
		}
	})
}

// TestBuffersLeaveRoomForRequests guards against answers that are held for callers that do not read, for which others are evicted
// or after which requests find no room.
func TestBuffersLeaveRoomForRequests(t *testing.T) {
	is := is.New(t)
	a := clientmemory.Account{Bytes: 800}
	for i := range uint64(2) {
		ok, _ := a.Open(i, fmt.Sprint(i), false, 100, start)
		is.True(ok)
	}
	is.True(a.GrowSpare(0, 150))
	is.True(!a.GrowSpare(1, 1)) // 350 of the 700 for callers are held
	is.True(!a.GrowSpare(7, 1)) // no connection
	ok, l := a.Open(2, "2", false, 350, start.Add(time.Hour))
	is.True(ok)
	is.Equal(len(l), 0)
	a.Shrink(0, 150)
	is.Equal(a.Held(), int64(550))
}

// TestEvictionIsCheapWithManyClients guards against a scan of all clients at each decision for each client that waits, and against
// the eviction of clients that have completed their request since the last scan.
func TestEvictionIsCheapWithManyClients(t *testing.T) {
	const clients, waiting, polls = 5000, 100, 200
	is := is.New(t)
	a := clientmemory.Account{Bytes: clients*100*8/7 + 8}
	for i := range uint64(clients) {
		ok, _ := a.Open(i, fmt.Sprint(i%100), false, 100, start)
		is.True(ok)
	}
	now, evicted := start, map[uint64]bool{}
	for p := range polls { // 1 s
		now = now.Add(5 * time.Millisecond)
		for i := range uint64(clients / 2) {
			if i%2 == 0 {
				a.Progress(i, now)
			} else {
				a.Run(i, now)
			}
		}
		for i := range uint64(waiting) {
			_, l := a.Grow(i, 500, now)
			for _, v := range l {
				is.True((v >= clients/2 || v%2 == 0) && !evicted[v])
				evicted[v] = true
				if p%2 == 0 {
					a.Close(v)
				}
			}
		}
	}
	t.Logf("%d clients ranked, %d evicted", a.Ranked, len(evicted))
	is.True(len(evicted) > waiting)
	is.True(a.Ranked <= 100_000+clients)
}

// TestOneLargeRequestFits guards against a largest request that never fits into a small account, and against several at a time
// beyond the bounds.
func TestOneLargeRequestFits(t *testing.T) {
	is := is.New(t)
	a := clientmemory.Account{Bytes: 800, Large: 2000}
	for i := range uint64(2) {
		ok, _ := a.Open(i, fmt.Sprint(i), false, 100, start)
		is.True(ok)
	}
	is.True(!a.GrowLarge(0, 2001))
	is.True(a.GrowLarge(0, 2000))
	is.True(!a.GrowLarge(1, 1))
	a.Receive(0, start) // the request has ended
	is.True(a.GrowLarge(1, 2000))
	a.Close(1)
	is.True(a.GrowLarge(0, 1))
	is.Equal(a.Held(), int64(100))
}
