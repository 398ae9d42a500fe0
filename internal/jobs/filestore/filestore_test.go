package filestore

import (
	"fmt"
	"io"
	"testing"

	"github.com/matryer/is"
)

func TestAppendTruncateAndRemove(t *testing.T) {
	is := is.New(t)
	f, err := NewStore(t.TempDir())
	is.NoErr(err)
	is.NoErr(f.Create("a"))
	is.NoErr(f.Append("a", []byte("hello ")))
	is.NoErr(f.Append("a", []byte("world")))
	is.NoErr(f.Sync())
	is.True(f.Truncate("a", 12) != nil)
	is.NoErr(f.Truncate("a", 7))
	is.NoErr(f.Append("a", []byte("ard")))
	b := make([]byte, 4)
	is.NoErr(f.ReadAt("a", b, 6))
	is.Equal(string(b), "ward")
	is.True(f.ReadAt("a", b, 8) != nil)
	r, err := f.Open("a")
	is.NoErr(err)
	is.NoErr(f.Remove("a"))
	is.NoErr(f.Remove("a"))
	c, err := io.ReadAll(r)
	is.NoErr(err)
	is.Equal(string(c), "hello ward")
	is.NoErr(r.Close())
	is.NoErr(f.Sync())
}

func TestMoreFilesThanHandles(t *testing.T) {
	is := is.New(t)
	f, err := NewStore(t.TempDir())
	is.NoErr(err)
	for i := range 3 * maxHandles {
		is.NoErr(f.Create(fmt.Sprint(i)))
		is.NoErr(f.Append(fmt.Sprint(i), []byte("x")))
		is.True(len(f.handles) <= maxHandles)
	}
	is.NoErr(f.Append("0", []byte("y")))
	is.NoErr(f.Sync())
	is.Equal(len(f.dirty), 0)
	n, err := f.Names()
	is.NoErr(err)
	is.Equal(len(n), 3*maxHandles)
	f.Close()
	is.Equal(len(f.handles), 0)
}
