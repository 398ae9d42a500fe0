package loadpage_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/measure/loadpage"
	"siskinrun/internal/measure/summary"
)

func run(label string, p99 duration.Duration) *summary.Summary {
	c := summary.Class{Name: "completion", Sent: 9, Answered: 8, Refused: map[string]int64{"x": 1}, First: summary.Quantiles{P99: p99}}
	k := c
	k.Name = "kea"
	return &summary.Summary{Label: label, Classes: []summary.Class{c}, Teams: []summary.Class{k}}
}

func TestSideBySide(t *testing.T) {
	is := is.New(t)
	l := loadpage.NewView(run("one", 2e6), run("two", 3e6))
	var w, h bytes.Buffer
	is.NoErr(l.Print(&w))
	for _, s := range []string{"completion first p99", "2.00 ms", "3.00 ms", "+50.0%", "kea refused"} {
		is.True(strings.Contains(w.String(), s))
	}
	p, err := l.Page()
	is.NoErr(err)
	is.NoErr(p.Write(&h))
	is.Equal(strings.Count(h.String(), "<svg"), 4)
	is.True(strings.Contains(h.String(), "one beside two"))
	empty := loadpage.NewView(&summary.Summary{})
	p, err = empty.Page()
	is.NoErr(err)
	is.NoErr(p.Write(&h))
}
