package configstore

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
)

var seeds = flag.Uint64("seeds", 1000, "number of seeded runs")

func send(t testing.TB, r *Store, c change.Change) *changeoutcome.Outcome {
	t.Helper()
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	o, err := changeoutcome.Decode(r.Apply(0, b))
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func setTeam(id string, base uint64, name string, rate int64) change.Change {
	return change.Change{ID: id, Base: base, By: "op-" + id, Kind: change.SetTeam, Name: name,
		Team: &team.Team{Rate: rate, Burst: 1, Weight: 1}}
}

func grantKey(id string, base uint64, name, owner string) change.Change {
	return change.Change{ID: id, Base: base, Kind: change.GrantKey,
		Key: &key.Key{ID: name, Team: owner, Hash: key.Hash(id + name)}}
}

// restored returns a store restored from a snapshot of r.
func restored(t testing.TB, r *Store) *Store {
	t.Helper()
	var b bytes.Buffer
	if err := r.Snapshot(&b); err != nil {
		t.Fatal(err)
	}
	n := NewStore()
	if err := n.Restore(&b); err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against a resent change that is applied twice, also after a restore from a snapshot.
func TestResendGetsFirstOutcome(t *testing.T) {
	is := is.New(t)
	r := NewStore()
	first := send(t, r, setTeam("one", 0, "t", 5))
	is.Equal(first.Status, changeoutcome.Applied)
	is.Equal(send(t, r, setTeam("two", 1, "t", 6)).Version, uint64(2))
	is.Equal(send(t, r, setTeam("one", 0, "t", 5)), first)
	is.Equal(send(t, r, setTeam("one", 2, "t", 5)), first)
	r = restored(t, r)
	is.Equal(send(t, r, setTeam("one", 0, "t", 5)), first)
	is.Equal(r.View().Teams["t"].Rate, int64(6))
	is.Equal(send(t, r, setTeam("one", 2, "t", 7)).Status, changeoutcome.Reused)
	is.NoErr(r.Check())
}

func TestConflictNamesInterveningChanges(t *testing.T) {
	is := is.New(t)
	r := NewStore()
	send(t, r, setTeam("one", 0, "t", 5))
	send(t, r, setTeam("two", 1, "t", 6))
	o := send(t, r, setTeam("three", 1, "t", 7))
	is.Equal(o.Status, changeoutcome.Conflict)
	is.Equal(o.Version, uint64(2))
	is.Equal(len(o.Conflicts), 1)
	is.Equal(o.Conflicts[0].By, "op-two")
	is.Equal(o.Conflicts[0].Fields, []string{"teams.t.rate"})
	is.Equal(r.View().Teams["t"].Rate, int64(6))
}

func TestInvalid(t *testing.T) {
	r := NewStore()
	send(t, r, setTeam("one", 0, "t", 5))
	send(t, r, grantKey("two", 1, "k", "t"))
	for _, c := range []struct {
		name   string
		change change.Change
		field  string
	}{
		{"missing model", change.Change{Kind: change.SetRoute, Name: "r", Route: &route.Route{Model: "m", Service: "s", Price: 1, Timeout: duration.Duration(1)}}, "routes.r.model"},
		{"missing team", grantKey("x", 2, "k2", "nobody"), "keys.k2.team"},
		{"key already granted", grantKey("y", 2, "k", "t"), "keys.k"},
		{"team with keys", change.Change{Kind: change.RemoveTeam, Name: "t"}, "keys.k.team"},
		{"no such team", change.Change{Kind: change.RemoveTeam, Name: "u"}, "teams.u"},
		{"version not kept", change.Change{Kind: change.RollBack, To: 9}, "to"},
		{"no rate", setTeam("z", 2, "u", 0), "teams.u.rate"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.change.ID, c.change.Base = c.name, 2
			o := send(t, r, c.change)
			is.Equal(o.Status, changeoutcome.Invalid)
			is.Equal(o.Problems[0].Field, c.field)
			is.Equal(r.View().Version, uint64(2))
		})
	}
}

func TestRollBackLeavesKeys(t *testing.T) {
	is := is.New(t)
	r := NewStore()
	send(t, r, setTeam("one", 0, "t", 5))
	send(t, r, grantKey("two", 1, "k", "t"))
	send(t, r, setTeam("three", 2, "t", 6))
	send(t, r, change.Change{ID: "four", Base: 3, Kind: change.WithdrawKey, Name: "k"})
	r = restored(t, r)
	o := send(t, r, change.Change{ID: "five", Base: 4, Kind: change.RollBack, To: 2})
	is.Equal(o.Status, changeoutcome.Applied)
	is.Equal(r.View().Version, uint64(5))
	is.Equal(r.View().Teams["t"].Rate, int64(5))
	is.Equal(len(r.View().Keys), 0)
	d, err := r.Diff(2, 5)
	is.NoErr(err)
	is.Equal(len(d), 1)
	is.Equal(d[0].Field, "keys.k")
}

// Guards against an old change that is applied again once its outcome is no longer kept.
func TestOldChangesAreNeverAppliedTwice(t *testing.T) {
	is := is.New(t)
	r := NewStore()
	send(t, r, setTeam("first", 0, "t", 1))
	for i := range maxOutcomes + 10 {
		send(t, r, setTeam(fmt.Sprint(i), r.View().Version, "t", int64(i%9+1)))
	}
	is.Equal(send(t, r, setTeam("first", 0, "t", 1)).Status, changeoutcome.Forgotten)
	is.Equal(send(t, r, setTeam("first", r.View().Version, "t", 1)).Status, changeoutcome.Forgotten)
	r.dedup.droppedVersion = 7
	is.Equal(send(t, r, setTeam("unheard", 6, "t", 1)).Status, changeoutcome.Forgotten)
	is.Equal(send(t, r, setTeam("unheard", 7, "t", 1)).Status, changeoutcome.Conflict)
	is.NoErr(restored(t, r).Check())
}

// run sends random changes of operators that share IDs and lose answers. It returns
// an error when an ID gets two outcomes or a state violates an invariant.
func run(t *testing.T, seed uint64, before func(*Store)) error {
	g := rand.New(rand.NewPCG(seed, 1))
	r, twin := NewStore(), NewStore()
	outcomes := map[string]string{}
	var sent []change.Change
	for range 60 {
		c := randomChange(g, r.View().Version)
		if len(sent) > 0 && g.IntN(3) == 0 {
			c = sent[g.IntN(len(sent))]
		}
		sent = append(sent, c)
		version := r.View().Version
		b, _ := c.Encode()
		before(r)
		got := r.Apply(0, b)
		if !bytes.Equal(got, twin.Apply(0, b)) {
			return fmt.Errorf("change %s: replicas differ", c.ID)
		}
		o, _ := changeoutcome.Decode(got)
		d, _ := c.Digest()
		k := c.ID + string(d[:])
		if f, ok := outcomes[k]; ok && f != string(got) && o.Status != changeoutcome.Reused {
			return fmt.Errorf("change %s: outcome %s after %s", c.ID, got, f)
		}
		if _, ok := outcomes[k]; !ok {
			outcomes[k] = string(got)
		}
		if now := r.View().Version; now < version || now > version+1 {
			return fmt.Errorf("version %d after %d", now, version)
		}
		if g.IntN(10) == 0 {
			if err := r.Check(); err != nil {
				return err
			}
			r = restored(t, r)
		}
	}
	return r.Check()
}

func randomChange(g *rand.Rand, version uint64) change.Change {
	id := fmt.Sprint("id-", g.IntN(40))
	base := version - min(version, uint64(g.IntN(2)))
	name := fmt.Sprint("n-", g.IntN(4))
	switch g.IntN(5) {
	case 0:
		return grantKey(id, base, name, fmt.Sprint("n-", g.IntN(4)))
	case 1:
		return change.Change{ID: id, Base: base, Kind: change.WithdrawKey, Name: name}
	case 2:
		return change.Change{ID: id, Base: base, Kind: change.RollBack, To: uint64(g.IntN(20) + 1)}
	case 3:
		return change.Change{ID: id, Base: base, Kind: change.RemoveTeam, Name: name}
	default:
		return setTeam(id, base, name, int64(g.IntN(5)+1))
	}
}

// Guards against outcomes that differ between replicas or between resends of one change.
func TestRandomOperators(t *testing.T) {
	for seed := range *seeds {
		if err := run(t, seed, func(*Store) {}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Guards against a random test that passes a store without deduplication.
func TestForgottenIDsAreCaught(t *testing.T) {
	for seed := range uint64(100) {
		if run(t, seed, func(r *Store) { r.dedup = newDedupTable() }) != nil {
			return
		}
	}
	t.Fatal("no seed detected that change IDs were forgotten")
}

// Guards against a random test that passes a history with a version twice.
func TestDoubledVersionsAreCaught(t *testing.T) {
	double := func(r *Store) {
		if n := len(r.history.events); n > 0 {
			r.history.events = append(r.history.events, r.history.events[n-1])
		}
	}
	for seed := range uint64(100) {
		if run(t, seed, double) != nil {
			return
		}
	}
	t.Fatal("no seed detected a version that was made twice")
}

func FuzzApply(f *testing.F) {
	c := setTeam("one", 0, "t", 5)
	b, _ := c.Encode()
	f.Add(b)
	f.Add([]byte(`{"id":"a","base":0,"kind":"replace","whole":{}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewStore()
		if _, err := changeoutcome.Decode(r.Apply(0, b)); err != nil {
			t.Fatal(err)
		}
		if err := r.Check(); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzRestore(f *testing.F) {
	r := NewStore()
	c := setTeam("one", 0, "t", 5)
	b, _ := c.Encode()
	r.Apply(0, b)
	var w bytes.Buffer
	_ = r.Snapshot(&w)
	f.Add(w.Bytes())
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewStore()
		if r.Restore(bytes.NewReader(b)) != nil {
			return
		}
		if err := r.Check(); err != nil {
			t.Fatal(err)
		}
	})
}
