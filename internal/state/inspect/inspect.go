package inspect

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/disk"
	"siskinrun/internal/state/formation"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/memberset"
	"siskinrun/internal/state/standing"
	"siskinrun/internal/state/storage"
)

// Inspect reads a data folder and changes nothing in it.
type Inspect struct {
	// Folder is the data folder.
	Folder string
	// Host is the name of the host that the folder belongs to.
	Host string
}

// NewInspect returns a check of a host's data folder.
func NewInspect(folder, host string) *Inspect {
	return &Inspect{Folder: folder, Host: host}
}

// Run verifies every checksum and returns how each group stands on the disk.
func (i *Inspect) Run() ([]standing.Standing, error) {
	d, err := open(i.Folder)
	if err != nil {
		return nil, err
	}
	self, err := identity.NewIdentity(d, i.Host)
	if err != nil {
		return nil, err
	}
	f, err := formation.NewFormation(d)
	if err != nil {
		return nil, err
	}
	var all []standing.Standing
	for n := uint32(0); ; n++ {
		path := filepath.Join(i.Folder, fmt.Sprintf("group-%d", n))
		if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
			return all, nil
		}
		s, err := group(path, f)
		if err != nil {
			return all, errors.Wrapf(err, "group %d", n)
		}
		s.Group = n
		s.Self = self
		all = append(all, s)
	}
}

func group(path string, f formation.Formation) (standing.Standing, error) {
	d, err := open(path)
	if err != nil {
		return standing.Standing{}, err
	}
	s := &storage.Storage{Disk: d, Quorum: memberset.Set{Voters: f.Members}}
	r, err := s.Open()
	if err != nil {
		return standing.Standing{}, err
	}
	if r.Base > 0 {
		if err := s.Restore(r.Base, func(r io.Reader) error { _, err := io.Copy(io.Discard, r); return err }); err != nil {
			return standing.Standing{}, err
		}
	}
	t := standing.Standing{Term: r.Ballot.Term, Last: r.Base + uint64(len(r.Entries)), Applied: r.Base}
	for _, v := range r.Members.All() {
		t.Members = append(t.Members, standing.Member{Identity: v, Voter: r.Members.HasVoter(v)})
	}
	return t, nil
}

// reader is a folder that refuses to be changed, but lets a torn end pass for cut.
type reader struct {
	*disk.Disk
}

func open(path string) (reader, error) {
	if _, err := os.Stat(path); err != nil {
		return reader{}, errors.Wrap(err, "open the data folder")
	}
	d, err := disk.NewDisk(path)
	return reader{d}, err
}

// Append writes nothing.
func (reader) Append(string, []byte) error {
	return nil
}

// Replace refuses, since only a fresh disk needs it.
func (reader) Replace(name string, _ []byte) error {
	return errors.Newf("the folder holds no %s", name)
}

// Sync has nothing to make durable.
func (reader) Sync(string) error {
	return nil
}

// SyncFolder has nothing to make durable.
func (reader) SyncFolder() error {
	return nil
}

// Truncate leaves the torn end in place.
func (reader) Truncate(string, int64) error {
	return nil
}

// Rename leaves the name as it is.
func (reader) Rename(string, string) error {
	return nil
}

// Remove leaves the file in place.
func (reader) Remove(string) error {
	return nil
}
