package snapshot

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/state/disk"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/memberset"
)

var members = memberset.Set{Voters: []identity.Identity{{Host: "a", Disk: "1"}}}

func newStore(t testing.TB, folder string) *Store {
	d, err := disk.NewDisk(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	return &Store{Disk: d}
}

// writeSnapshot stores a snapshot of three chunks.
func writeSnapshot(t testing.TB, s *Store, index uint64) []byte {
	data := bytes.Repeat([]byte{byte(index), 1, 2, 3}, ChunkBytes/2+7)
	err := s.Write(index, 5, members, func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestSnapshotIsTransferredInChunks(t *testing.T) {
	is := is.New(t)
	a := newStore(t, t.TempDir())
	data := writeSnapshot(t, a, 9)
	f := t.TempDir()
	b := newStore(t, f)
	for o, last := uint64(0), false; !last; {
		var p []byte
		var err error
		p, last, err = a.ReadChunk(9, o)
		is.NoErr(err)
		index, _, err := b.Receive(o, p, last)
		is.NoErr(err)
		is.Equal(index == 9, last)
		o += uint64(len(p))
	}
	c := newStore(t, f)
	index, term, q, err := c.Open()
	is.NoErr(err)
	is.Equal(index, uint64(9))
	is.Equal(term, uint64(5))
	is.Equal(q.Voters, members.Voters)
	is.NoErr(c.Read(9, func(r io.Reader) error {
		b, err := io.ReadAll(r)
		is.True(bytes.Equal(b, data))
		return err
	}))
}

func TestCorruptChunkIsNotInstalled(t *testing.T) {
	is := is.New(t)
	a := newStore(t, t.TempDir())
	writeSnapshot(t, a, 9)
	f := t.TempDir()
	b := newStore(t, f)
	p, _, err := a.ReadChunk(9, 0)
	is.NoErr(err)
	p[len(p)/2] ^= 1
	_, _, err = b.Receive(0, p, true)
	is.True(errors.Is(err, ErrCorrupt))
	index, _, _, err := newStore(t, f).Open()
	is.NoErr(err)
	is.Equal(index, uint64(0))
}

func TestCorruptSnapshotIsRefused(t *testing.T) {
	is := is.New(t)
	f := t.TempDir()
	writeSnapshot(t, newStore(t, f), 9)
	path := filepath.Join(f, fileName(9))
	b, err := os.ReadFile(path)
	is.NoErr(err)
	for _, i := range []int{0, 9, 20, len(b) / 2, len(b) - 1} {
		c := bytes.Clone(b)
		c[i] ^= 4
		is.NoErr(os.WriteFile(path, c, 0o600))
		_, _, _, err := newStore(t, f).Open()
		is.True(err != nil)
	}
	is.NoErr(os.WriteFile(path, b[:len(b)-1], 0o600))
	_, _, _, err = newStore(t, f).Open()
	is.True(err != nil)
}

func TestOldSnapshotsAreRemoved(t *testing.T) {
	is := is.New(t)
	f := t.TempDir()
	s := newStore(t, f)
	for _, i := range []uint64{9, 19, 29} {
		writeSnapshot(t, s, i)
	}
	n, err := s.Disk.List()
	is.NoErr(err)
	is.Equal(n, []string{fileName(19), fileName(29)})
}

func FuzzHeader(f *testing.F) {
	s := newStore(f, f.TempDir())
	writeSnapshot(f, s, 9)
	b, _, err := s.ReadChunk(9, 0)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b[:200])
	f.Fuzz(func(t *testing.T, b []byte) {
		h, n, err := decodeHeader(bytes.NewReader(b))
		if err == nil && n > len(b) {
			t.Fatalf("decoded a header of %d bytes from %d bytes: %+v", n, len(b), h)
		}
	})
}
