package connector_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/upstream"
)

const (
	// regainedTries is how many times links are cut everywhere and come back at one host.
	regainedTries = 12
	// regainTime is how long other hosts may take to use the links that one host has again.
	regainTime = time.Second
)

// TestLinksThatComeBackAtOneHostServeTheOthersWithinASecond checks that hosts which all had lost all upstreams reach each of them
// through the first host that does so again.
func TestLinksThatComeBackAtOneHostServeTheOthersWithinASecond(t *testing.T) {
	for n := range regainedTries {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, 9, 12)
			f.loseAll(t)
			is.NoErr(f.timer.Sleep(t.Context(), 3*time.Second))
			f.peers["h1"].setCut("")
			back := f.timer.Now()
			for _, u := range f.upstreams {
				f.peers["h0"].tryUntil(t, u, back.Add(3*regainTime))
			}
			took := f.timer.Now().Sub(back)
			t.Logf("all upstreams after %v", took)
			is.True(took < regainTime)
		})
	}
}

// loseAll cuts all links to upstreams and lets all hosts notice.
func (f *fleet) loseAll(t *testing.T) {
	t.Helper()
	for _, p := range f.peers {
		p.setCut("refuse")
	}
	for _, u := range f.upstreams {
		for _, p := range f.peers {
			_, _, err := p.try(t, u)
			is.New(t).True(err != nil)
		}
	}
}

// tryUntil connects a host to an upstream as often as it takes, for a limited time.
func (p *peer) tryUntil(t *testing.T, u upstream.Upstream, end time.Time) {
	t.Helper()
	m := p.fleet.timer
	for m.Now().Before(end) {
		if _, _, err := p.try(t, u); err == nil {
			return
		}
		is.New(t).NoErr(m.Sleep(t.Context(), 10*time.Millisecond))
	}
}
