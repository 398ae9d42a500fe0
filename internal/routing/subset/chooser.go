package subset

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinrun/internal/data/upstream"
)

const (
	// minSize is the least number of preferred upstreams of a service.
	minSize = 4
	// returnsPerKeepTime is how often a host should return to an upstream in the time for which a connection is kept. Calls arrive at
	// random; at two returns one in seven connections is idle for too long.
	returnsPerKeepTime = 2
	// ownShare is the largest share of the slots of the preferred upstreams that the host's own requests should take. It leaves room
	// for the other hosts that prefer them.
	ownShare = 0.25
	// foreignEvery makes each fourth place of the order one of another failure domain.
	foreignEvery = 4
)

// Chooser chooses the preferred upstreams of one host.
type Chooser struct {
	// Host is the name of the host.
	Host string
	// FailureDomain is that of the host.
	FailureDomain string
	// KeepTime returns for how long an idle connection may be used.
	KeepTime func() time.Duration
}

// place is an upstream with its distance from the host.
type place struct {
	index    int
	name     string
	distance float64
}

// Order returns the indexes of a service's upstreams in the order in which the host prefers them. Each host has an order of its own
// that depends on names, slots and failure domains only: an upstream is in front of it with a chance in proportion to its slots, and
// one that comes or goes moves the others by one place at most. Three of four places are of the own failure domain while it lasts.
func (c *Chooser) Order(l []upstream.Upstream) []int {
	var own, others []place
	for i, u := range l {
		p := place{index: i, name: u.Name, distance: c.distance(u)}
		if u.FailureDomain == c.FailureDomain {
			own = append(own, p)
		} else {
			others = append(others, p)
		}
	}
	slices.SortFunc(own, byDistance)
	slices.SortFunc(others, byDistance)
	order := make([]int, 0, len(l))
	for i := range l {
		from := &own
		if len(own) == 0 || len(others) > 0 && i%foreignEvery == foreignEvery-1 {
			from = &others
		}
		order = append(order, (*from)[0].index)
		*from = (*from)[1:]
	}
	return order
}

// Size returns how many upstreams of a service the host prefers, given its calls per second, its requests under way and the average
// slots of an upstream; zero if a preference would not save connections.
func (c *Chooser) Size(perSecond float64, running int, slots float64, upstreams int) int {
	n := int(perSecond * c.KeepTime().Seconds() / returnsPerKeepTime)
	n = max(n, minSize, int(math.Ceil(float64(running)/(slots*ownShare))))
	if n >= upstreams {
		return 0
	}
	return n
}

// distance returns a random distance that follows from the names, exponentially distributed with the slots as its rate.
func (c *Chooser) distance(u upstream.Upstream) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.Host) // a hash write never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(u.Name)
	x := (float64(d.Sum64()>>11) + 1) / (1 << 53)
	return -math.Log(x) / float64(max(u.Slots, 1))
}

func byDistance(a, b place) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), strings.Compare(a.name, b.name))
}
