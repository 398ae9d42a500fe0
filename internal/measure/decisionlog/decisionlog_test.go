package decisionlog_test

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/callrecord"
	"siskinrun/internal/measure/decisionlog"
)

func TestFind(t *testing.T) {
	is := is.New(t)
	r := decisionlog.NewLog("h", 4)
	is.Equal(len(r.Find("t", 9)), 0)
	for i := range 6 {
		r.Add(callrecord.Record{ID: strconv.Itoa(i), Team: "t", Route: "r", Upstream: "u" + strconv.Itoa(i%2), Attempts: 1 + i%2})
	}
	r.Add(callrecord.Record{ID: "x", Team: "s", Code: "rate-exceeded"})
	for _, c := range []struct {
		name  string
		limit int
		ids   []string
	}{
		{"0", 9, nil},
		{"3", 9, []string{"3"}},
		{"t", 9, []string{"5", "4", "3"}},
		{"t", 2, []string{"5", "4"}},
		{"u1", 9, []string{"5", "3"}},
		{"s", 9, []string{"x"}},
	} {
		var ids []string
		for _, d := range r.Find(c.name, c.limit) {
			ids = append(ids, d.ID)
		}
		is.Equal(ids, c.ids)
	}
	d := r.Find("x", 1)[0]
	is.Equal(d.Outcome, decisionlog.Refused)
	is.Equal(d.Reason, "rate-exceeded")
	is.Equal(r.Find("5", 1)[0].Outcome, decisionlog.Retried)
}
