package configstore

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
	"siskinrun/internal/state/formation"
	"siskinrun/internal/state/identity"
)

func installEdition(n uint64, text string) change.Change {
	return change.Change{ID: "e-" + text, Kind: change.Install, Edition: n, Document: []byte(text), Whole: &configuration.Configuration{
		Teams: map[string]team.Team{"t-" + text: {Rate: 1, Burst: 1, Weight: 1}},
		Routes: map[string]route.Route{"r": {
			Host: "h", Prefix: "/", Service: "s", Price: 1, Timeout: duration.Duration(1),
		}},
	}}
}

func TestHighestEditionWins(t *testing.T) {
	is := is.New(t)
	r := NewStore()
	is.Equal(send(t, r, installEdition(5, "five")).Status, changeoutcome.Applied)
	is.Equal(send(t, r, installEdition(3, "three")).Status, changeoutcome.Superseded)
	is.Equal(send(t, r, installEdition(5, "other")).Status, changeoutcome.Superseded) // the first content of an edition wins
	is.Equal(send(t, r, installEdition(5, "five")).Status, changeoutcome.Superseded)
	for _, x := range []*Store{r, restored(t, r)} {
		v, d := x.Document()
		is.Equal(v, uint64(1))
		is.Equal(string(d), "five")
		_, ok := x.View().Teams["t-five"]
		is.True(ok)
		is.NoErr(x.Check())
	}
	is.Equal(send(t, r, installEdition(9, "nine")).Status, changeoutcome.Applied)
	_, d := r.Document()
	is.Equal(string(d), "nine")
	is.Equal(r.View().Edition, uint64(9))
}

func TestInvalidEditionIsRefusedWhateverItsNumber(t *testing.T) {
	is := is.New(t)
	r := NewStore()
	is.Equal(send(t, r, installEdition(5, "five")).Status, changeoutcome.Applied)
	for _, n := range []uint64{3, 5, 9} {
		c := installEdition(n, "bad")
		c.Whole.Routes["r"] = route.Route{Host: "h", Prefix: "/", Service: "s", Price: 1}
		is.Equal(send(t, r, c).Status, changeoutcome.Invalid)
	}
	_, d := r.Document()
	is.Equal(string(d), "five")
}

// Guards against an installed edition that brings back a retired host or changes the formation of the ledgers.
func TestEditionsLeaveRetiringHostsAndLedgersAlone(t *testing.T) {
	is := is.New(t)
	r := NewStore()
	f := formation.Formation{Cluster: "c", Members: []identity.Identity{{Host: "a", Disk: "1"}}, Formed: true}
	is.Equal(send(t, r, change.Change{ID: "f", Kind: change.Form, Ledgers: &f}).Status, changeoutcome.Applied)
	g := f
	g.Cluster = "d"
	is.Equal(send(t, r, change.Change{ID: "g", Kind: change.Form, Ledgers: &g}).Status, changeoutcome.Invalid) // ledgers can be formed only once
	is.Equal(send(t, r, change.Change{ID: "x", Kind: change.Retire, Name: "a"}).Status, changeoutcome.Applied)
	is.Equal(send(t, r, installEdition(5, "five")).Status, changeoutcome.Applied)
	is.True(r.View().Retiring["a"])
	is.Equal(r.View().Ledgers.Cluster, "c")
}
