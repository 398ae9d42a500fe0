package main

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

const (
	// fineTime is how long a request is answered before it becomes deadly, and turnedTime how long it is deadly.
	fineTime   = 4 * time.Second
	turnedTime = 9 * time.Second
)

// TestRequestThatBecomesDeadlyIsStopped guards against earlier answers to a request outweighing the upstreams that end under it
// since.
func TestRequestThatBecomesDeadlyIsStopped(t *testing.T) {
	is := is.NewRelaxed(t)
	f := newPlainFleet(t, domainHosts, plainWorkers, deadlyRequests[:1]...)
	f.harmless.Store(true)
	traffic, stop := context.WithCancel(f.context)
	g := group.NewGroup(traffic)
	sound := f.soundTraffic()
	for _, s := range sound {
		g.Go(s.name, s.run)
	}
	d := f.deadlyTraffic(0)
	g.Go(d.name, d.run)
	is.NoErr(f.timer.Sleep(f.context, fineTime))
	turned := f.timer.Now()
	f.harmless.Store(false)
	is.NoErr(f.timer.Sleep(f.context, turnedTime))
	stop()
	_ = g.Wait()
	is.NoErr(f.timer.Sleep(f.context, time.Second))

	fine := f.served([]*plainTraffic{d}, func(at time.Time) bool { return at.Before(turned.Add(-time.Second)) })
	share := f.served(sound, func(at time.Time) bool { return !at.Before(turned) })
	c, untrue := f.deadly[deadlyRequests[0]], f.untrue()
	t.Logf("%.3f served before; then %d ended, %d sends, %d of them late; %.3f of the sound requests served, %d of %d refused ones reached a worker",
		fine, c.count(), c.sent(), c.lateAfter(requestCrashesBorne), share, untrue, len(f.refused))
	is.True(fine >= minServed)
	is.True(c.count() >= requestCrashesBorne)
	is.True(c.count() <= maxRequestCrashes)
	is.True(c.lateAfter(requestCrashesBorne) <= maxLateSends)
	is.True(share >= minServed)
	is.Equal(untrue, 0)
}
