package rollout_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/rollout"
)

// engines returns the given number of engines for each versioned model.
func engines(counts map[string]int) []upstream.Upstream {
	var l []upstream.Upstream
	for m, n := range counts {
		for i := range n {
			l = append(l, upstream.Upstream{Name: fmt.Sprint(m, i), Service: "llm", Models: []string{m}})
		}
	}
	return l
}

func TestVersionMovesWithoutAGap(t *testing.T) {
	is := is.New(t)
	r := rollout.NewRollout()
	r.SetModels(map[string]model.Model{"m": {Versions: []string{"1", "2", "3"}, MinReplicas: 3}})
	for i, c := range []struct {
		wanted string
		held   map[string]int
		want   string
	}{
		{"1", map[string]int{"m@1": 4}, "1"},
		{"2", map[string]int{"m@1": 4}, "1"},
		{"2", map[string]int{"m@1": 4, "m@2": 2}, "1"},
		{"2", map[string]int{"m@1": 1, "m@2": 3}, "2"},
		{"2", map[string]int{"m@1": 9, "m@2": 1}, "2"}, // the route has already moved
		{"2", map[string]int{"m@1": 9}, "1"},           // the old version rather than none
		{"2", nil, "2"},
		{"3", map[string]int{"m@2": 1, "m@1": 1}, "2"},
		{"1", map[string]int{"m@2": 3, "m@1": 1}, "2"}, // moving back also waits for enough engines
		{"1", map[string]int{"m@2": 3, "m@1": 3}, "1"},
	} {
		r.SetUpstreams(engines(c.held))
		v := r.Version(route.Route{Model: "m", Service: "llm", Version: c.wanted})
		if v != c.want {
			t.Fatalf("step %d: version %s, want %s", i, v, c.want)
		}
	}
	is.Equal(r.Version(route.Route{Model: "m", Service: "llm"}), "")
	is.Equal(r.Version(route.Route{Service: "desk", Version: "7"}), "7")
}

func TestNewHostUsesMostHeldVersion(t *testing.T) {
	is := is.New(t)
	r := rollout.NewRollout()
	r.SetModels(map[string]model.Model{"m": {Versions: []string{"1", "2"}, MinReplicas: 2}})
	l := engines(map[string]int{"m@1+a": 3, "m@2+a": 1, "m@2": 5})
	r.SetUpstreams(l)
	t1 := route.Route{Model: "m", Adapter: "a", Service: "llm", Version: "2"}
	is.Equal(r.Version(t1), "1")
	t1.Service = "other"
	is.Equal(r.Version(t1), "2")
	t1.Service = "llm"
	for i := range l {
		l[i].Leaving = l[i].Models[0] == "m@1+a"
	}
	r.SetUpstreams(l)
	is.Equal(r.Version(t1), "2")
}

func BenchmarkVersion(b *testing.B) {
	r := rollout.NewRollout()
	r.SetModels(map[string]model.Model{"m": {Versions: []string{"1", "2"}, MinReplicas: 2}})
	r.SetUpstreams(engines(map[string]int{"m@1+a": 300, "m@2+a": 300}))
	t := route.Route{Model: "m", Adapter: "a", Service: "llm", Version: "2"}
	b.ReportAllocs()
	for b.Loop() {
		r.Version(t)
	}
}
