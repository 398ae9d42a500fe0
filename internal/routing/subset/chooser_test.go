package subset_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/subset"
)

func upstreams(n int) []upstream.Upstream {
	l := make([]upstream.Upstream, n)
	for i := range l {
		l[i] = upstream.Upstream{Name: fmt.Sprintf("u%d", i), FailureDomain: fmt.Sprint("d", i%3), Slots: 8}
	}
	return l
}

func chooser(host int, keep time.Duration) *subset.Chooser {
	return &subset.Chooser{
		Host: fmt.Sprint("h", host), FailureDomain: fmt.Sprint("d", host%3), KeepTime: func() time.Duration { return keep },
	}
}

// TestOrdersSpreadOverTheUpstreams guards against upstreams that most hosts prefer, against slots that don't count, and against
// orders that ignore the failure domain.
func TestOrdersSpreadOverTheUpstreams(t *testing.T) {
	is := is.New(t)
	const hosts, size = 3000, 12
	l := upstreams(60)
	l[0].Slots = 16
	n := make([]int, len(l))
	for h := range hosts {
		own := 0
		for _, i := range chooser(h, time.Second).Order(l)[:size] {
			n[i]++
			if l[i].FailureDomain == fmt.Sprint("d", h%3) {
				own++
			}
		}
		is.Equal(own, 9)
	}
	for i, k := range n {
		if i > 0 {
			is.True(k > 500 && k < 700) // 600 on average
		}
	}
	is.True(n[0] > 900)
}

// TestOrderChangesByOnePlace guards against a lost upstream that moves the others, and with them the connections of all hosts.
func TestOrderChangesByOnePlace(t *testing.T) {
	is := is.New(t)
	const size = 12
	l := upstreams(60)
	for h := range 60 {
		c := chooser(h, time.Second)
		order := c.Order(l)
		for _, lost := range []int{0, 17, 59} {
			rest := slices.Delete(slices.Clone(l), lost, lost+1)
			kept := 0
			for _, i := range c.Order(rest)[:size] {
				if slices.ContainsFunc(order[:size], func(j int) bool { return l[j].Name == rest[i].Name }) {
					kept++
				}
			}
			is.True(kept >= size-1)
		}
	}
}

// TestSizeFollowsTheConnectionsThatStayOpen guards against a subset that the host can't keep warm or that its own load fills.
func TestSizeFollowsTheConnectionsThatStayOpen(t *testing.T) {
	is := is.New(t)
	c := chooser(0, 5*time.Second)
	is.Equal(c.Size(5, 3, 8, 60), 12)
	is.Equal(c.Size(0.5, 0, 8, 60), 4)
	is.Equal(c.Size(5, 60, 8, 60), 30) // a quarter of 240 slots
	is.Equal(c.Size(5, 0, 8, 12), 0)
}
