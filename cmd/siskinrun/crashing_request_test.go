package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

const (
	plainHosts   = 12
	plainWorkers = 12
	// requestCrashesBorne is the number of crashes after which a whole request must be known, and maxRequestCrashes the most
	// workers that may end under it in all.
	requestCrashesBorne = 3
	maxRequestCrashes   = 6
	// minServed is the least share of sound requests that are served meanwhile.
	minServed = 0.9
	// deadlyTime is how long deadly requests keep coming, and deadlyApart the time between the first of each.
	deadlyTime  = 9 * time.Second
	deadlyApart = 1500 * time.Millisecond
	// deadlyEvery and soundEvery are the times between requests of one kind, and deadlyBurst is how many come at once.
	deadlyEvery = 450 * time.Millisecond
	soundEvery  = 60 * time.Millisecond
	deadlyBurst = 3
)

// deadlyRequests are one that may be repeated, one that runs once and one without a body.
var deadlyRequests = []plainRequest{
	{http.MethodPost, "/look/order?id=7", "team0", "deadly", ""},
	{http.MethodPost, "/once/order?id=7", "team0", "deadly", ""},
	{http.MethodGet, "/look/ledger?of=7", "team0", "", ""},
}

// soundRequests share two of path, team and body with a deadly one.
var soundRequests = map[string]func(n int) plainRequest{
	"another-body": func(n int) plainRequest {
		return plainRequest{http.MethodPost, deadlyRequests[n%2].path, "team0", fmt.Sprint("sound", n), ""}
	},
	"another-team": func(n int) plainRequest {
		r := deadlyRequests[n%3]
		r.team = fmt.Sprint("team", 1+n%2)
		return r
	},
	"another-path": func(n int) plainRequest {
		r := deadlyRequests[n%3]
		r.path += "1"
		return r
	},
	"page":       func(int) plainRequest { return plainRequest{method: http.MethodGet, path: plainPage} },
	"keyed-page": func(int) plainRequest { return plainRequest{http.MethodGet, "/look/page", "team0", "", ""} },
}

// soundTraffic returns the sound requests that keep coming.
func (f *plainFleet) soundTraffic() []*plainTraffic {
	var l []*plainTraffic
	for n, r := range soundRequests {
		l = append(l, &plainTraffic{fleet: f, name: n, every: soundEvery, request: r, random: rand.New(rand.NewPCG(30, uint64(len(n))))})
	}
	return l
}

// deadlyTraffic returns a deadly request that keeps coming.
func (f *plainFleet) deadlyTraffic(i int) *plainTraffic {
	return &plainTraffic{
		fleet: f, name: fmt.Sprint("deadly", i), every: deadlyEvery, burst: deadlyBurst, again: true,
		request: func(int) plainRequest { return deadlyRequests[i] }, random: rand.New(rand.NewPCG(30, uint64(1000+i))),
	}
}

// served returns the share of sound requests that were served, of those counted, and logs what became of them.
func (f *plainFleet) served(l []*plainTraffic, counted func(at time.Time) bool) float64 {
	sent, served := 0, 0
	for _, t := range l {
		s, n, others := t.counts(counted)
		sent += s
		served += n
		f.t.Logf("%s: %d of %d served, others %v", t.name, n, s, others)
	}
	return float64(served) / float64(sent)
}

// TestRequestThatCrashesUpstreamsIsStopped guards against one request, sent again and again, ending one upstream after the other.
func TestRequestThatCrashesUpstreamsIsStopped(t *testing.T) {
	is := is.NewRelaxed(t)
	f := newPlainFleet(t, plainHosts, plainWorkers, deadlyRequests...)
	traffic, stop := context.WithCancel(f.context)
	g := group.NewGroup(traffic)
	sound := f.soundTraffic()
	for _, s := range sound {
		g.Go(s.name, s.run)
	}
	is.NoErr(f.timer.Sleep(f.context, time.Second))
	begin := f.timer.Now()
	var deadly []*plainTraffic
	for i := range deadlyRequests {
		d := f.deadlyTraffic(i)
		deadly = append(deadly, d)
		g.Go(d.name, d.run)
		is.NoErr(f.timer.Sleep(f.context, deadlyApart))
	}
	is.NoErr(f.timer.Sleep(f.context, deadlyTime))
	stop()
	_ = g.Wait()
	is.NoErr(f.timer.Sleep(f.context, time.Second))

	share := f.served(sound, func(at time.Time) bool { return !at.Before(begin) })
	untrue := f.untrue()
	t.Logf("%.3f of the sound requests served, %d of %d refused attempts reached a worker", share, untrue, len(f.refused))
	for i, r := range deadlyRequests {
		c := f.deadly[r]
		_, _, others := deadly[i].counts(func(time.Time) bool { return true })
		t.Logf("%s %s: %d ended, %d sends, %d of them late; answers %v", r.method, r.path, c.count(), len(c.sends),
			c.lateAfter(requestCrashesBorne), others)
	}
	for i, r := range deadlyRequests {
		c := f.deadly[r]
		is.True(c.count() > 0)
		is.True(deadly[i].refusedAsCrashing() > 0)
		is.True(c.count() <= maxRequestCrashes)
		is.True(c.lateAfter(requestCrashesBorne) <= maxLateSends)
	}
	is.True(share >= minServed)
	is.Equal(untrue, 0)
}
