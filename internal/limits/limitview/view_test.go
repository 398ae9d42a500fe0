package limitview_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/ratelimit"
	"siskinrun/internal/data/upstreamlimit"
	"siskinrun/internal/limits/limitview"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// heard returns what an answer said that was asked for and received at the given milliseconds; a negative rate names no limit.
func heard(incarnation uint64, rate float64, sent, received int) upstreamlimit.Limit {
	l := upstreamlimit.Limit{
		Upstream: "u", Incarnation: incarnation,
		Sent: start.Add(time.Duration(sent) * time.Millisecond), Received: start.Add(time.Duration(received) * time.Millisecond),
	}
	if rate >= 0 {
		l.Value = ratelimit.Value{Named: true, PerSecond: rate}
	}
	return l
}

const none = -1

// TestNewestLimitHolds guards against answers that overtake each other.
func TestNewestLimitHolds(t *testing.T) {
	for _, c := range []struct {
		name  string
		heard []upstreamlimit.Limit
		want  float64
	}{
		{"nothing named", []upstreamlimit.Limit{heard(1, none, 0, 10)}, none},
		{"named", []upstreamlimit.Limit{heard(1, 3, 0, 10)}, 3},
		{"raised", []upstreamlimit.Limit{heard(1, 3, 0, 10), heard(1, 5, 10, 20)}, 5},
		{"lowered", []upstreamlimit.Limit{heard(1, 3, 0, 10), heard(1, 2, 10, 20)}, 2},
		{"ended", []upstreamlimit.Limit{heard(1, 3, 0, 10), heard(1, none, 10, 20)}, none},
		{"named again", []upstreamlimit.Limit{heard(1, 3, 0, 10), heard(1, none, 10, 20), heard(1, 4, 20, 30)}, 4},
		{"an earlier answer comes late", []upstreamlimit.Limit{heard(1, 5, 10, 20), heard(1, 2, 0, 10)}, 5},
		{"an earlier answer comes after the end", []upstreamlimit.Limit{heard(1, 3, 0, 10), heard(1, none, 20, 30), heard(1, 3, 5, 15)}, none},
		{"order unknown, the lower first", []upstreamlimit.Limit{heard(1, 2, 0, 10), heard(1, 5, 5, 15)}, 2},
		{"order unknown, the higher first", []upstreamlimit.Limit{heard(1, 5, 0, 10), heard(1, 2, 5, 15)}, 2},
		{"order unknown, an end", []upstreamlimit.Limit{heard(1, 2, 0, 10), heard(1, none, 5, 15)}, 2},
		{"a slow answer holds up a rise until it is past", []upstreamlimit.Limit{heard(1, 2, 0, 50), heard(1, 5, 40, 45), heard(1, 5, 50, 60)}, 5},
		{"a new incarnation", []upstreamlimit.Limit{heard(1, 2, 0, 10), heard(2, 6, 5, 8)}, 6},
		{"a former incarnation", []upstreamlimit.Limit{heard(2, 6, 0, 10), heard(1, 2, 20, 30)}, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := limitview.NewView()
			for _, l := range c.heard {
				v.Merge(l)
			}
			l, ok := v.Get("u", 1)
			is.Equal(ok, c.want >= 0)
			is.Equal(v.Len() == 1, ok)
			is.Equal(len(v.Named()) == 1, ok)
			if ok {
				is.Equal(l.Value.PerSecond, c.want)
			}
		})
	}
}

// TestLimitBelongsToOneIncarnation guards against the limit of an upstream that has stopped and come back.
func TestLimitBelongsToOneIncarnation(t *testing.T) {
	is := is.New(t)
	v := limitview.NewView()
	v.Merge(heard(3, 2, 0, 10))
	_, ok := v.Get("u", 4)
	is.True(!ok) // a later incarnation has named none
	_, ok = v.Get("u", 2)
	is.True(ok) // an earlier one is gone
	v.Retain(start, map[string]uint64{"u": 3})
	is.Equal(v.Len(), 1)
	v.Retain(start, map[string]uint64{"u": 4})
	is.Equal(v.Len(), 0)
	v.Merge(heard(3, 2, 0, 10))
	v.Retain(start, nil)
	is.Equal(v.Len(), 0)
}
