package explainer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/candidate"
	"siskinrun/internal/data/choice"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/queuestate"
	"siskinrun/internal/data/ratestate"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
	"siskinrun/internal/limits/drain"
	"siskinrun/internal/wire/dispatch"
	"siskinrun/internal/wire/explainer"
	"siskinrun/internal/wire/pipeline"
	"siskinrun/pkg/refusal"
)

// steps are the answers of the steps of a call.
type steps struct {
	configuration *configuration.Configuration
	stale         bool
	rate          string
	queue         string
	choice        choice.Choice
	waiting       int
	late          bool
	rank          int
}

func (s *steps) View() *configuration.Configuration { return s.configuration }
func (s *steps) Fresh() bool                        { return !s.stale }
func (s *steps) Age() (time.Duration, bool)         { return time.Second, true }

// admission, queue, lane and picker answer as the steps say.
type (
	admission struct{ *steps }
	queue     struct{ *steps }
	lane      struct{ *steps }
	picker    struct{ *steps }
	rollout   struct{}
)

func (rollout) Explain(r route.Route) string { return r.Version }

func (a admission) Explain(string, int64) ratestate.State { return ratestate.State{Outcome: a.rate} }

func (q queue) SetTimes(c *call.Call) { c.LatestStart = c.Deadline }

func (q queue) Explain(c *call.Call) (queuestate.State, bool) {
	q.rank = c.Rank
	return queuestate.State{Outcome: q.queue}, true
}

func (l lane) Closed(string) error { return nil }

func (l lane) Explain(string, int, time.Time) (int, time.Duration, bool) {
	return l.waiting, 0, !l.late
}

func (p picker) Explain(_ time.Time, d demand.Demand) choice.Choice {
	c := p.choice
	c.Candidates = []candidate.Candidate{{Upstream: d.Service, Reason: "limited"}}
	return c
}

func newExplainer(s *steps) *explainer.Explainer {
	return &explainer.Explainer{
		Host: "h", FailureDomain: "d", Configuration: s, Rollout: rollout{}, Admission: admission{s}, Queue: queue{s}, Lane: lane{s},
		Routes:     &pipeline.Pipeline{Configuration: s.View, DefaultTimeout: time.Second},
		Dispatcher: &dispatch.Dispatcher{FailureDomain: "d"}, Picker: picker{s}, Drain: &drain.Drain{},
		Cold: func(n string) bool { return n == "two" }, Timer: timer.NewService(),
	}
}

func newSteps() *steps {
	return &steps{
		configuration: &configuration.Configuration{Version: 3, Teams: map[string]team.Team{"t": {Rank: 2, Ranked: true}}, Routes: map[string]route.Route{
			"r": {Prefix: "/r/", Host: "desk", Service: "one"},
			"s": {Prefix: "/s/", Shares: map[string]int64{"one": 1, "two": 3}, Open: true},
		}},
		rate: ratestate.Admitted, queue: queuestate.Starts, choice: choice.Choice{Upstream: "u"},
	}
}

// TestOutcomeIsThatOfTheFirstStepThatRefuses guards against an outcome that a call would not get, since an earlier step of it
// refuses or waits.
func TestOutcomeIsThatOfTheFirstStepThatRefuses(t *testing.T) {
	for _, c := range []struct {
		want string
		set  func(s *steps)
	}{
		{"sent", func(*steps) {}},
		{"not-fresh", func(s *steps) { s.stale, s.rate = true, "rate-exceeded" }},
		{"rate-exceeded", func(s *steps) { s.rate, s.queue = "rate-exceeded", "overloaded" }},
		{"asks-owner", func(s *steps) { s.rate = ratestate.AsksOwner }},
		{"waits", func(s *steps) { s.waiting, s.queue = 1, "overloaded" }},
		{"upstreams-limited", func(s *steps) { s.waiting, s.late = 1, true }},
		{"overloaded", func(s *steps) { s.queue, s.choice.Upstream = "overloaded", "" }},
		{"no-upstream", func(s *steps) { s.choice.Upstream = "" }},
	} {
		is := is.New(t)
		s := newSteps()
		c.set(s)
		e, err := newExplainer(s).Explain(t.Context(), "r", &call.Call{Team: "t"})
		is.NoErr(err)
		is.Equal(e.Services[0].Outcome, c.want)
		is.Equal(e.Rank, 2)
		is.Equal(s.rank, 2)
	}
}

// TestSplitShowsEachService guards against an explanation of one service of a split only.
func TestSplitShowsEachService(t *testing.T) {
	is := is.New(t)
	e, err := newExplainer(newSteps()).Explain(t.Context(), "", &call.Call{Path: "/s/x", Team: "nobody"})
	is.NoErr(err)
	is.Equal(e.Route, "s")
	is.Equal(e.Team, "") // the route is open
	is.Equal(len(e.Services), 2)
	is.Equal(e.Services[1].Service, "two")
	is.Equal(e.Services[1].Weight, int64(3))
	is.Equal(e.Services[1].Weights, int64(4))
	is.Equal(e.Services[0].Choice.Candidates[0].Reason, "limited")
	is.Equal(e.Services[1].Choice.Candidates[0].Reason, "cold")
}

// TestErrorsAreClear guards against an explanation for what the host does not know.
func TestErrorsAreClear(t *testing.T) {
	for _, c := range []struct {
		name, route string
		call        call.Call
		none        bool
		code        string
	}{
		{"route", "x", call.Call{Team: "t"}, false, "unknown-route"},
		{"path", "", call.Call{Path: "/x", Team: "t"}, false, "unknown-route"},
		{"caller host", "", call.Call{Path: "/r/", Host: "other", Team: "t"}, false, "unknown-route"},
		{"team", "r", call.Call{Team: "x"}, false, "unknown-team"},
		{"no team", "r", call.Call{}, false, "no-team"},
		{"no configuration", "r", call.Call{Team: "t"}, true, "no-configuration"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSteps()
			if c.none {
				s.configuration = &configuration.Configuration{}
			}
			_, err := newExplainer(s).Explain(t.Context(), c.route, &c.call)
			is.True(err != nil)
			is.Equal(refusal.Of(err).Code, c.code)
		})
	}
}
