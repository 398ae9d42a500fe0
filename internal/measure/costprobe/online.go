package costprobe

import (
	"fmt"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/callrecord"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/limits/allowance"
	"siskinrun/internal/limits/grantreply"
	"siskinrun/internal/limits/wfq"
	"siskinrun/internal/measure/burnrate"
	"siskinrun/internal/measure/decisionlog"
	"siskinrun/internal/routing/picker"
)

const (
	slots          = 32
	modelCount     = 4
	failureDomains = 15
	pickInterval   = 200 * time.Microsecond
	queuedPerTeam  = 2
	queueCapacity  = 1 << 16
	grantUnits     = 1 << 50
	grantTTL       = 1000 * time.Hour
	service        = "llm"
)

func (p *Probe) measurePicker() error {
	pickTime := p.newCurve("choose-upstream", "ns a choice", "upstreams", TargetUpstreams)
	stateBytes := p.newCurve("choose-upstream", "state bytes", "upstreams", TargetUpstreams)
	for _, n := range []int{75, 300, 600, 1200} {
		before := heapBytes()
		c := picker.NewPicker(1)
		c.SetUpstreams(upstreams(n), p.now)
		stateBytes.Add(float64(n), heapBytes()-before)
		missing := 0
		v, err := cpuTimePerRun(func(i int) {
			at := p.now.Add(time.Duration(i) * pickInterval)
			u, ok := c.Pick(at, demand.Demand{
				Service:       service,
				Model:         fmt.Sprint("m", i%modelCount, "@1"),
				FailureDomain: fmt.Sprint("d", i%failureDomains),
			})
			if !ok {
				missing++
				return
			}
			c.Started(u.Name)
			c.Finished(u.Name, outcome.Succeeded, time.Millisecond, at)
		})
		if err != nil {
			return err
		}
		if missing > 0 {
			return errors.Newf("picker: %d picks found no upstream among %d", missing, n)
		}
		pickTime.Add(float64(n), v)
		runtime.KeepAlive(c)
	}
	return nil
}

func upstreams(n int) []upstream.Upstream {
	var l []upstream.Upstream
	for i := range n {
		l = append(l, upstream.Upstream{
			Name:          fmt.Sprintf("engine-%04d", i),
			Address:       fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			FailureDomain: fmt.Sprint("d", i%failureDomains),
			Kind:          upstream.Engine,
			Service:       service,
			Models:        []string{fmt.Sprint("m", i%modelCount, "@1")},
			Slots:         slots,
			Incarnation:   1,
		})
	}
	return l
}

// measureAdmission measures the admission of requests from the allowance that the host holds.
func (p *Probe) measureAdmission() error {
	admissionTime := p.newCurve("admission", "ns an admission", "teams", TargetTeams)
	stateBytes := p.newCurve("admission", "state bytes", "teams", TargetTeams)
	for _, n := range []int{125, 500, 1000, 2000} {
		before := heapBytes()
		names := teamNames(n)
		m := map[string]*allowance.Allowance{}
		for _, t := range names {
			a := &allowance.Allowance{Team: t, Host: "h", Boot: 1}
			q, ok := a.NextRequest(p.now, 1, 1)
			if !ok {
				return errors.New("admission: the allowance requested no grant")
			}
			a.ApplyReply(p.now, grantreply.Reply{Sequence: q.Sequence, Term: 1, Grant: 1, Units: grantUnits, TTL: grantTTL, Rate: 1, Burst: grantUnits})
			m[t] = a
		}
		stateBytes.Add(float64(n), heapBytes()-before)
		refused := 0
		v, err := cpuTimePerRun(func(i int) {
			a := m[names[i%n]]
			a.RecordDemand(p.now, 1)
			if !a.Spend(p.now, 1) {
				refused++
			}
		})
		if err != nil {
			return err
		}
		if refused > 0 {
			return errors.Newf("admission: %d requests were refused", refused)
		}
		admissionTime.Add(float64(n), v)
	}
	return nil
}

func teamNames(n int) []string {
	l := make([]string, n)
	for i := range l {
		l[i] = fmt.Sprint("team-", i)
	}
	return l
}

// measureFairQueue measures a weighted fair queue in which every team has waiting items.
func (p *Probe) measureFairQueue() error {
	queueTime := p.newCurve("fair queue", "ns a push and pop", "waiting teams", TargetTeams)
	stateBytes := p.newCurve("fair queue", "state bytes", "waiting teams", TargetTeams)
	for _, n := range []int{125, 500, 1000, 2000} {
		names := teamNames(n)
		before := heapBytes()
		q := &wfq.Queue[int]{MaxPerTeam: slots, MaxItems: queueCapacity}
		for i, t := range names {
			for range queuedPerTeam {
				q.Push(t, 1, int64(1+i%7), p.now.Add(time.Hour), i)
			}
		}
		stateBytes.Add(float64(n), heapBytes()-before)
		v, err := cpuTimePerRun(func(i int) {
			k, _ := q.Pop()
			q.Push(names[k], 1, int64(1+i%7), p.now.Add(time.Hour), k)
		})
		if err != nil {
			return err
		}
		if q.Len() != queuedPerTeam*n {
			return errors.Newf("fair queue: %d items are queued, not %d", q.Len(), queuedPerTeam*n)
		}
		queueTime.Add(float64(n), v)
	}
	return nil
}

func (p *Probe) measureBurnRate() error {
	return p.measureAdding("burn", "series", TargetSeries, []int{500, 2000, 4000, 8000}, func(names []string) func(i int) {
		b := burnrate.NewTracker("h")
		return func(i int) {
			b.Add(callrecord.Record{Team: names[i%len(names)], Status: 200, Upstream: names[i%slots], EndedAt: p.now}, route.Route{})
		}
	})
}

func (p *Probe) measureDecisionLog() error {
	sizes := []int{1024, 2048, 4096, 8192}
	return p.measureAdding("decisions", "decisions", decisionlog.DefaultSize, sizes, func(names []string) func(i int) {
		t := decisionlog.NewLog("h", len(names))
		return func(i int) {
			t.Add(callrecord.Record{ID: fmt.Sprint("req-", i), Team: names[i%slots], Upstream: names[i%slots], EndedAt: p.now})
		}
	})
}

// measureAdding measures a component to which calls are added, filled with as many as its size; create returns the function
// that adds call i to a new one.
func (p *Probe) measureAdding(area, dimension string, target float64, sizes []int, create func(names []string) func(i int)) error {
	recordTime := p.newCurve(area, "ns a record", dimension, target)
	stateBytes := p.newCurve(area, "state bytes", dimension, target)
	for _, n := range sizes {
		names := teamNames(n)
		before := heapBytes()
		add := create(names)
		for i := range n {
			add(i)
		}
		stateBytes.Add(float64(n), heapBytes()-before)
		v, err := cpuTimePerRun(add)
		if err != nil {
			return err
		}
		recordTime.Add(float64(n), v)
	}
	return nil
}
