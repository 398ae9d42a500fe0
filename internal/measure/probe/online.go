package probe

import (
	"fmt"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/record"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/limits/allowance"
	"siskinrun/internal/limits/award"
	"siskinrun/internal/limits/wfq"
	"siskinrun/internal/measure/burn"
	"siskinrun/internal/measure/trace"
	"siskinrun/internal/routing/picker"
)

const (
	slots          = 32
	modelCount     = 4
	failureDomains = 15
	pickInterval   = 200 * time.Microsecond
	queuedEach     = 2
	queueMost      = 1 << 16
	grantUnits     = 1 << 50
	grantLife      = 1000 * time.Hour
	service        = "llm"
)

func (p *Probe) choose() error {
	spent := p.slope("choose-upstream", "ns a choice", "upstreams", TargetUpstreams)
	held := p.slope("choose-upstream", "state bytes", "upstreams", TargetUpstreams)
	for _, n := range []int{75, 300, 600, 1200} {
		before := heap()
		c := picker.NewPicker(1)
		c.SetUpstreams(upstreams(n), p.now)
		held.Add(float64(n), heap()-before)
		missing := 0
		v, err := cost(func(i int) {
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
			return errors.Newf("choose: %d choices found no upstream among %d", missing, n)
		}
		spent.Add(float64(n), v)
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

// allowance measures the admission of a request by the units that its host holds.
func (p *Probe) allowance() error {
	spent := p.slope("admission", "ns an admission", "teams", TargetTeams)
	held := p.slope("admission", "state bytes", "teams", TargetTeams)
	for _, n := range []int{125, 500, 1000, 2000} {
		before := heap()
		names := teamNames(n)
		m := map[string]*allowance.Allowance{}
		for _, t := range names {
			a := &allowance.Allowance{Team: t, Host: "h", Boot: 1}
			q, ok := a.Ask(p.now, 1, 1)
			if !ok {
				return errors.New("admission: nothing was asked")
			}
			a.Award(p.now, award.Award{Sequence: q.Sequence, Term: 1, Grant: 1, Units: grantUnits, TTL: grantLife, Rate: 1, Burst: grantUnits})
			m[t] = a
		}
		held.Add(float64(n), heap()-before)
		refused := 0
		v, err := cost(func(i int) {
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
			return errors.Newf("admission: %d were refused", refused)
		}
		spent.Add(float64(n), v)
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

// fair measures a queue in which every team waits.
func (p *Probe) fair() error {
	spent := p.slope("fair queue", "ns a push and pop", "waiting teams", TargetTeams)
	held := p.slope("fair queue", "state bytes", "waiting teams", TargetTeams)
	for _, n := range []int{125, 500, 1000, 2000} {
		names := teamNames(n)
		before := heap()
		q := &wfq.Queue[int]{MaxPerTeam: slots, MaxItems: queueMost}
		for i, t := range names {
			for range queuedEach {
				q.Push(t, 1, int64(1+i%7), p.now.Add(time.Hour), i)
			}
		}
		held.Add(float64(n), heap()-before)
		v, err := cost(func(i int) {
			k, _ := q.Pop()
			q.Push(names[k], 1, int64(1+i%7), p.now.Add(time.Hour), k)
		})
		if err != nil {
			return err
		}
		if q.Len() != queuedEach*n {
			return errors.Newf("fair queue: %d wait of %d", q.Len(), queuedEach*n)
		}
		spent.Add(float64(n), v)
	}
	return nil
}

func (p *Probe) burn() error {
	spent := p.slope("burn", "ns a record", "series", TargetSeries)
	held := p.slope("burn", "state bytes", "series", TargetSeries)
	for _, n := range []int{500, 2000, 4000, 8000} {
		names := teamNames(n)
		before := heap()
		b := burn.NewBurn("h")
		add := func(i int) {
			b.Add(record.Record{Team: names[i%n], Status: 200, Upstream: names[i%slots], At: p.now}, route.Route{})
		}
		for i := range n {
			add(i)
		}
		held.Add(float64(n), heap()-before)
		v, err := cost(add)
		if err != nil {
			return err
		}
		spent.Add(float64(n), v)
		runtime.KeepAlive(b)
	}
	return nil
}

func (p *Probe) trace() error {
	spent := p.slope("decisions", "ns a record", "decisions", trace.Size)
	held := p.slope("decisions", "state bytes", "decisions", trace.Size)
	for _, n := range []int{1024, 2048, 4096, 8192} {
		names := teamNames(slots)
		before := heap()
		t := trace.NewTrace("h", n)
		add := func(i int) {
			t.Add(record.Record{ID: fmt.Sprint("req-", i), Team: names[i%slots], Upstream: names[i%slots], At: p.now})
		}
		for i := range n {
			add(i)
		}
		held.Add(float64(n), heap()-before)
		v, err := cost(add)
		if err != nil {
			return err
		}
		spent.Add(float64(n), v)
		runtime.KeepAlive(t)
	}
	return nil
}
