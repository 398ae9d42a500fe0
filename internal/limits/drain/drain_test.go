package drain

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const second = time.Second

func TestAdmit(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		name string
		// took are the durations of earlier calls, after the time since the stop began, and left that until the call's deadline.
		took        []time.Duration
		after, left time.Duration
		admitted    bool
	}{
		{"the deadline comes first", nil, 2 * second, 5 * second, true},
		{"nothing is known of the route", nil, 3 * second, 8 * second, false},
		{"too little is known of the route", []time.Duration{second, second}, 3 * second, 8 * second, false},
		{"calls are short", []time.Duration{second, second, 2 * second}, 5 * second, 8 * second, true},
		{"one call was long", []time.Duration{second, second, 3 * second}, 5 * second, 8 * second, false},
		{"the end is near", []time.Duration{second, second, second}, 7 * second, 8 * second, false},
		{"the end has passed", []time.Duration{0, 0, 0}, 9 * second, 8 * second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &Drain{Limit: 7500 * time.Millisecond}
			for _, l := range c.took {
				d.Observe("r", l)
			}
			is.NoErr(d.Admit(begin, begin.Add(time.Hour), "r")) // the host does not stop yet
			d.Begin(begin)
			d.Begin(begin.Add(second)) // a second signal changes nothing
			now := begin.Add(c.after)
			err := d.Admit(now, now.Add(c.left), "r")
			is.Equal(err == nil, c.admitted)
			if err != nil {
				f := refusal.Of(err)
				is.Equal(f.Verdict, verdict.NotRun)
				is.True(f.RetryAfter > 0)
			}
		})
	}
}

// TestHostWithoutLimitTakesAll says that a host that waits for all of its calls refuses none.
func TestHostWithoutLimitTakesAll(t *testing.T) {
	is := is.New(t)
	d := &Drain{}
	now := time.Unix(1_800_000_000, 0)
	d.Begin(now)
	is.NoErr(d.Admit(now.Add(time.Hour), now.Add(2*time.Hour), "r"))
}

// TestStopUnderLoad plays calls that arrive until a host stops, of routes with short, long and mixed streams, and checks what
// their callers get: nearly none is cut, and those that could end are served.
func TestStopUnderLoad(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(39, 5))
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	routes := map[string]func() time.Duration{
		"short": func() time.Duration { return 100*time.Millisecond + upTo(300*time.Millisecond) },
		"long":  func() time.Duration { return 5*second + upTo(2*second) },
		"mixed": func() time.Duration { return 200*time.Millisecond + upTo(3*second) },
	}
	const plays = 200
	served, cut, refused := map[string]int{}, map[string]int{}, map[string]int{}
	for range plays {
		d := &Drain{Limit: 7500 * time.Millisecond}
		begin := time.Unix(1_800_000_000, 0)
		for n, f := range routes {
			for range sampleCount {
				d.Observe(n, f())
			}
		}
		d.Begin(begin)
		for n, f := range routes {
			now := begin.Add(upTo(3800 * time.Millisecond))
			switch took := f(); {
			case d.Admit(now, now.Add(8*second), n) != nil:
				refused[n]++
			case now.Add(took).After(begin.Add(d.Limit)):
				cut[n]++
			default:
				served[n]++
			}
		}
	}
	t.Logf("served %v, refused %v, cut %v", served, refused, cut)
	is.Equal(served["short"], plays)
	is.Equal(served["mixed"], plays)
	is.Equal(cut["long"], 0)
	is.True(refused["long"] > served["long"])
}
