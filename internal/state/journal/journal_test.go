package journal

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/disk"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
)

func newDisk(t testing.TB, folder string) *disk.Disk {
	d, err := disk.NewDisk(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	return d
}

func newEntries(index, term uint64) []logentry.Entry {
	return []logentry.Entry{{Index: index, Term: term, Data: fmt.Appendf(nil, "%d/%d", index, term)}}
}

// writeEntries writes a ballot and n entries, each with its own sync.
func writeEntries(t testing.TB, folder string, n uint64, segment int64) *Journal {
	j := &Journal{Disk: newDisk(t, folder), SegmentBytes: segment}
	if _, err := j.Open(); err != nil {
		t.Fatal(err)
	}
	b := ballot.Ballot{Term: 7, Vote: identity.Identity{Host: "a", Disk: "1"}}
	if err := j.Append(&b, newEntries(1, 7)); err != nil {
		t.Fatal(err)
	}
	for i := uint64(2); i <= n; i++ {
		if err := j.Append(nil, newEntries(i, 7)); err != nil {
			t.Fatal(err)
		}
	}
	return j
}

func reopen(t testing.TB, folder string) (*Journal, uint64, error) {
	j := &Journal{Disk: newDisk(t, folder)}
	r, err := j.Open()
	return j, uint64(len(r.Entries)), err
}

func TestTornEndIsTruncatedAtEveryByte(t *testing.T) {
	is := is.New(t)
	f := t.TempDir()
	writeEntries(t, f, 4, 0)
	path := filepath.Join(f, segmentName(1))
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	before := uint64(0)
	for n := range len(whole) + 1 {
		is.NoErr(os.WriteFile(path, whole[:n], 0o600))
		j, got, err := reopen(t, f)
		is.NoErr(err)
		is.True(got >= before && got <= 4)
		before = got
		is.NoErr(j.Append(nil, newEntries(got+1, 8)))
		_, again, err := reopen(t, f)
		is.NoErr(err)
		is.Equal(again, got+1)
	}
	is.Equal(before, uint64(4))
}

func TestCorruptionBeforeTheEndIsRefused(t *testing.T) {
	is := is.New(t)
	f := t.TempDir()
	j := writeEntries(t, f, 4, 0)
	path := filepath.Join(f, segmentName(1))
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	last := len(encodeFrame(1, 0, appendEntry(nil, newEntries(4, 7)[0])))
	is.Equal(j.size, int64(len(whole)))
	for i := range len(whole) - last {
		b := append([]byte(nil), whole...)
		b[i] ^= 0x10
		is.NoErr(os.WriteFile(path, b, 0o600))
		_, _, err := reopen(t, f)
		if err == nil {
			t.Fatalf("corruption at byte %d is not detected", i)
		}
	}
}

func TestCorruptEarlierSegmentIsRefused(t *testing.T) {
	is := is.New(t)
	f := t.TempDir()
	j := writeEntries(t, f, 20, 100)
	is.True(len(j.segments) > 3)
	path := filepath.Join(f, segmentName(2))
	b, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, b[:len(b)-1], 0o600))
	_, _, err = reopen(t, f)
	is.True(err != nil)
	is.NoErr(os.Remove(path))
	_, _, err = reopen(t, f)
	is.True(err != nil)
}

func TestCompactionKeepsTheBallotAndLaterEntries(t *testing.T) {
	is := is.New(t)
	f := t.TempDir()
	j := writeEntries(t, f, 20, 100)
	is.NoErr(j.Append(nil, newEntries(15, 8)))
	is.NoErr(j.Compact(12))
	k := &Journal{Disk: newDisk(t, f)}
	r, err := k.Open()
	is.NoErr(err)
	is.Equal(r.Ballot.Term, uint64(7))
	is.Equal(r.Ballot.Vote.Host, "a")
	is.True(r.Base > 0 && r.Base <= 12)
	is.Equal(r.Base+uint64(len(r.Entries)), uint64(15))
	is.Equal(r.Entries[len(r.Entries)-1].Term, uint64(8))
}

// failingDisk fails one sync and counts the syncs after it.
type failingDisk struct {
	*disk.Disk
	untilFailure      int
	syncsAfterFailure int
}

func (d *failingDisk) Sync(name string) error {
	d.untilFailure--
	if d.untilFailure == 0 {
		return errors.New("input/output error")
	}
	if d.untilFailure < 0 {
		d.syncsAfterFailure++
	}
	return d.Disk.Sync(name)
}

func TestFailedSyncIsFinal(t *testing.T) {
	is := is.New(t)
	d := &failingDisk{Disk: newDisk(t, t.TempDir()), untilFailure: 3}
	j := &Journal{Disk: d}
	_, err := j.Open()
	is.NoErr(err)
	is.NoErr(j.Append(nil, newEntries(1, 1)))
	first := j.Append(nil, newEntries(2, 1))
	is.True(first != nil)
	is.Equal(j.Append(nil, newEntries(2, 1)), first)
	is.Equal(j.Reset(5, 1), first)
	is.Equal(d.syncsAfterFailure, 0)
}

func TestOneSyncCoversABatch(t *testing.T) {
	is := is.New(t)
	j := writeEntries(t, t.TempDir(), 1, 0)
	before := j.Syncs()
	var all []logentry.Entry
	for i := range uint64(1000) {
		all = append(all, newEntries(i+2, 7)...)
	}
	is.NoErr(j.Append(nil, all))
	is.Equal(j.Syncs(), before+1)
}

func FuzzOpen(f *testing.F) {
	folder := f.TempDir()
	writeEntries(f, folder, 3, 0)
	b, err := os.ReadFile(filepath.Join(folder, segmentName(1)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Fuzz(func(t *testing.T, b []byte) {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, segmentName(1)), b, 0o600); err != nil {
			t.Fatal(err)
		}
		_, n, err := reopen(t, folder)
		if err != nil {
			return
		}
		if _, again, err := reopen(t, folder); err != nil || again != n {
			t.Fatalf("first open returned %d entries, second %d: %v", n, again, err)
		}
	})
}

func FuzzRecords(f *testing.F) {
	f.Add(appendEntry(appendBallot(nil, ballot.Ballot{Term: 3}), logentry.Entry{Index: 1, Term: 3, Data: []byte("x")}))
	f.Add(appendReset(nil, 9, 2))
	f.Fuzz(func(t *testing.T, b []byte) {
		p := &replay{}
		if p.apply(b) != nil {
			return
		}
		for i, e := range p.Entries {
			if e.Index != p.Base+uint64(i)+1 {
				t.Fatalf("entry with index %d is stored at index %d", e.Index, p.Base+uint64(i)+1)
			}
		}
	})
}
