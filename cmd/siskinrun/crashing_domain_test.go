package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

const (
	domainHosts = 6
	// domainCrashes is how often all workers of a failure domain crash, each within domainSpread, and domainApart the time
	// between two such crashes.
	domainCrashes = 5
	domainSpread  = 100 * time.Millisecond
	domainApart   = 3 * time.Second
	// crashDistance is the time from a crash within which requests are not judged.
	crashDistance = 500 * time.Millisecond
	// pageEvery is the time between two requests for a page that everybody polls.
	pageEvery = 20 * time.Millisecond
)

// polledAndUnique are requests that are on every worker that crashes, and others that come once.
var polledAndUnique = map[string]func(n int) plainRequest{
	"page":       func(int) plainRequest { return plainRequest{method: http.MethodGet, path: plainPage} },
	"keyed-page": func(int) plainRequest { return plainRequest{http.MethodGet, "/look/page", "team0", "", ""} },
	"slow-page":  func(int) plainRequest { return plainRequest{http.MethodGet, "/look/slow", "team1", "", ""} },
	"form":       func(int) plainRequest { return plainRequest{http.MethodPost, "/look/form", "team1", "the same", ""} },
	"once-form":  func(int) plainRequest { return plainRequest{http.MethodPost, "/once/form", "team2", "the same", ""} },
	"unique": func(n int) plainRequest {
		return plainRequest{http.MethodPost, "/look/unique", "team2", fmt.Sprint("unique", n), ""}
	},
}

// crashDomain ends all workers of a failure domain within domainSpread and returns when it did.
func (f *plainFleet) crashDomain(domain int, random *rand.Rand) time.Time {
	at := f.timer.Now()
	g := group.NewGroup(f.context)
	f.mu.Lock()
	for slot, w := range f.workers {
		if slot%len(platformEntries) != domain {
			continue
		}
		d := time.Duration(random.Int64N(int64(domainSpread)))
		g.Go("crash", func(ctx context.Context) error {
			if f.timer.Sleep(ctx, d) == nil {
				w.end(f.context)
			}
			return nil
		})
	}
	f.mu.Unlock()
	_ = g.Wait()
	return at
}

// TestSoundRequestsOutliveCrashesOfTheirUpstreams guards against sound requests that are kept away since their upstreams
// crashed for other reasons.
func TestSoundRequestsOutliveCrashesOfTheirUpstreams(t *testing.T) {
	is := is.NewRelaxed(t)
	f := newPlainFleet(t, domainHosts, plainWorkers)
	traffic, stop := context.WithCancel(f.context)
	g := group.NewGroup(traffic)
	var sound []*plainTraffic
	for n, r := range polledAndUnique {
		every := soundEvery
		if strings.HasSuffix(n, "page") {
			every = pageEvery
		}
		s := &plainTraffic{fleet: f, name: n, every: every, request: r, random: rand.New(rand.NewPCG(31, uint64(len(n))))}
		sound = append(sound, s)
		g.Go(n, s.run)
	}
	var crashed []time.Time
	random := rand.New(rand.NewPCG(31, 31))
	for n := range domainCrashes {
		is.NoErr(f.timer.Sleep(f.context, domainApart))
		crashed = append(crashed, f.crashDomain(n%len(platformEntries), random))
	}
	is.NoErr(f.timer.Sleep(f.context, domainApart))
	stop()
	_ = g.Wait()

	refused := 0
	for _, s := range sound {
		_, _, others := s.counts(func(time.Time) bool { return true })
		t.Logf("%s: not served at any time: %v", s.name, others)
		refused += s.refusedAsCrashing()
	}
	share := f.served(sound, func(at time.Time) bool { return !nearAny(at, crashed) })
	t.Logf("%.3f of the requests away from a crash served, %d refused as crashing", share, refused)
	is.Equal(refused, 0)
	is.True(share >= minServed)
}

// nearAny reports whether a time is within crashDistance of any crash.
func nearAny(at time.Time, crashed []time.Time) bool {
	for _, c := range crashed {
		if at.After(c.Add(-crashDistance)) && at.Before(c.Add(domainSpread+crashDistance)) {
			return true
		}
	}
	return false
}
