package main

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	partialTime = 2500 * time.Millisecond
	// flapTime is how long a link that flaps is lost, and then sound.
	flapTime = 300 * time.Millisecond
	flaps    = 4
)

// partialCase is a way in which hosts of some numbers lose a part of their links.
type partialCase struct {
	name  string
	hosts []int
	// lose takes links, at times until it returns.
	lose func(f *partialFleet)
}

// partialFleet is a linkFleet some of whose hosts lose a part of their links.
type partialFleet struct {
	*linkFleet
	context context.Context
	t       *testing.T
	off     []string
	// lost is when the last link was lost.
	lost time.Time
}

// setSome sets the links of the hosts to some engines and desks.
func (f *partialFleet) setSome(l link, engines, desks int) {
	a := f.addresses()
	for i := range engines {
		f.setOne(l, a[i])
	}
	for i := range desks {
		f.setOne(l, a[linkEngines+i])
	}
}

// setOne sets the links of the hosts to an upstream.
func (f *partialFleet) setOne(l link, address string) {
	for _, h := range f.off {
		f.board.set(h, address, l)
	}
}

// addresses returns the addresses of the engines and then those of the desks.
func (f *linkFleet) addresses() []string {
	var l []string
	for _, w := range f.engines {
		l = append(l, w.address)
	}
	f.plainFleet.mu.Lock()
	defer f.plainFleet.mu.Unlock()
	for i := range linkDesks {
		l = append(l, f.workers[i].address)
	}
	return l
}

func (f *partialFleet) sleep(d time.Duration) {
	f.t.Helper()
	is.New(f.t).NoErr(f.timer.Sleep(f.context, d))
}

// playPartial plays cases on one fleet, one after the other.
func playPartial(t *testing.T, cases []partialCase) {
	t.Helper()
	l, ctx := newLinkFleet(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &partialFleet{linkFleet: l, context: ctx, t: t, off: l.pick(c.hosts...)}
			f.play(ctx, t, t.Name(), f.off, func() time.Time {
				f.lost = f.timer.Now()
				c.lose(f)
				f.sleep(max(0, partialTime-f.timer.Now().Sub(f.lost)))
				return f.lost
			})
		})
	}
}

// TestHostsWithSomeLinksServeTheirCallers guards against hosts that reach a part of the upstreams, or reach them one way, and
// refuse their callers.
func TestHostsWithSomeLinksServeTheirCallers(t *testing.T) {
	playPartial(t, []partialCase{
		{"some upstreams hang", []int{0, 1, 3}, func(f *partialFleet) { f.setSome(hang, 8, 2) }},
		{"one service resets", []int{0, 1, 4}, func(f *partialFleet) { f.setSome(resets, linkEngines, 0) }},
		{"the other service hangs", []int{1, 2, 5}, func(f *partialFleet) { f.setSome(hang, 0, linkDesks) }},
		{"nothing comes back", []int{1, 4, 7}, func(f *partialFleet) { f.cut(deaf, f.off...) }},
	})
}

// TestHostsWhoseLinksComeAndGoServeTheirCallers guards against hosts that trust links too early or too late.
func TestHostsWhoseLinksComeAndGoServeTheirCallers(t *testing.T) {
	playPartial(t, []partialCase{
		{"one by one", []int{2, 5, 8}, func(f *partialFleet) {
			f.setSome(hang, linkEngines, linkDesks)
			f.sleep(contact)
			for _, a := range f.addresses() {
				f.setOne(sound, a)
				f.sleep(100 * time.Millisecond)
			}
		}},
		{"flapping", []int{0, 3, 6}, func(f *partialFleet) {
			for range flaps {
				f.cut(hang, f.off...)
				f.sleep(flapTime)
				f.cut(sound, f.off...)
				f.sleep(flapTime)
			}
		}},
		{"one host after the other", []int{0, 4, 8, 1}, func(f *partialFleet) {
			for _, h := range f.off {
				f.cut(hang, h)
				f.lost = f.timer.Now()
				f.sleep(flapTime)
			}
		}},
	})
}
