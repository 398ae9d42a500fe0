package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/team"
	"siskinrun/internal/limits/grantrequest"
	"siskinrun/internal/limits/refill"
)

// Guards against buckets that grant more in a window than rate, burst and allowed overrun together.
func TestOverrunStaysWithinTheWindow(t *testing.T) {
	is := is.New(t)
	g := &Limiter{Overrun: 0.1, Window: 5 * time.Second, Slack: 20}
	for _, v := range []team.Team{{Rate: 58, Burst: 58}, {Rate: 1, Burst: 1}, {Rate: 900, Burst: 10}} {
		rate, burst := g.bucketLimits(v)
		upper := 1.1*(5*float64(v.Rate)+float64(v.Burst)) + 20
		is.True(float64(5*rate+burst) <= upper)
		is.True(burst > v.Burst)
	}
	rate, burst := (&Limiter{}).bucketLimits(team.Team{Rate: 58, Burst: 60})
	is.Equal(rate, int64(58))
	is.Equal(burst, int64(60))
}

// Guards against an owner that grants units which hosts that it does not know yet still hold.
func TestOwnerThatDoesNotKnowAllHostsGrantsLittleUntilGrantsExpire(t *testing.T) {
	is := is.New(t)
	o := newOwner(1, nil, "h0")
	o.hostsUnknown = true
	now := time.Unix(1000, 0)
	o.startTerm(now, 1, nil)
	o.recordRemainders(now, 1, "h0", &refill.Fenced{})
	o.open(now, 1)
	c := &configuration.Configuration{Teams: map[string]team.Team{"kea": {Rate: 1000, Burst: 800}}}
	o.configure(now, c, &Limiter{Groups: 1})
	q := grantrequest.Request{Team: "kea", Host: "h1", Sequence: 1, Need: 800}
	got := o.handleRequest(now.Add(time.Second), q).Units
	is.True(got > 0)
	is.True(got <= 100) // hosts that are not known may still hold all but one eighth
	q.Sequence++
	is.True(o.handleRequest(now.Add(4*time.Second), q).Units > 100)
}
