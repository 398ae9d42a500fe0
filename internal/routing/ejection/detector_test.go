package ejection_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/outcome"
	"siskinrun/internal/routing/ejection"
)

var start = time.Unix(0, 0)

func newDetector(n int) *ejection.Detector {
	e := ejection.NewDetector()
	for i := range n {
		e.Add(name(i), "llm")
	}
	return e
}

func name(i int) string { return fmt.Sprint("u", i) }

func observe(e *ejection.Detector, u string, o outcome.Outcome, n int, at time.Time) {
	for range n {
		e.Observe(u, o, 0, at)
	}
}

func TestFailuresEject(t *testing.T) {
	for _, c := range []struct {
		name    string
		act     func(e *ejection.Detector)
		ejected bool
	}{
		{"two failures", func(e *ejection.Detector) { observe(e, "u0", outcome.Failed, 2, start) }, false},
		{"three failures", func(e *ejection.Detector) { observe(e, "u0", outcome.Failed, 3, start) }, true},
		{"three timeouts", func(e *ejection.Detector) { observe(e, "u0", outcome.TimedOut, 3, start) }, true},
		{"cancelled", func(e *ejection.Detector) { observe(e, "u0", outcome.Cancelled, 50, start) }, false},
		{"a success between", func(e *ejection.Detector) {
			observe(e, "u0", outcome.Failed, 2, start)
			observe(e, "u0", outcome.Succeeded, 1, start)
			observe(e, "u0", outcome.Failed, 2, start)
		}, false},
		{"two of three fail", func(e *ejection.Detector) {
			for range 40 {
				observe(e, "u0", outcome.Failed, 2, start)
				observe(e, "u0", outcome.Succeeded, 1, start)
			}
			observe(e, "u0", outcome.Failed, 2, start)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newDetector(6)
			c.act(e)
			is.Equal(e.Allowed("u0"), !c.ejected)
			is.Equal(e.Ejected("u0"), c.ejected)
		})
	}
}

func TestRestoreTakesBoundedProbes(t *testing.T) {
	is := is.New(t)
	e := newDetector(6)
	observe(e, "u0", outcome.Failed, 3, start)
	is.True(!e.Probe("u0", true, start))
	at := start.Add(e.BaseEjectionTime)
	is.True(!e.Probe("u0", false, at)) // a request that must not be retried waits longer
	is.True(e.Probe("u0", true, at))
	is.True(!e.Probe("u0", true, at)) // one probe at a time
	observe(e, "u0", outcome.Failed, 1, at)
	is.True(!e.Probe("u0", true, at.Add(e.BaseEjectionTime))) // the ejection time has doubled
	at = at.Add(2 * e.BaseEjectionTime)
	for range e.RestoreProbes {
		is.True(!e.Allowed("u0"))
		is.True(e.Probe("u0", true, at))
		e.Observe("u0", outcome.Succeeded, time.Millisecond, at)
	}
	is.True(e.Allowed("u0"))
}

func TestProbesStayRareThroughALongOutage(t *testing.T) {
	is := is.New(t)
	e := newDetector(6)
	observe(e, "u0", outcome.Failed, 3, start)
	probes := 0
	for at := start; at.Before(start.Add(10 * time.Minute)); at = at.Add(10 * time.Millisecond) {
		if e.Probe("u0", true, at) {
			probes++
			e.Observe("u0", outcome.TimedOut, 0, at)
		}
	}
	is.True(probes >= 10) // probes continue
	is.True(probes <= 30) // ejections last 1, 2, 4, 8, 16 s, then 30 s each
}

func TestSilenceEjects(t *testing.T) {
	is := is.New(t)
	e := newDetector(6)
	for s := range 7 {
		at := start.Add(time.Duration(s) * time.Second)
		for i := range 5 {
			e.MarkAlive(name(i), at)
		}
		if s == 0 {
			e.MarkAlive("u5", at)
		}
		e.Sweep(at)
	}
	is.True(!e.Allowed("u5"))
	is.True(e.Allowed("u0"))
}

// TestUpstreamHeardAgainReturnsAtOnce guards against upstreams that wait for probes after a partition, though nothing but
// their silence spoke against them.
func TestUpstreamHeardAgainReturnsAtOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		act     func(e *ejection.Detector, at time.Time)
		allowed bool
	}{
		{"heard again", func(e *ejection.Detector, at time.Time) { e.MarkAlive("u5", at.Add(time.Second)) }, true},
		{"an old announcement", func(e *ejection.Detector, at time.Time) { e.MarkAlive("u5", at.Add(-time.Second)) }, false},
		{"a failed probe before", func(e *ejection.Detector, at time.Time) {
			observe(e, "u5", outcome.TimedOut, 1, at)
			e.MarkAlive("u5", at.Add(time.Second))
		}, false},
		{"still out of reach", func(e *ejection.Detector, at time.Time) {
			observe(e, "u5", outcome.Unreachable, 1, at)
			e.MarkAlive("u5", at.Add(time.Second))
		}, false},
		{"reached again", func(e *ejection.Detector, at time.Time) {
			observe(e, "u5", outcome.Unreachable, 1, at)
			e.MarkAlive("u5", at.Add(time.Second))
			e.MarkReachable("u5")
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newDetector(6)
			for i := range 6 {
				e.MarkAlive(name(i), start)
			}
			at := start.Add(e.SilenceTimeout + time.Second)
			for i := range 5 {
				e.MarkAlive(name(i), at)
			}
			e.Sweep(at)
			is.True(!e.Allowed("u5"))
			c.act(e, at)
			is.Equal(e.Allowed("u5"), c.allowed)
		})
	}
}

func TestEjectionsSuspendedAboveMaxShare(t *testing.T) {
	is := is.New(t)
	e := newDetector(6)
	for i := range 6 {
		e.MarkAlive(name(i), start)
	}
	e.Sweep(start.Add(e.SilenceTimeout + time.Second))
	is.True(e.Suspended("llm"))
	for i := range 6 {
		is.True(e.Ejected(name(i)))
		is.True(e.Allowed(name(i)))
	}
}

func TestSlownessEjectsBoundedShare(t *testing.T) {
	is := is.New(t)
	e := newDetector(10)
	for i := range 10 {
		d := 10 * time.Millisecond
		if i < 4 {
			d = 200 * time.Millisecond
		}
		for range 30 {
			e.Observe(name(i), outcome.Succeeded, d, start)
		}
	}
	e.Sweep(start)
	ejected := 0
	for i := range 10 {
		if !e.Allowed(name(i)) {
			ejected++
		}
	}
	is.Equal(ejected, 2)
	at := start.Add(e.BaseEjectionTime)
	is.True(e.Probe("u0", true, at))
	e.Observe("u0", outcome.Succeeded, 200*time.Millisecond, at) // still slow
	is.True(!e.Allowed("u0"))
	is.True(!e.Probe("u0", true, at.Add(e.BaseEjectionTime)))
}

func TestRemoveAndAddAgain(t *testing.T) {
	is := is.New(t)
	e := newDetector(3)
	observe(e, "u0", outcome.Failed, 3, start)
	observe(e, "u1", outcome.Failed, 3, start)
	is.True(e.Suspended("llm"))
	e.Add("u0", "llm")
	is.True(!e.Suspended("llm"))
	is.True(e.Allowed("u0"))
	e.Remove("u0")
	is.True(!e.Allowed("u0"))
}
