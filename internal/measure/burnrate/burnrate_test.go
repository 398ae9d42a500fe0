package burnrate_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/callrecord"
	"siskinrun/internal/data/route"
	"siskinrun/internal/measure/burnrate"
	"siskinrun/internal/measure/burnreport"
)

var (
	start    = time.Unix(1800000000, 0)
	contract = route.Route{FirstToken: duration.Duration(time.Second), BetweenTokens: duration.Duration(100 * time.Millisecond)}
)

func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name string
		r    callrecord.Record
		want burnreport.Counts
	}{
		{"in time", callrecord.Record{Status: 200, FirstByte: time.Second}, burnreport.Counts{Answered: 1}},
		{"late first byte", callrecord.Record{Status: 200, FirstByte: time.Second + 1}, burnreport.Counts{Answered: 1, Late: 1}},
		{"late token", callrecord.Record{Status: 200, MaxEventGap: time.Second}, burnreport.Counts{Answered: 1, Late: 1}},
		{"over rate", callrecord.Record{Status: 429, Code: "rate-exceeded"}, burnreport.Counts{OverRate: 1}},
		{"queue full", callrecord.Record{Status: 429, Code: "queue-full"}, burnreport.Counts{Refused: 1}},
		{"stream cut off", callrecord.Record{Status: 200, Code: "lost"}, burnreport.Counts{Refused: 1}},
		{"caller gone", callrecord.Record{Status: 502, Code: "caller-gone"}, burnreport.Counts{Rejected: 1}},
		{"no upstream", callrecord.Record{Status: 503, Code: "no-upstream"}, burnreport.Counts{Refused: 1}},
		{"caller error", callrecord.Record{Status: 404, Code: "unknown-route"}, burnreport.Counts{Rejected: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := burnrate.NewTracker("h")
			c.r.EndedAt = start
			b.Add(c.r, contract)
			is.Equal(b.Report(start).Series[0].Counts[0], c.want)
		})
	}
}

func TestOutcomesExpireFromWindows(t *testing.T) {
	is := is.New(t)
	b := burnrate.NewTracker("h")
	b.Add(callrecord.Record{Team: "t", Status: 200, EndedAt: start}, contract)
	for _, c := range []struct {
		after time.Duration
		seen  [4]int64
	}{
		{4 * time.Minute, [4]int64{1, 1, 1, 1}},
		{6 * time.Minute, [4]int64{0, 1, 1, 1}},
		{2 * time.Hour, [4]int64{0, 0, 1, 1}},
		{7 * time.Hour, [4]int64{0, 0, 0, 1}},
	} {
		s := b.Report(start.Add(c.after)).Series[0]
		for i, n := range c.seen {
			is.Equal(s.Counts[i].Answered, n)
		}
	}
	is.Equal(len(b.Report(start.Add(25*time.Hour)).Series), 0)
}

func TestBatchImpact(t *testing.T) {
	is := is.New(t)
	one, two := burnrate.NewTracker("one"), burnrate.NewTracker("two")
	slow := callrecord.Record{Status: 200, Upstream: "u", FirstByte: 2 * time.Second, EndedAt: start}
	one.Add(slow, contract)
	two.Add(callrecord.Record{Batch: true, Upstream: "u", Total: 90 * time.Second, EndedAt: start}, contract)
	quick := callrecord.Record{Status: 200, Upstream: "v", EndedAt: start}
	one.Add(quick, contract)
	h := burnreport.Merge([]*burnreport.Report{one.Report(start), two.Report(start)}).BatchImpact()
	is.Equal(h.WithBatch, burnreport.Counts{Answered: 1, Late: 1})
	is.Equal(h.WithoutBatch, burnreport.Counts{Answered: 1})
}

func TestSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	b := burnrate.NewTracker("h")
	for i := range 10001 {
		b.Add(callrecord.Record{Team: strconv.Itoa(i), Status: 200, EndedAt: start}, contract)
	}
	r := b.Report(start)
	is.Equal(len(r.Series), 10000)
	is.Equal(r.Dropped, int64(1))
	later := start.Add(48 * time.Hour)
	b.Add(callrecord.Record{Team: "new", Status: 200, EndedAt: later}, contract)
	is.Equal(len(b.Report(later).Series), 1)
}
