package picker_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/picker"
)

// gateways is a reachability of which some upstreams are reached only through another host.
type gateways struct{}

func (gateways) Direct(n string) bool { return number(n)%7 != 3 }

// recordedDecisions plays random calls, counts and reports of three figures against a picker and returns a hash of its choices.
// pick makes one choice.
func recordedDecisions(upstreams int, pick func(p *picker.Picker, now time.Time, d demand.Demand) (upstream.Upstream, bool)) uint64 {
	r := rand.New(rand.NewPCG(uint64(upstreams), 9))
	p := picker.NewPicker(3)
	p.LocalityWeight = 0.3
	p.Paths = gateways{}
	l := make([]upstream.Upstream, upstreams)
	for i := range l {
		k := upstream.Engine
		if i%2 == 1 {
			k = upstream.Service
		}
		l[i] = upstream.Upstream{
			Name: name(i), Kind: k, Service: "s", Models: []string{"m"}, FailureDomain: fmt.Sprint("d", i%3), Slots: 4 + i%9,
		}
	}
	p.SetUpstreams(l, start)
	h := fnv.New64a()
	now := start
	var running []string
	for range 20000 {
		now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
		u := name(r.IntN(upstreams))
		switch k := r.IntN(10); {
		case k < 4:
			d := demand.Demand{Service: "s", Model: "m", FailureDomain: fmt.Sprint("d", r.IntN(3))}
			for b := range r.IntN(24) {
				d.PrefixHashes = append(d.PrefixHashes, uint64(r.IntN(40)*64+b+1)*0x9e3779b97f4a7c15)
			}
			c, ok := pick(p, now, d)
			fmt.Fprintln(h, c.Name, ok)
			if ok {
				p.Started(c.Name)
				running = append(running, c.Name)
			}
		case k < 8 && len(running) > 0:
			i := r.IntN(len(running))
			o := outcome.Succeeded
			if r.IntN(30) == 0 {
				o = outcome.Broken
			}
			p.Finished(running[i], o, time.Duration(1+r.IntN(400))*time.Millisecond, now)
			running = append(running[:i], running[i+1:]...)
		case k == 8:
			p.SetPeerRequests(u, r.IntN(6), now)
			p.SetPeerBatch(u, r.IntN(3))
			p.SetBatch(u, r.IntN(3))
		default:
			p.Report(loadreport.Report{Upstream: u, Running: r.IntN(9), Waiting: r.IntN(4)}, now)
		}
	}
	return h.Sum64()
}

// TestThreeFiguresDecideAsRecorded guards against other choices among upstreams that report no pace. The hashes were recorded
// before reports had a pace.
func TestThreeFiguresDecideAsRecorded(t *testing.T) {
	for n, want := range map[int]uint64{12: 2853354764546711403, 90: 8843235823924544377} {
		is.New(t).Equal(recordedDecisions(n, (*picker.Picker).Pick), want)
	}
}
