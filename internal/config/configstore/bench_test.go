package configstore

import (
	"bytes"
	"fmt"
	"testing"

	"siskinrun/internal/config/change"
	"siskinrun/internal/config/delta"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/team"
)

const (
	teams   = 2_000
	keys    = 10_000
	changes = 1_000
)

// newLargeStore returns a store with many teams and keys.
func newLargeStore(b *testing.B) *Store {
	c := emptyConfiguration()
	for i := range teams {
		c.Teams[fmt.Sprint("team-", i)] = team.Team{Rate: 100, Burst: 200, Weight: 1}
	}
	for i := range keys {
		id := fmt.Sprint("key-", i)
		c.Keys[id] = key.Key{ID: id, Team: fmt.Sprint("team-", i%teams), Hash: key.Hash(id)}
	}
	r := NewStore()
	r.replace(&snapshotState{Configuration: c}, newDedupTable(), history{})
	if err := r.Check(); err != nil {
		b.Fatal(err)
	}
	return r
}

func BenchmarkApplyTeam(b *testing.B) {
	r := newLargeStore(b)
	v := r.View().Version
	b.ReportAllocs()
	for b.Loop() {
		send(b, r, setTeam(fmt.Sprint(v), v, "team-7", int64(v%9+1)))
		v++
	}
	if r.View().Version != v {
		b.Fatalf("version %d after %d changes", r.View().Version, v)
	}
}

func BenchmarkApplyKey(b *testing.B) {
	r := newLargeStore(b)
	v := r.View().Version
	b.ReportAllocs()
	for b.Loop() {
		c := grantKey(fmt.Sprint(v), v, "new", "team-7")
		if v%2 == 1 {
			c = change.Change{ID: fmt.Sprint(v), Base: v, Kind: change.WithdrawKey, Name: "new"}
		}
		send(b, r, c)
		v++
	}
	if r.View().Version != v {
		b.Fatalf("version %d after %d changes", r.View().Version, v)
	}
}

func BenchmarkDelta(b *testing.B) {
	r := newLargeStore(b)
	old := r.View()
	send(b, r, setTeam("one", old.Version, "team-7", 7))
	whole, err := delta.Between(&configuration.Configuration{}, r.View()).Encode()
	if err != nil {
		b.Fatal(err)
	}
	var part []byte
	for b.Loop() {
		if part, err = delta.Between(old, r.View()).Encode(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(part)), "delta-bytes")
	b.ReportMetric(float64(len(whole)), "whole-bytes")
	if len(part)*100 > len(whole) {
		b.Fatalf("a delta of one team takes %d bytes, the whole configuration %d", len(part), len(whole))
	}
}

func BenchmarkRestart(b *testing.B) {
	r := newLargeStore(b)
	for v := range uint64(changes) {
		send(b, r, setTeam(fmt.Sprint(v), v, fmt.Sprint("team-", v%teams), int64(v%9+1)))
	}
	var w bytes.Buffer
	if err := r.Snapshot(&w); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(w.Len()), "snapshot-bytes")
	for b.Loop() {
		n := NewStore()
		if err := n.Restore(bytes.NewReader(w.Bytes())); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(w.Len()), "snapshot-bytes")
}
