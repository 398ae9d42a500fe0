package streamindex_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/fleet/streamindex"
)

func TestIndexKeepsTheLatestInBoundedMemory(t *testing.T) {
	is := is.New(t)
	x := streamindex.NewIndex()
	now := time.Unix(100, 0)
	s := streamstart.Start{Service: "s", Version: "v"}
	for i := range 200_000 {
		x.Add(now, fmt.Sprint(i), s)
		is.True(x.Len() <= 1<<15)
	}
	a, ok := x.Find("199999")
	is.True(ok)
	is.Equal(a, s)
	_, ok = x.Find("0")
	is.True(!ok)
}

func TestIndexDropsEntriesAfterTheirLifetime(t *testing.T) {
	is := is.New(t)
	x := streamindex.NewIndex()
	now := time.Unix(100, 0)
	x.Add(now, "a", streamstart.Start{Service: "s", Version: "v"})
	x.Add(now.Add(streamindex.Lifetime), "b", streamstart.Start{})
	_, ok := x.Find("a")
	is.True(ok)
	x.Add(now.Add(3*streamindex.Lifetime), "c", streamstart.Start{})
	_, ok = x.Find("a")
	is.True(!ok)
}
