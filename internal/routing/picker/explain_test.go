package picker_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/evacuation"
	"siskinrun/internal/routing/picker"
	"siskinrun/internal/routing/subset"
)

// TestExplainNamesWhatPickReturnsAndChangesNothing guards against an explanation that follows other rules than the choice, and
// against one that leaves a trace: each choice is explained twice before it is made, and all are as recorded without.
func TestExplainNamesWhatPickReturnsAndChangesNothing(t *testing.T) {
	is := is.New(t)
	for n, want := range map[int]uint64{12: 2853354764546711403, 90: 8843235823924544377} {
		explained := func(p *picker.Picker, now time.Time, d demand.Demand) (upstream.Upstream, bool) {
			e := p.Explain(now, d)
			is.Equal(p.Explain(now, d), e)
			u, ok := p.Pick(now, d)
			is.Equal(e.Upstream, u.Name)
			is.Equal(len(e.Candidates), n)
			return u, ok
		}
		is.Equal(recordedDecisions(n, explained), want)
	}
}

// TestExplainFollowsThePaceAndTheDomain guards against an explanation that updates the decision on leaving the domain, or the
// prompts that count as sent.
func TestExplainFollowsThePaceAndTheDomain(t *testing.T) {
	is := is.New(t)
	free := 0.0
	plain, explained := newDomainPicker(&free), newDomainPicker(&free)
	r := rand.New(rand.NewPCG(1, 2))
	now, left := start, 0
	for range 3000 {
		step := time.Duration(r.IntN(20)) * time.Millisecond
		explained.Explain(now.Add(step/2), demand.Demand{Service: "s", FailureDomain: "d0"})
		now = now.Add(step)
		u, pace, peers := name(r.IntN(12)), 80+r.IntN(150), r.IntN(9)
		d := demand.Demand{Service: "s", FailureDomain: "d0"}
		e := explained.Explain(now, d)
		a, _ := plain.Pick(now, d)
		b, _ := explained.Pick(now, d)
		is.Equal(a.Name, b.Name)
		is.Equal(e.Upstream, b.Name)
		if a.FailureDomain != "d0" {
			left++
		}
		for _, p := range []*picker.Picker{plain, explained} {
			p.SetPace(u, pace, now)
			p.SetPeerRequests(u, peers, now)
		}
	}
	is.True(left > 0) // otherwise the decision on leaving was not reached
}

func newDomainPicker(traffic *float64) *picker.Picker {
	p := picker.NewPicker(5)
	p.DomainTraffic = traffic
	var l []upstream.Upstream
	for i := range 12 {
		l = append(l, upstream.Upstream{Name: name(i), Service: "s", FailureDomain: fmt.Sprint("d", i%3), Slots: 4})
	}
	p.SetUpstreams(l, start)
	return p
}

// TestExplainNamesWhyUpstreamsAreSkipped guards against a reason that is missing or wrong.
func TestExplainNamesWhyUpstreamsAreSkipped(t *testing.T) {
	is := is.New(t)
	g := &evacuation.Gate{}
	p := picker.NewPicker(1)
	p.Gate = g
	p.Limits = fixedLimits{next: map[string]time.Time{"limited": start.Add(time.Hour)}}
	l := []upstream.Upstream{}
	for _, n := range []string{"busy", "ejected", "evacuated", "far", "free", "leaving", "limited", "other-model", "other-version", "tried", "unreachable"} {
		l = append(l, upstream.Upstream{Name: n, Service: "s", Models: []string{"m"}, Version: "v1", FailureDomain: "d0", Slots: 2, Leaving: n == "leaving"})
	}
	l[2].FailureDomain, l[3].FailureDomain = "d1", "d2"
	l[7].Models, l[8].Version = []string{"n"}, "v2"
	p.SetUpstreams(l, start)
	is.Equal(reasons(p, demand.Demand{Service: "s"})["free"], "no-configuration")
	g.Set(map[string]bool{"d1": true})
	p.Reopen(start)
	for range 3 {
		p.Finished("ejected", outcome.Failed, 0, start)
	}
	p.Finished("unreachable", outcome.Unreachable, 0, start)
	p.MarkAlive("unreachable", start.Add(time.Nanosecond)) // its version is certain again
	p.SetPeerRequests("busy", 2, start)
	d := demand.Demand{Service: "s", Model: "m", Version: "v1", FailureDomain: "d0", Tried: []string{"tried"}}
	is.Equal(reasons(p, d), map[string]string{
		"busy": "full", "ejected": "ejected", "evacuated": "evacuated", "far": "other-domain", "free": "chosen", "leaving": "leaving",
		"limited": "limited", "other-model": "other-model", "other-version": "other-version", "tried": "tried", "unreachable": "unreachable",
	})
	d.Tried = []string{"tried", "free", "far", "busy"}
	e := p.Explain(start, d)
	is.Equal(e.Upstream, "")
	is.Equal(e.NextPermit.Duration(), time.Hour)
}

func reasons(p *picker.Picker, d demand.Demand) map[string]string {
	m := map[string]string{}
	for _, c := range p.Explain(start, d).Candidates {
		m[c.Upstream] = c.Reason
	}
	return m
}

// TestExplainUsesTheSettingsOfThePicker guards against a setting that a copy of the picker does without.
func TestExplainUsesTheSettingsOfThePicker(t *testing.T) {
	is := is.New(t)
	p := picker.NewPicker(1)
	v := reflect.ValueOf(p).Elem()
	f := 0.5
	p.DomainTraffic, p.VersionTTL, p.HeardAt = &f, time.Hour, time.Now
	p.Preferred = &subset.Chooser{Host: "h", KeepTime: func() time.Duration { return time.Second }}
	p.Limits, p.Gate, p.Paths, p.RunsWhole = fixedLimits{}, &evacuation.Gate{}, gateways{}, func(string) bool { return false }
	k := reflect.ValueOf(picker.Clone(p)).Elem()
	for i := range v.NumField() {
		if n := v.Type().Field(i); n.IsExported() {
			is.True(!v.Field(i).IsZero())                      // the test sets each setting
			is.Equal(k.Field(i).IsZero(), v.Field(i).IsZero()) // and the copy has it
		}
	}
}
