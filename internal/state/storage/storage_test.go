package storage_test

import (
	"io"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/disk"
	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/memberset"
	"siskinrun/internal/state/message"
	"siskinrun/internal/state/storage"
)

var members = memberset.Set{Voters: []identity.Identity{{Host: "a", Disk: "1"}}}

func newStorage(t testing.TB, folder string) *storage.Storage {
	d, err := disk.NewDisk(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	return &storage.Storage{Disk: d, Members: members, SegmentBytes: 200}
}

func newEffects(from, to, term uint64) []effect.Effect {
	var all []effect.Effect
	for i := from; i <= to; i++ {
		all = append(all, effect.Effect{Entries: []logentry.Entry{{Index: i, Term: term, Data: []byte("command")}}})
	}
	return all
}

func writeState(w io.Writer) error {
	_, err := w.Write([]byte("state"))
	return err
}

// filledStorage returns an open storage of 20 entries, each written alone.
func filledStorage(t *testing.T, folder string) *storage.Storage {
	t.Helper()
	is := is.New(t)
	s := newStorage(t, folder)
	_, err := s.Open()
	is.NoErr(err)
	for _, e := range newEffects(1, 20, 3) {
		is.NoErr(s.Write([]effect.Effect{e}))
	}
	return s
}

func TestLogFollowsTheSnapshot(t *testing.T) {
	is := is.New(t)
	f := t.TempDir()
	s := filledStorage(t, f)
	is.NoErr(s.Write([]effect.Effect{{Ballot: &ballot.Ballot{Term: 4}}}))
	is.NoErr(s.Snapshot(12, 3, members, writeState))
	is.NoErr(s.Compact(12))
	r, err := newStorage(t, f).Open()
	is.NoErr(err)
	is.Equal(r.Base, uint64(12))
	is.Equal(len(r.Entries), 8)
	is.Equal(r.Entries[0].Index, uint64(13))
	is.Equal(r.Ballot.Term, uint64(4))
	is.Equal(r.Members, members)
}

func TestReceivedSnapshotReplacesConflictingLog(t *testing.T) {
	is := is.New(t)
	a := newStorage(t, t.TempDir())
	_, err := a.Open()
	is.NoErr(err)
	is.NoErr(a.Snapshot(30, 5, members, writeState))
	f := t.TempDir()
	b := newStorage(t, f)
	_, err = b.Open()
	is.NoErr(err)
	is.NoErr(b.Write(newEffects(1, 40, 2)))
	p, last, err := a.ReadChunk(30, 0)
	is.NoErr(err)
	is.True(last)
	done, err := b.Receive(&message.Message{Index: 30, LogTerm: 5, Data: p, Last: true})
	is.NoErr(err)
	is.True(done)
	is.NoErr(b.Write(newEffects(31, 32, 5)))
	r, err := newStorage(t, f).Open()
	is.NoErr(err)
	is.Equal(r.Base, uint64(30))
	is.Equal(r.BaseTerm, uint64(5))
	is.Equal(len(r.Entries), 2)
}

func TestLogWithoutItsSnapshotIsRefused(t *testing.T) {
	is := is.New(t)
	f := t.TempDir()
	s := filledStorage(t, f)
	is.NoErr(s.Compact(12))
	_, err := newStorage(t, f).Open()
	is.True(err != nil)
}

// BenchmarkOpen measures recovery from a log of 100,000 entries of 200 bytes.
func BenchmarkOpen(b *testing.B) {
	f := b.TempDir()
	s := newStorage(b, f)
	s.SegmentBytes = 0
	if _, err := s.Open(); err != nil {
		b.Fatal(err)
	}
	all := newEffects(1, 100_000, 1)
	for i := range all {
		all[i].Entries[0].Data = make([]byte, 200)
	}
	for i := 0; i < len(all); i += 100 {
		if err := s.Write(all[i : i+100]); err != nil {
			b.Fatal(err)
		}
	}
	all = nil
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		o := newStorage(b, f)
		o.SegmentBytes = 0
		r, err := o.Open()
		if err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(r)
	}
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/(1<<20), "MiB-held")
}
