package picker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/picker"
)

// versionedUpstreams returns n upstreams of each of two versions.
func versionedUpstreams(n int) []upstream.Upstream {
	var l []upstream.Upstream
	for i := range 2 * n {
		l = append(l, upstream.Upstream{
			Name: fmt.Sprintf("u%03d", i), Address: fmt.Sprint("x:", i), Service: "s", Kind: upstream.Engine, Slots: 8,
			Version: fmt.Sprint("v", i%2), FailureDomain: fmt.Sprint("d", i%3), Incarnation: 1,
		})
	}
	return l
}

func TestPickKeepsToAVersion(t *testing.T) {
	for _, n := range []int{2, 300} {
		t.Run(fmt.Sprint(2*n, " upstreams"), func(t *testing.T) {
			is := is.New(t)
			p := picker.NewPicker(1)
			now := time.Unix(100, 0)
			p.SetUpstreams(versionedUpstreams(n), now)
			for i := range 200 {
				d := demand.Demand{Service: "s", Version: "v1", PrefixHashes: []uint64{uint64(i), 7}}
				u, ok := p.Pick(now, d)
				is.True(ok)
				is.Equal(u.Version, "v1")
			}
			is.True(p.Serves(demand.Demand{Service: "s", Version: "v0"}))
			is.True(!p.Serves(demand.Demand{Service: "s", Version: "v2"}))
			is.True(!p.Serves(demand.Demand{Service: "z", Version: "v1"}))
		})
	}
}

// TestVersionOfASilentUpstreamIsNotCertain guards against a host that hears nothing of the others and lets a stream go on at an
// upstream that has started again with another version.
func TestVersionOfASilentUpstreamIsNotCertain(t *testing.T) {
	is := is.New(t)
	p := picker.NewPicker(1)
	p.VersionTTL = 5 * time.Second
	now := time.Unix(100, 0)
	l := versionedUpstreams(2)
	p.SetUpstreams(l, now)
	d := demand.Demand{Service: "s", Version: "v1"}
	for _, u := range l {
		p.MarkAlive(u.Name, now)
	}
	_, ok := p.Pick(now.Add(5*time.Second), d)
	is.True(ok)
	now = now.Add(5*time.Second + time.Millisecond)
	_, ok = p.Pick(now, d)
	is.True(!ok)
	_, ok = p.Pick(now, demand.Demand{Service: "s"})
	is.True(ok) // a new stream may begin there
	p.MarkAlive("u003", now)
	u, ok := p.Pick(now, d)
	is.True(ok)
	is.Equal(u.Name, "u003")
}

// TestHostOutOfStepIsCertainOfNoVersion guards against a host that has just woken, or is cut off, and takes what it knew for the
// present.
func TestHostOutOfStepIsCertainOfNoVersion(t *testing.T) {
	is := is.New(t)
	p := picker.NewPicker(1)
	now := time.Unix(100, 0)
	heard := now
	p.HeardAt = func() time.Time { return heard }
	l := versionedUpstreams(1)
	p.SetUpstreams(l, now)
	d := demand.Demand{Service: "s", Version: "v1"}
	_, ok := p.Pick(now.Add(time.Second), d)
	is.True(ok)
	woken := now.Add(2 * time.Second)
	_, ok = p.Pick(woken, d)
	is.True(!ok)
	_, ok = p.VersionDuring(l[1], woken)
	is.True(!ok)
	is.True(!p.VersionFresh(l[1].Name, woken))
	heard = woken.Add(100 * time.Millisecond)
	_, ok = p.Pick(heard, d)
	is.True(ok)
	v, ok := p.VersionDuring(l[1], woken)
	is.True(ok)
	is.Equal(v, "v1")
}

// TestVersionOfAStreamIsThatOfItsProcess guards against a stream that is recorded with the version of the process before.
func TestVersionOfAStreamIsThatOfItsProcess(t *testing.T) {
	is := is.New(t)
	p := picker.NewPicker(1)
	now := time.Unix(100, 0)
	l := versionedUpstreams(1)
	p.SetUpstreams(l, now)
	u := l[1]
	p.MarkAlive(u.Name, now)
	p.Started(u.Name)
	p.Finished(u.Name, outcome.Unreachable, 0, now.Add(time.Second))
	began := now.Add(2 * time.Second)
	_, ok := p.VersionDuring(u, began)
	is.True(!ok) // a process that began in between may answer
	_, ok = p.VersionDuring(u, now.Add(500*time.Millisecond))
	is.True(ok) // this stream began before, so the refusal is not about its process
	l[1].Version, l[1].Incarnation = "v2", 2
	p.SetUpstreams(l, began)
	p.MarkAlive(u.Name, began.Add(time.Millisecond))
	v, ok := p.VersionDuring(u, began)
	is.True(ok)
	is.Equal(v, "v2")
}

// TestReturnedUpstreamMustAnnounceItsVersion guards against an upstream that ends and comes back under its name with
// another version before its announcement has come.
func TestReturnedUpstreamMustAnnounceItsVersion(t *testing.T) {
	is := is.New(t)
	p := picker.NewPicker(1)
	now := time.Unix(100, 0)
	l := versionedUpstreams(1)
	p.SetUpstreams(l, now)
	d := demand.Demand{Service: "s", Version: "v1"}
	u, ok := p.Pick(now, d)
	is.True(ok)
	p.Started(u.Name)
	p.Finished(u.Name, outcome.Broken, 0, now)
	_, ok = p.Pick(now, d)
	is.True(!ok)
	_, ok = p.Pick(now, demand.Demand{Service: "s", Tried: []string{"u000"}})
	is.True(ok) // a new stream may begin there
	p.MarkAlive(u.Name, now.Add(time.Millisecond))
	_, ok = p.Pick(now.Add(time.Millisecond), d)
	is.True(ok)
	l[1].Version, l[1].Incarnation = "v2", 2
	p.SetUpstreams(l, now)
	_, ok = p.Pick(now, d)
	is.True(!ok)
}
