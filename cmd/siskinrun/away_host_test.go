package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

const (
	awayHosts, awayWorkers = 6, 6
	// awayTime is how long a host is suspended at least, and backTime how long it is asked once it is back.
	awayTime = 5 * time.Second
	backTime = 3 * time.Second
	// askEvery is the time between two requests to a host that comes back, and askAhead that between a request to a host that
	// is still suspended and its return.
	askEvery = 30 * time.Millisecond
	askAhead = 300 * time.Millisecond
	// crashTimeout is the time in which a deadly request must have ended workers.
	crashTimeout = 10 * time.Second
)

// makeKnown sends a request to hosts until as many workers have ended as make it known to all.
func (f *plainFleet) makeKnown(r plainRequest, hosts ...string) {
	f.t.Helper()
	ctx, stop := context.WithTimeout(f.context, crashTimeout)
	defer stop()
	n := 0
	f.await(ctx, "crashes", func() error {
		n++
		f.try(ctx, hosts[n%len(hosts)], fmt.Sprint("known-", n), r)
		if f.deadly[r].count() < requestCrashesBorne {
			return errors.Newf("%d workers have ended", f.deadly[r].count())
		}
		return nil
	})
	is.New(f.t).NoErr(f.timer.Sleep(f.context, learning))
}

// askBack sends a request to a host again and again for backTime from its first answer on, and returns how often it was
// answered at all.
func (f *plainFleet) askBack(name, host string, r plainRequest) int {
	answered := 0
	until := f.timer.Now().Add(platformTimeout)
	for n := 0; f.timer.Now().Before(until); n++ {
		a := f.try(f.context, host, fmt.Sprint(name, "-", n), r)
		if a.status != 0 && answered == 0 {
			until = f.timer.Now().Add(backTime)
		}
		if a.status != 0 {
			answered++
		}
		if f.timer.Sleep(f.context, askEvery) != nil {
			break
		}
	}
	return answered
}

// TestHostThatWasAwayKnowsRequestsThatCrashUpstreams guards against a host that starts or wakes up and sends what all others
// know to crash upstreams.
func TestHostThatWasAwayKnowsRequestsThatCrashUpstreams(t *testing.T) {
	is := is.NewRelaxed(t)
	r := deadlyRequests[0]
	f := newPlainFleet(t, awayHosts, awayWorkers, r)
	asleep, killed := f.entries[1], f.entries[2]
	begin := f.timer.Now()
	is.NoErr(f.processes[asleep].Process.Signal(syscall.SIGSTOP))
	f.makeKnown(r, f.entries[0], f.entries[3], f.entries[4], f.entries[5])
	if d := begin.Add(awayTime).Sub(f.timer.Now()); d > 0 {
		is.NoErr(f.timer.Sleep(f.context, d))
	}
	before := f.deadly[r].sent()

	g := group.NewGroup(f.context)
	g.Go("ahead", func(ctx context.Context) error {
		f.try(ctx, asleep, "ahead", r)
		return nil
	})
	is.NoErr(f.timer.Sleep(f.context, askAhead))
	is.NoErr(f.processes[asleep].Process.Signal(syscall.SIGCONT))
	answered := f.askBack("woken", asleep, r)
	_ = g.Wait()
	woken := f.deadly[r].sent() - before
	f.awaitServing(f.context, asleep)

	f.kill(killed)
	f.start(killed)
	answeredStart := f.askBack("started", killed, r)
	started := f.deadly[r].sent() - before - woken
	f.awaitServing(f.context, killed)
	t.Logf("%d ended in all; the woken host sent %d of %d, the started one %d of %d", f.deadly[r].count(), woken, answered, started, answeredStart)
	is.Equal(woken, 0)
	is.Equal(started, 0)
	is.Equal(f.untrue(), 0)
	a := f.try(f.context, killed, "at-last", plainRequest{http.MethodPost, r.path, r.team, "sound", ""})
	is.True(a.served)
}
