package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/product/settings"
	"siskinrun/pkg/refusal"
	"siskinrun/platform/wire"
)

const (
	// slowPath is the end of the path of streams that take long, with carriedStep between two events.
	slowPath    = "slow"
	carriedStep = 150 * time.Millisecond
	// leaveTime is the time in which a worker must learn that its caller is gone.
	leaveTime = 500 * time.Millisecond
	// withdrawTime is the time in which a call ends whose key is withdrawn.
	withdrawTime = 1500 * time.Millisecond
	// longChunks is the length of the longest body of a request in chunks.
	longChunks = 4 << 20
	// longBodyTime is the most that such a request may take, of which plainWorkTime is the worker's.
	longBodyTime = plainWorkTime + 500*time.Millisecond
	// travelTime is the most that a deadline may lose on its way to the worker.
	travelTime = 500 * time.Millisecond
)

// ledger holds the requests that reached the workers for streams, and those that have ended.
type ledger struct {
	mu    sync.Mutex
	seen  map[string]http.Header
	by    map[string]string
	ended map[string]time.Time
}

// attach lets the ledger follow a worker.
func (l *ledger) attach(w *platformWorker) {
	w.pace = func(path string, _ int) time.Duration {
		if strings.HasSuffix(path, slowPath) {
			return carriedStep
		}
		return workerStep
	}
	w.begins = func(q *http.Request) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.seen[q.Header.Get(wire.AttemptID)], l.by[q.Header.Get(wire.AttemptID)] = q.Header, w.id
		return false
	}
	w.finished = func(q *http.Request, _ bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ended[q.Header.Get(wire.AttemptID)] = w.fleet.timer.Now()
	}
}

// request returns the header of a request and the worker that it reached.
func (l *ledger) request(id string) (http.Header, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[id], l.by[id]
}

// end returns when a request ended at its worker.
func (l *ledger) end(id string) (time.Time, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.ended[id]; ok {
		return at, nil
	}
	return time.Time{}, errors.Newf("%s runs on", id)
}

// carriedFleet is a fleet whose first host reaches upstreams through others only.
type carriedFleet struct {
	*linkFleet
	*ledger
	context context.Context
	host    string
}

func newCarriedFleet(t *testing.T, tune func(s *settings.Settings)) *carriedFleet {
	t.Helper()
	l := &ledger{seen: map[string]http.Header{}, by: map[string]string{}, ended: map[string]time.Time{}}
	f, ctx := startLinkFleet(t, linkSetup{hosts: carriedHosts, tune: tune, engine: l.attach})
	h := f.entries[0]
	f.cut(hang, h)
	f.awaitServing(ctx, h)
	return &carriedFleet{linkFleet: f, ledger: l, context: ctx, host: h}
}

// TestClientThatLeavesACarriedStreamEndsItsRun guards against runs that go on at workers after their callers have left.
func TestClientThatLeavesACarriedStreamEndsItsRun(t *testing.T) {
	f := newCarriedFleet(t, nil)
	is := is.New(t)
	for _, path := range []string{streamPath, tellPath} {
		id := strings.Trim(path, "/") + "-left"
		s, err := f.open(f.context, f.host, streamRequest{id: id, path: path + slowPath, body: id})
		is.NoErr(err)
		is.NoErr(s.read(firstEvents))
		left := f.timer.Now()
		is.NoErr(s.body.Close())
		var at time.Time
		f.await(f.context, "end of the run", func() error {
			at, err = f.end(id)
			return err
		})
		t.Logf("%s ended %v after its caller had left", id, at.Sub(left))
		is.True(at.Sub(left) <= leaveTime)
		is.Equal(f.streamRuns()[id], 1)
	}
}

// TestCarriedRequestsArriveUnchanged guards against headers and bodies that are lost or changed on the way through another host.
func TestCarriedRequestsArriveUnchanged(t *testing.T) {
	f := newCarriedFleet(t, nil)
	is := is.New(t)
	for _, path := range []string{streamPath, tellPath, keyedPath} {
		q := streamRequest{id: strings.Trim(path, "/") + "-headers", path: path + "1", patience: 4 * time.Second}
		tenant := ""
		if path == keyedPath {
			q.key, tenant = "key-team0", "team0"
		}
		s, err := f.open(f.context, f.host, q)
		is.NoErr(err)
		is.Equal(s.status, http.StatusOK)
		is.NoErr(s.read(workerEvents))
		is.NoErr(s.body.Close())
		h, worker := f.request(q.id)
		is.Equal(h.Get(wire.AttemptID), q.id)
		is.Equal(h.Get(wire.ExpectedInstance), worker)
		is.Equal(h.Get(wire.Tenant), tenant)
		n, err := strconv.ParseInt(h.Get(wire.Deadline), 10, 64)
		is.NoErr(err)
		t.Logf("%s: deadline %d ms", q.id, n)
		is.True(n <= q.patience.Milliseconds() && n >= (q.patience-travelTime).Milliseconds())
	}
}

// TestLongBodiesPassThroughAnotherHost guards against bodies of requests that are cut, or held up, on the way.
func TestLongBodiesPassThroughAnotherHost(t *testing.T) {
	f := newCarriedFleet(t, nil)
	is := is.New(t)
	for _, h := range []string{f.host, f.entries[1]} {
		for _, id := range []string{"chunks", "lengths"} { // framed by the length of the ID
			for _, path := range []string{openPath, singlePath} {
				r := plainRequest{method: http.MethodPost, path: path + id, body: strings.Repeat("x", longChunks)}
				at := f.timer.Now()
				a := f.try(f.context, h, strings.Trim(path, "/")[:2]+id+h[len(h)-2:], r)
				took := f.timer.Now().Sub(at)
				t.Logf("%s at %s: %d, served %v in %v", r.path, h, a.status, a.served, took)
				is.True(a.served)
				is.True(took <= longBodyTime)
			}
		}
	}
}

// TestWithdrawnKeyEndsCarriedCalls guards against calls that go on through another host after their key was withdrawn.
func TestWithdrawnKeyEndsCarriedCalls(t *testing.T) {
	f := newCarriedFleet(t, func(s *settings.Settings) { s.Fleet.FinishWithdrawn = false })
	is := is.New(t)
	streams := map[string]*clientStream{}
	for _, h := range []string{f.host, f.entries[1]} {
		s, err := f.open(f.context, h, streamRequest{id: "key-" + h, path: keyedPath + slowPath, key: "key-team0"})
		is.NoErr(err)
		is.Equal(s.status, http.StatusOK)
		is.NoErr(s.read(firstEvents))
		streams[h] = s
	}
	c := strings.Replace(linkConfiguration, `"version": 8`, `"version": 9`, 1)
	c = strings.Replace(c, `"key-team0"`, `"key-other"`, 1)
	f.await(f.context, "configuration", func() error { return f.post(f.context, wire.PathConfigReplace, c) })
	at := f.timer.Now()
	for h, s := range streams {
		err := s.read(workerEvents)
		took := f.timer.Now().Sub(at)
		t.Logf("%s: %d events, %v after %v", h, s.last, err, took)
		is.True(s.last < workerEvents)
		is.True(took <= withdrawTime)
		_ = s.body.Close()
		f.await(f.context, "end of the run", func() error {
			_, err := f.end("key-" + h)
			return err
		})
		s, err = f.open(f.context, h, streamRequest{id: "key-again-" + h, path: keyedPath + slowPath, key: "key-team0"})
		is.NoErr(err)
		is.Equal(s.status, http.StatusUnauthorized)
		_ = s.body.Close()
	}
}

// TestLostLinksDoNotMakeARequestLookDeadly guards against requests that are refused as if they crashed upstreams, since links
// were lost under them again and again.
func TestLostLinksDoNotMakeARequestLookDeadly(t *testing.T) {
	f, ctx := startLinkFleet(t, linkSetup{hosts: carriedHosts})
	is := is.New(t)
	page := plainRequest{method: http.MethodGet, path: openPath + "page"}
	served, refused := 0, map[string]int{}
	for n := range 12 {
		var l []<-chan plainAnswer
		for i, h := range f.entries[:3] {
			c := make(chan plainAnswer, 1)
			l = append(l, c)
			f.group.Go("page", func(context.Context) error {
				c <- f.try(ctx, h, fmt.Sprint("page-", n, "-", i), page)
				return nil
			})
		}
		is.NoErr(f.timer.Sleep(ctx, plainWorkTime/2))
		f.cut(resets, f.entries[:3]...)
		is.NoErr(f.timer.Sleep(ctx, plainWorkTime))
		f.restore(f.entries[:3]...)
		is.NoErr(f.timer.Sleep(ctx, plainWorkTime))
		for _, c := range l {
			if a := <-c; a.served {
				served++
			} else {
				refused[a.kind()]++
			}
		}
	}
	t.Logf("%d served, others %v", served, refused)
	for k, n := range refused {
		if strings.Contains(k, "crashing") || strings.Contains(k, refusal.CodeSuspectRequest) {
			t.Errorf("%d of the requests were answered %s", n, k)
		}
	}
	is.Equal(f.untrue(), 0)
	for _, h := range f.entries {
		a := f.try(ctx, h, "last-"+h, page)
		t.Logf("%s: %s", h, a.kind())
		is.True(a.served)
	}
}
