package inspect_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/state/disk"
	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/formation"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/inspect"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/storage"
)

func writeDataFolder(is *is.I, folder string) string {
	d, err := disk.NewDisk(folder)
	is.NoErr(err)
	i, err := identity.NewIdentity(d, "a")
	is.NoErr(err)
	f := formation.Formation{Cluster: "c", Coordinator: i, Members: []identity.Identity{i}, Formed: true}
	is.NoErr(f.Save(d))
	path := filepath.Join(folder, "group-0")
	g, err := disk.NewDisk(path)
	is.NoErr(err)
	s := &storage.Storage{Disk: g}
	_, err = s.Open()
	is.NoErr(err)
	for n := range uint64(3) {
		is.NoErr(s.Write([]effect.Effect{{Entries: []logentry.Entry{{Index: n + 1, Term: 1, Data: []byte("x")}}}}))
	}
	return filepath.Join(path, "0000000000000001.wal")
}

func TestInspectChangesNothing(t *testing.T) {
	is := is.New(t)
	f := t.TempDir()
	path := writeDataFolder(is, f)
	b, err := os.ReadFile(path)
	is.NoErr(err)
	torn := b[:len(b)-2]
	is.NoErr(os.WriteFile(path, torn, 0o600))
	all, err := inspect.NewInspector(f, "a").Run()
	is.NoErr(err)
	is.Equal(len(all), 1)
	is.Equal(all[0].Last, uint64(2))
	is.Equal(all[0].Self.Host, "a")
	after, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(after, torn)
}

func TestInspectDetectsCorruption(t *testing.T) {
	is := is.New(t)
	f := t.TempDir()
	path := writeDataFolder(is, f)
	b, err := os.ReadFile(path)
	is.NoErr(err)
	b[len(b)/2] ^= 1
	is.NoErr(os.WriteFile(path, b, 0o600))
	_, err = inspect.NewInspector(f, "a").Run()
	is.True(err != nil)
}

func TestInspectCreatesNoIdentity(t *testing.T) {
	is := is.New(t)
	f := t.TempDir()
	_, err := inspect.NewInspector(f, "a").Run()
	is.True(err != nil)
	e, err := os.ReadDir(f)
	is.NoErr(err)
	is.Equal(len(e), 0)
}
