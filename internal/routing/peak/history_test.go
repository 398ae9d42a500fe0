package peak_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/routing/peak"
)

func TestMaxAroundCoversTheTimeOfTheReport(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(3 * time.Second)
	for _, c := range []struct {
		age  time.Duration
		want int
	}{
		{0, 9},
		{100 * time.Millisecond, 9},
		{time.Second, 2},
		{1500 * time.Millisecond, 9},
		{2 * time.Second, 9},
		{2500 * time.Millisecond, 4},
		{time.Minute, 0},
	} {
		t.Run(fmt.Sprint(c.age), func(t *testing.T) {
			is := is.New(t)
			var p peak.History
			p.Set(4, start)
			p.Set(9, start.Add(1200*time.Millisecond))
			p.Set(2, start.Add(1500*time.Millisecond))
			is.Equal(p.MaxAround(now.Add(-c.age), now), c.want)
		})
	}
}

func TestMaximaExpire(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var p peak.History
	p.Set(9, start)
	p.Set(1, start)
	is.Equal(p.MaxAround(start, start), 9)
	is.Equal(p.MaxAround(start.Add(peak.MaxReportLag+time.Second), start.Add(peak.MaxReportLag+time.Second)), 1)
	is.Equal(p.MaxAround(start.Add(time.Hour), start.Add(time.Hour)), 1)
}
