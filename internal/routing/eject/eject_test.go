package eject_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/outcome"
	"siskinrun/internal/routing/eject"
)

var start = time.Unix(0, 0)

func watch(n int) *eject.Eject {
	e := eject.NewEject()
	for i := range n {
		e.Add(name(i), "llm")
	}
	return e
}

func name(i int) string { return fmt.Sprint("u", i) }

func fail(e *eject.Eject, u string, o outcome.Outcome, n int, at time.Time) {
	for range n {
		e.Observe(u, o, 0, at)
	}
}

func TestFailuresEject(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(e *eject.Eject)
		out  bool
	}{
		{"two failures", func(e *eject.Eject) { fail(e, "u0", outcome.Failed, 2, start) }, false},
		{"three failures", func(e *eject.Eject) { fail(e, "u0", outcome.Failed, 3, start) }, true},
		{"three timeouts", func(e *eject.Eject) { fail(e, "u0", outcome.TimedOut, 3, start) }, true},
		{"cancelled", func(e *eject.Eject) { fail(e, "u0", outcome.Cancelled, 50, start) }, false},
		{"a success between", func(e *eject.Eject) {
			fail(e, "u0", outcome.Failed, 2, start)
			fail(e, "u0", outcome.Succeeded, 1, start)
			fail(e, "u0", outcome.Failed, 2, start)
		}, false},
		{"two of three fail", func(e *eject.Eject) {
			for range 40 {
				fail(e, "u0", outcome.Failed, 2, start)
				fail(e, "u0", outcome.Succeeded, 1, start)
			}
			fail(e, "u0", outcome.Failed, 2, start)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := watch(6)
			c.act(e)
			is.Equal(e.Allowed("u0"), !c.out)
			is.Equal(e.Ejected("u0"), c.out)
		})
	}
}

func TestReturnTakesBoundedProbes(t *testing.T) {
	is := is.New(t)
	e := watch(6)
	fail(e, "u0", outcome.Failed, 3, start)
	is.True(!e.Probe("u0", true, start))
	at := start.Add(e.Hold)
	is.True(!e.Probe("u0", false, at)) // not with a request that may not be repeated
	is.True(e.Probe("u0", true, at))
	is.True(!e.Probe("u0", true, at)) // one at a time
	fail(e, "u0", outcome.Failed, 1, at)
	is.True(!e.Probe("u0", true, at.Add(e.Hold))) // held twice as long
	at = at.Add(2 * e.Hold)
	for range e.Proving {
		is.True(!e.Allowed("u0"))
		is.True(e.Probe("u0", true, at))
		e.Observe("u0", outcome.Succeeded, time.Millisecond, at)
	}
	is.True(e.Allowed("u0"))
}

func TestProbesStayRareThroughALongOutage(t *testing.T) {
	is := is.New(t)
	e := watch(6)
	fail(e, "u0", outcome.Failed, 3, start)
	probes := 0
	for at := start; at.Before(start.Add(10 * time.Minute)); at = at.Add(10 * time.Millisecond) {
		if e.Probe("u0", true, at) {
			probes++
			e.Observe("u0", outcome.TimedOut, 0, at)
		}
	}
	is.True(probes >= 10) // it is not given up
	is.True(probes <= 30) // 1+2+4+8+16 s, then each 30 s
}

func TestSilenceEjects(t *testing.T) {
	is := is.New(t)
	e := watch(6)
	for s := range 7 {
		at := start.Add(time.Duration(s) * time.Second)
		for i := range 5 {
			e.Heard(name(i), at)
		}
		if s == 0 {
			e.Heard("u5", at)
		}
		e.Sweep(at)
	}
	is.True(!e.Allowed("u5"))
	is.True(e.Allowed("u0"))
}

func TestObserverDoubtsItself(t *testing.T) {
	is := is.New(t)
	e := watch(6)
	for i := range 6 {
		e.Heard(name(i), start)
	}
	e.Sweep(start.Add(e.Silence + time.Second))
	is.True(e.Doubted("llm"))
	for i := range 6 {
		is.True(e.Ejected(name(i)))
		is.True(e.Allowed(name(i)))
	}
}

func TestSlownessEjectsFew(t *testing.T) {
	is := is.New(t)
	e := watch(10)
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
	out := 0
	for i := range 10 {
		if !e.Allowed(name(i)) {
			out++
		}
	}
	is.Equal(out, 2)
	at := start.Add(e.Hold)
	is.True(e.Probe("u0", true, at))
	e.Observe("u0", outcome.Succeeded, 200*time.Millisecond, at) // still slow
	is.True(!e.Allowed("u0"))
	is.True(!e.Probe("u0", true, at.Add(e.Hold)))
}

func TestRemovedAndRenewed(t *testing.T) {
	is := is.New(t)
	e := watch(3)
	fail(e, "u0", outcome.Failed, 3, start)
	fail(e, "u1", outcome.Failed, 3, start)
	is.True(e.Doubted("llm"))
	e.Add("u0", "llm")
	is.True(!e.Doubted("llm"))
	is.True(e.Allowed("u0"))
	e.Remove("u0")
	is.True(!e.Allowed("u0"))
}
