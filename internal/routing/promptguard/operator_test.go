package promptguard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
)

// TestLiftedQuarantineIsLiftedEverywhere guards against hosts that go on refusing what an operator has let pass.
func TestLiftedQuarantineIsLiftedEverywhere(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 9)
	c := &call.Call{Digest: 0xab, Parts: []uint64{deadly}, Path: "/p?q", Route: "r", Team: "t"}
	for i := range 3 {
		u := upstream.Upstream{Name: fmt.Sprint("u", i), Incarnation: 1}
		w.nodes["h0"].guard.Lost(u, c, w.timer.Now(), true)
	}
	is.NoErr(w.timer.Sleep(t.Context(), 100*time.Millisecond))
	for _, h := range w.names {
		is.True(w.nodes[h].guard.Blocks(c))
	}
	b, err := w.nodes["h0"].guard.List(t.Context(), &operatorapi.Request{})
	is.NoErr(err)
	is.Equal(string(b), `[{"kind":"prompt-part","trait":"2","ends":3,"route":"r","team":"t","path":"/p"},`+
		`{"kind":"request","trait":"ab","ends":3,"route":"r","team":"t","path":"/p"}]`)

	g := w.nodes["h4"].guard
	_, err = g.Lift(t.Context(), &operatorapi.Request{Body: []byte(`{"kind":"request","trait":"cd"}`)})
	is.Equal(refusal.Of(err).Status, 404)
	_, err = g.Lift(t.Context(), &operatorapi.Request{Body: []byte(`{"kind":"request","trait":"ab"}`)})
	is.NoErr(err)
	is.NoErr(w.timer.Sleep(t.Context(), 100*time.Millisecond))
	for _, h := range w.names {
		is.True(!w.nodes[h].guard.Blocks(c))
		_, err := w.nodes[h].guard.Try(t.Context(), c)
		is.NoErr(err)
	}
}
