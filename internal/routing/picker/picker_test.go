package picker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/affinity"
	"siskinrun/internal/routing/picker"
)

var start = time.Unix(1000, 0)

func fleet(n, domains int) []upstream.Upstream {
	l := make([]upstream.Upstream, n)
	for i := range l {
		l[i] = upstream.Upstream{
			Name:          fmt.Sprintf("u%04d", i),
			Kind:          upstream.Engine,
			Service:       "llm",
			Models:        []string{"m@1", "m@1+a"},
			FailureDomain: fmt.Sprintf("d%d", i%domains),
			Slots:         16,
			Incarnation:   1,
		}
	}
	return l
}

func TestPickFollowsCountsAndDomain(t *testing.T) {
	is := is.New(t)
	c := picker.NewPicker(1)
	c.SetUpstreams(fleet(6, 3), start)
	d := demand.Demand{Service: "llm", Model: "m", FailureDomain: "d1"}
	seen := map[string]int{}
	at := start
	for range 4 {
		at = at.Add(time.Second)
		u, ok := c.Pick(at, d)
		is.True(ok)
		is.Equal(u.FailureDomain, "d1")
		c.Started(u.Name)
		seen[u.Name]++
	}
	is.Equal(seen, map[string]int{"u0001": 2, "u0004": 2})
	c.SetPeerRequests("u0001", 8, start)
	c.SetPeerRequests("u0004", 8, start)
	u, ok := c.Pick(start, d)
	is.True(ok)
	is.True(u.FailureDomain != "d1") // spills over to another failure domain
}

func TestPickMatchesModels(t *testing.T) {
	c := picker.NewPicker(1)
	l := fleet(3, 1)
	l[1].Models = []string{"m@2"}
	c.SetUpstreams(l, start)
	for _, v := range []struct {
		service, model string
		want           bool
	}{
		{"llm", "m@2", true},
		{"llm", "m@1+a", true},
		{"llm", "m+a", true},
		{"llm", "m", true},
		{"llm", "", true},
		{"llm", "m@3", false},
		{"llm", "m@2+a", false},
		{"desk", "", false},
	} {
		t.Run(v.service+"/"+v.model, func(t *testing.T) {
			is := is.New(t)
			u, ok := c.Pick(start, demand.Demand{Service: v.service, Model: v.model})
			is.Equal(ok, v.want)
			if v.model == "m@2" {
				is.Equal(u.Name, "u0001")
			}
		})
	}
}

func TestPickFollowsPrefixUntilLoaded(t *testing.T) {
	is := is.New(t)
	c := picker.NewPicker(1)
	c.SetUpstreams(fleet(300, 1), start)
	p := affinity.Hash(nil, "m@1", make([]byte, 32*affinity.BlockBytes))
	d := demand.Demand{Service: "llm", Model: "m@1", FailureDomain: "d0", PrefixHashes: p}
	first, _ := c.Pick(start, d)
	for i := range 20 {
		u, ok := c.Pick(start.Add(time.Duration(i+1)*time.Second), d)
		is.True(ok)
		is.Equal(u.Name, first.Name)
	}
	c.SetPeerRequests(first.Name, 16, start)
	u, ok := c.Pick(start, d)
	is.True(ok)
	is.True(u.Name != first.Name)
}

func TestUnexplainedReportedLoadCounts(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   string
		report loadreport.Report
		want   string
	}{
		{"running on a service", upstream.Service, loadreport.Report{Running: 12}, "u0001"},
		{"running on an engine may be batch", upstream.Engine, loadreport.Report{Running: 12}, "u0000"},
		{"waiting at an engine", upstream.Engine, loadreport.Report{Running: 16, Waiting: 3}, "u0001"},
		{"explained", upstream.Service, loadreport.Report{Running: 1}, "u0000"},
		{"old incarnation", upstream.Service, loadreport.Report{Running: 12, Incarnation: 99}, "u0000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := picker.NewPicker(1)
			r.ReportTTL = 2 * time.Second
			l := fleet(2, 1)
			l[0].Kind, l[1].Kind = c.kind, c.kind
			r.SetUpstreams(l, start)
			d := demand.Demand{Service: "llm", Model: "m", FailureDomain: "d0"}
			r.SetPeerRequests("u0000", 1, start)
			r.SetPeerRequests("u0001", 2, start)
			c.report.Upstream = "u0000"
			c.report.Incarnation = max(c.report.Incarnation, 1)
			r.Report(c.report, start.Add(time.Second))
			u, _ := r.Pick(start.Add(time.Second), d)
			is.Equal(u.Name, c.want)
			u, _ = r.Pick(start.Add(time.Second+r.ReportTTL), d)
			is.Equal(u.Name, "u0000") // the report has expired
		})
	}
}

func TestLeavingAndOldIncarnationsGetNoRequests(t *testing.T) {
	is := is.New(t)
	c := picker.NewPicker(1)
	d := demand.Demand{Service: "llm", Model: "m"}
	old := fleet(1, 1)
	old[0].Incarnation = 3
	c.SetUpstreams(old, start)
	left := fleet(1, 1)
	left[0].Incarnation = 4
	left[0].Leaving = true
	c.SetUpstreams(left, start)
	_, ok := c.Pick(start, d)
	is.True(!ok)
	c.SetUpstreams(old, start) // an older announcement does not revive it
	_, ok = c.Pick(start, d)
	is.True(!ok)
	c.SetUpstreams(nil, start)
	c.SetUpstreams(old, start)
	_, ok = c.Pick(start, d)
	is.True(!ok)
	left[0].Leaving = false
	c.SetUpstreams(left, start) // nor does a late announcement of the incarnation that left
	_, ok = c.Pick(start, d)
	is.True(!ok)
	restarted := fleet(1, 1)
	restarted[0].Incarnation = 5
	c.SetUpstreams(restarted, start)
	_, ok = c.Pick(start, d)
	is.True(ok)
}

func TestRequestsCountAcrossRemoval(t *testing.T) {
	is := is.New(t)
	c := picker.NewPicker(1)
	c.SetUpstreams(fleet(1, 1), start)
	c.Started("u0000")
	c.Started("u0000")
	c.SetUpstreams(nil, start)
	c.Finished("u0000", outcome.Succeeded, time.Millisecond, start)
	c.SetUpstreams(fleet(1, 1), start)
	is.Equal(c.OwnRequests("u0000"), 1)
}

func TestFailingUpstreamIsSkipped(t *testing.T) {
	is := is.New(t)
	c := picker.NewPicker(1)
	c.SetUpstreams(fleet(4, 1), start)
	for range 3 {
		c.Started("u0002")
		c.Finished("u0002", outcome.Failed, 0, start)
	}
	d := demand.Demand{Service: "llm", Model: "m", FailureDomain: "d0"}
	for range 100 {
		u, ok := c.Pick(start, d)
		is.True(ok)
		is.True(u.Name != "u0002")
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	is := is.New(t)
	c := picker.NewPicker(1)
	c.SetUpstreams(fleet(1200, 12), start)
	d := demand.Demand{Service: "llm", Model: "m@1", PrefixHashes: affinity.Hash(nil, "m@1", make([]byte, 32*affinity.BlockBytes))}
	n := testing.AllocsPerRun(1000, func() {
		u, _ := c.Pick(start, d)
		c.Started(u.Name)
		c.Finished(u.Name, outcome.Succeeded, time.Millisecond, start)
	})
	is.Equal(n, 0.0)
}

func benchmarkPick(b *testing.B, n, domains int, prefix bool) {
	c := picker.NewPicker(1)
	c.SetUpstreams(fleet(n, domains), start)
	prompts := make([][]uint64, 64)
	for i := range prompts {
		if prefix {
			prompts[i] = affinity.Hash(nil, fmt.Sprint(i), make([]byte, 32*affinity.BlockBytes))
		}
	}
	names := make([]string, 0, 64)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		at := start.Add(time.Duration(i) * 200 * time.Microsecond)
		u, ok := c.Pick(at, demand.Demand{Service: "llm", Model: "m@1", FailureDomain: "d1", PrefixHashes: prompts[i%64]})
		if !ok {
			b.Fatal("nothing picked")
		}
		c.Started(u.Name)
		names = append(names, u.Name)
		if len(names) == cap(names) {
			for _, n := range names {
				c.Finished(n, outcome.Succeeded, time.Millisecond, at)
			}
			names = names[:0]
		}
	}
}

// The Today benchmarks pick from 15 upstreams, the Target benchmarks from the target of 1,200 in docs/CAPACITY.md.

func BenchmarkPickToday(b *testing.B)        { benchmarkPick(b, 15, 3, false) }
func BenchmarkPickTodayPrefix(b *testing.B)  { benchmarkPick(b, 15, 3, true) }
func BenchmarkPickTarget(b *testing.B)       { benchmarkPick(b, 1200, 12, false) }
func BenchmarkPickTargetPrefix(b *testing.B) { benchmarkPick(b, 1200, 12, true) }
