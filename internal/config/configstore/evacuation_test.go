package configstore

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/config/delta"
)

func evacuation(id, kind, domain string) change.Change {
	return change.Change{ID: id, Kind: kind, Name: domain}
}

// TestEvacuationsAreIdempotentAndOutliveOtherChanges guards against a repeated order that is refused, an order that depends on
// the version it was made against, and a configuration or a rollback that ends an evacuation.
func TestEvacuationsAreIdempotentAndOutliveOtherChanges(t *testing.T) {
	is := is.New(t)
	r := NewStore()
	is.Equal(send(t, r, setTeam("one", 0, "t", 5)).Status, changeoutcome.Applied)
	for _, id := range []string{"a", "b"} { // the second one finds the state that it asks for
		is.Equal(send(t, r, evacuation(id, change.BeginEvacuation, "d1")).Status, changeoutcome.Applied)
		is.Equal(r.View().Evacuated, map[string]bool{"d1": true})
	}
	is.Equal(send(t, r, evacuation("c", change.BeginEvacuation, "d2")).Status, changeoutcome.Applied)
	is.Equal(send(t, r, installEdition(5, "five")).Status, changeoutcome.Applied)
	v := r.View().Version
	is.Equal(send(t, r, change.Change{ID: "back", Base: v, Kind: change.RollBack, To: 1}).Status, changeoutcome.Applied)
	both := map[string]bool{"d1": true, "d2": true}
	is.Equal(r.View().Evacuated, both)
	r = restored(t, r)
	is.Equal(r.View().Evacuated, both)
	for _, id := range []string{"d", "e"} {
		is.Equal(send(t, r, evacuation(id, change.FinishEvacuation, "d1")).Status, changeoutcome.Applied)
		is.Equal(r.View().Evacuated, map[string]bool{"d2": true})
	}
	is.Equal(send(t, r, evacuation("f", change.BeginEvacuation, "d1")).Status, changeoutcome.Applied)
	is.Equal(r.View().Evacuated, both)
	is.Equal(send(t, r, evacuation("a", change.BeginEvacuation, "d1")).Version, uint64(2)) // a resend has the first outcome
	is.NoErr(r.Check())
}

// TestEvacuationsTravelInDeltas guards against hosts that hear of a new version without what is evacuated in it, and against
// a history that cannot be undone.
func TestEvacuationsTravelInDeltas(t *testing.T) {
	is := is.New(t)
	r := NewStore()
	empty := r.View()
	send(t, r, evacuation("a", change.BeginEvacuation, "d1"))
	begun := r.View()
	send(t, r, evacuation("b", change.FinishEvacuation, "d1"))
	for _, d := range []*delta.Delta{delta.Between(empty, begun), delta.Between(begun, r.View()).Inverse(begun)} {
		b, err := d.Encode()
		is.NoErr(err)
		e, err := delta.Decode(b)
		is.NoErr(err)
		from := empty
		if d.From != 0 {
			from = r.View()
		}
		c, err := delta.Apply(from, e)
		is.NoErr(err)
		is.Equal(c.Evacuated, map[string]bool{"d1": true})
	}
	l, err := r.Diff(0, 1)
	is.NoErr(err)
	is.Equal(len(l), 1)
	is.Equal(l[0].Field, "evacuated.d1")
	is.Equal(r.Versions(1)[0].Fields, []string{"evacuated.d1"})
}

// TestEvacuationsAreBounded guards against orders that let the configuration grow without end.
func TestEvacuationsAreBounded(t *testing.T) {
	is := is.New(t)
	r := NewStore()
	name := make([]byte, 257)
	for i := range name {
		name[i] = 'x'
	}
	is.Equal(send(t, r, evacuation("a", change.BeginEvacuation, string(name))).Status, changeoutcome.Invalid)
	is.Equal(send(t, r, evacuation("b", change.BeginEvacuation, "")).Status, changeoutcome.Invalid)
	is.Equal(send(t, r, evacuation("c", change.FinishEvacuation, "never-begun")).Status, changeoutcome.Applied)
	is.Equal(len(r.View().Evacuated), 0)
}
