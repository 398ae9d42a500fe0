package explainer

import (
	"context"
	"maps"
	"slices"
	"time"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/choice"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/explanation"
	"siskinrun/internal/data/joboutlook"
	"siskinrun/internal/data/lanestate"
	"siskinrun/internal/data/queuestate"
	"siskinrun/internal/data/ratestate"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/serviceoutlook"
	"siskinrun/pkg/refusal"
)

// Outcomes of a request beside those of its rate and its queue.
const (
	outcomeSent  = "sent"
	codeNotFresh = "not-fresh"
	codeNoChoice = "no-upstream"
)

// jobTimeout bounds the wait for the leader of a group, below the time for which the command waits.
const jobTimeout = 2 * time.Second

// source provides the configuration in force.
type source interface {
	View() *configuration.Configuration
	Fresh() bool
	Age() (time.Duration, bool)
}

// matcher finds the route of a call and prepares the call for it.
type matcher interface {
	FindRoute(c *call.Call) (string, route.Route, error)
	Prepare(c *call.Call, name string, r route.Route, version func(r route.Route) string)
}

// rollout tells which model version a route uses.
type rollout interface {
	Explain(r route.Route) string
}

// admission tells what a request would get of its team's rate.
type admission interface {
	Explain(team string, cost int64) ratestate.State
}

// queue tells what a request would get of the slots of its service.
type queue interface {
	SetTimes(c *call.Call)
	Explain(c *call.Call) (queuestate.State, bool)
}

// lane tells what a request would get in the line for permits.
type lane interface {
	Explain(service string, rank int, latest time.Time) (waiting int, wait time.Duration, ok bool)
	Closed(service string) error
}

// dispatcher turns calls into demands.
type dispatcher interface {
	Demand(c *call.Call) demand.Demand
}

// picker tells which upstream a request would go to.
type picker interface {
	Explain(now time.Time, d demand.Demand) choice.Choice
}

// jobs tells whether a batch job would be accepted.
type jobs interface {
	Explain(ctx context.Context, team, name string, r route.Route, tokens int64) joboutlook.Outlook
}

// drain refuses the calls that a stopping host could not finish.
type drain interface {
	Admit(deadline time.Time) error
}

// Explainer asks each step of a call what it would decide. It changes no state.
type Explainer struct {
	// Host is the name of this host, and FailureDomain its failure domain.
	Host          string
	FailureDomain string
	// Configuration is the configuration in force.
	Configuration source
	// Routes finds routes.
	Routes matcher
	// Rollout tells model versions.
	Rollout rollout
	// Admission tells rates.
	Admission admission
	// Queue tells slots.
	Queue queue
	// Lane tells waits for permits.
	Lane lane
	// Dispatcher tells demands.
	Dispatcher dispatcher
	// Picker tells choices of upstreams.
	Picker picker
	// Jobs tells about batch jobs.
	Jobs jobs
	// Drain tells whether the host stops.
	Drain drain
	// Cold, if set, reports whether an upstream is held back since it is cold.
	Cold func(name string) bool
	// Timer is the clock.
	Timer *timer.Service
}

// Explain tells what would become of a call that came now, by a route or, if its name is empty, by the call's host, path and
// model. The error is a refusal: the route or the team is not known, or the host has no configuration.
func (x *Explainer) Explain(ctx context.Context, name string, c *call.Call) (*explanation.Explanation, error) {
	v := x.Configuration.View()
	c.Arrived = x.Timer.Now()
	name, r, err := x.route(v, name, c)
	if err != nil {
		return nil, err
	}
	if err := checkTeam(v, r, c); err != nil {
		return nil, err
	}
	e := &explanation.Explanation{
		Host: x.Host, FailureDomain: x.FailureDomain, At: c.Arrived, Version: v.Version, Fresh: x.Configuration.Fresh(),
		Team: c.Team, Route: name,
	}
	if d, ok := x.Configuration.Age(); ok {
		a := duration.Duration(d)
		e.Confirmed = &a
	}
	first := ""
	for i, s := range slices.Sorted(slices.Values(r.Services())) {
		k, o := *c, r
		o.Service = s
		x.Routes.Prepare(&k, name, o, x.Rollout.Explain)
		k.Rank, k.Weight = r.Rank, 0
		if m, ok := v.Teams[k.Team]; ok {
			k.Rank, k.Weight = m.RankOn(r.Rank), m.Weight
		}
		x.Queue.SetTimes(&k)
		if i == 0 {
			first = x.explainCall(e, &k)
		}
		e.Services = append(e.Services, x.explainService(&k, first))
	}
	if r.Jobs {
		ctx, cancel := context.WithTimeout(ctx, jobTimeout)
		defer cancel()
		o := x.Jobs.Explain(ctx, c.Team, name, r, c.MaxTokens)
		e.Job = &o
	}
	return e, nil
}

// route returns the route with a name or, if that is empty, the one that takes a call.
func (x *Explainer) route(v *configuration.Configuration, name string, c *call.Call) (string, route.Route, error) {
	if name == "" || len(v.Routes) == 0 {
		return x.Routes.FindRoute(c)
	}
	r, ok := v.Routes[name]
	if !ok {
		return name, r, refusal.NewNotRun(404, "unknown-route", "no route has this name")
	}
	return name, r, nil
}

// checkTeam refuses a call of a team that is not known, or of none on a route that is not open.
func checkTeam(v *configuration.Configuration, r route.Route, c *call.Call) error {
	if r.Open {
		c.Team = ""
		return nil
	}
	if c.Team == "" {
		return refusal.NewNotRun(400, "no-team", "the route is not open: name a team")
	}
	if _, ok := v.Teams[c.Team]; !ok {
		return refusal.NewNotRun(404, "unknown-team", "no team has this name")
	}
	return nil
}

// explainCall adds what does not depend on the service of the call, and returns the refusal or wait before the queue, if any.
func (x *Explainer) explainCall(e *explanation.Explanation, c *call.Call) string {
	e.Rank = c.Rank
	e.Timeout = duration.Duration(c.Deadline.Sub(c.Arrived))
	e.LatestStart = duration.Duration(c.LatestStart.Sub(c.Arrived))
	before := ""
	if err := x.Drain.Admit(c.Deadline); err != nil {
		before = refusal.Of(err).Code
	}
	if c.Team == "" || c.RouteConfig.Jobs && e.Fresh {
		return before // a job spends no rate when it is submitted
	}
	s := x.Admission.Explain(c.Team, c.Cost)
	e.Rate = &s
	switch {
	case !e.Fresh:
		return codeNotFresh
	case before == "" && s.Outcome != ratestate.Admitted:
		return s.Outcome
	}
	return before
}

// explainService tells what would become of a call at its service; before is what becomes of it earlier, if anything.
func (x *Explainer) explainService(c *call.Call, before string) serviceoutlook.Outlook {
	r := c.RouteConfig
	o := serviceoutlook.Outlook{Service: r.Service, Weight: 1, Weights: 1, Model: c.Model}
	if len(r.Shares) > 0 {
		o.Weight, o.Weights = r.Shares[r.Service], 0
		for w := range maps.Values(r.Shares) {
			o.Weights += w
		}
	}
	if s, ok := x.Queue.Explain(c); ok {
		o.Queue = &s
	}
	waiting, wait, ok := x.Lane.Explain(r.Service, c.Rank, c.LatestStart)
	o.Lane = lanestate.State{Waiting: waiting, Wait: duration.Duration(wait), InTime: ok}
	o.Choice = x.Picker.Explain(c.Arrived, x.Dispatcher.Demand(c))
	for i := range o.Choice.Candidates {
		if k := &o.Choice.Candidates[i]; k.Reason == "limited" && x.Cold != nil && x.Cold(k.Upstream) {
			k.Reason = "cold"
		}
	}
	if err := x.Lane.Closed(r.Service); before == "" && err != nil {
		before = refusal.Of(err).Code
	}
	o.Outcome = outcome(o, before)
	return o
}

// outcome returns the first refusal or wait of a call at its service, in the order in which the steps of a call come.
func outcome(o serviceoutlook.Outlook, before string) string {
	switch {
	case before != "":
		return before
	case o.Lane.Waiting > 0 && o.Lane.InTime:
		return queuestate.Waits
	case o.Lane.Waiting > 0:
		return refusal.CodeUpstreamsLimited
	case o.Queue != nil && o.Queue.Outcome != queuestate.Starts:
		return o.Queue.Outcome
	case o.Choice.Upstream != "":
		return outcomeSent
	case o.Choice.NextPermit == nil:
		return codeNoChoice
	case o.Lane.InTime:
		return queuestate.Waits
	}
	return refusal.CodeUpstreamsLimited
}
