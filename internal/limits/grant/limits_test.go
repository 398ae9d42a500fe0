package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/team"
	"siskinrun/internal/limits/ask"
	"siskinrun/internal/limits/refill"
)

// TestOverrunStaysWithinTheWindow checks the bucket's bound against what teams may pass their limits by.
func TestOverrunStaysWithinTheWindow(t *testing.T) {
	is := is.New(t)
	g := &Grant{Overrun: 0.1, Window: 5 * time.Second, Slack: 20}
	for _, v := range []team.Team{{Rate: 58, Burst: 58}, {Rate: 1, Burst: 1}, {Rate: 900, Burst: 10}} {
		rate, burst := g.limits(v)
		most := 1.1*(5*float64(v.Rate)+float64(v.Burst)) + 20
		is.True(float64(5*rate+burst) <= most)
		is.True(burst > v.Burst)
	}
	rate, burst := (&Grant{}).limits(team.Team{Rate: 58, Burst: 60})
	is.Equal(rate, int64(58))
	is.Equal(burst, int64(60))
}

// TestStrangerGrantsLittleUntilAllGrantsHaveEnded takes over rates without knowing who holds what.
func TestStrangerGrantsLittleUntilAllGrantsHaveEnded(t *testing.T) {
	is := is.New(t)
	o := newOwner(1, nil, "h0")
	o.stranger = true
	now := time.Unix(1000, 0)
	o.elect(now, 1)
	o.adopt(now, 1, "h0", &refill.Fenced{})
	o.open(now, 1)
	c := &configuration.Configuration{Teams: map[string]team.Team{"kea": {Rate: 1000, Burst: 800}}}
	o.configure(now, c, &Grant{Groups: 1})
	q := ask.Ask{Team: "kea", Host: "h1", Sequence: 1, Need: 800}
	got := o.take(now.Add(time.Second), q).Units
	is.True(got > 0)
	is.True(got <= 100) // all but one eighth may still be held by hosts that are not known
	q.Sequence++
	is.True(o.take(now.Add(4*time.Second), q).Units > 100)
}
