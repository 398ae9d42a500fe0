package inspect

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/disk"
	"siskinrun/internal/state/formation"
	"siskinrun/internal/state/groupstatus"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/memberset"
	"siskinrun/internal/state/storage"
)

// Inspector verifies a data folder without changing it.
type Inspector struct {
	// Folder is the data folder.
	Folder string
	// Host is the name of the host that the folder belongs to.
	Host string
}

// NewInspector returns an inspector of a host's data folder.
func NewInspector(folder, host string) *Inspector {
	return &Inspector{Folder: folder, Host: host}
}

// Run verifies the journal and the newest snapshot of each group and returns the status of the groups as stored.
func (i *Inspector) Run() ([]groupstatus.Status, error) {
	d, err := openReadOnly(i.Folder)
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
	var all []groupstatus.Status
	for n := uint32(0); ; n++ {
		path := filepath.Join(i.Folder, fmt.Sprintf("group-%d", n))
		if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
			return all, nil
		}
		s, err := inspectGroup(path, f)
		if err != nil {
			return all, errors.Wrapf(err, "group %d", n)
		}
		s.Group = n
		s.Self = self
		all = append(all, s)
	}
}

func inspectGroup(path string, f formation.Formation) (groupstatus.Status, error) {
	d, err := openReadOnly(path)
	if err != nil {
		return groupstatus.Status{}, err
	}
	s := &storage.Storage{Disk: d, Members: memberset.Set{Voters: f.Members}}
	r, err := s.Open()
	if err != nil {
		return groupstatus.Status{}, err
	}
	if r.Base > 0 {
		if err := s.Restore(r.Base, func(r io.Reader) error { _, err := io.Copy(io.Discard, r); return err }); err != nil {
			return groupstatus.Status{}, err
		}
	}
	t := groupstatus.Status{Term: r.Ballot.Term, Last: r.Base + uint64(len(r.Entries)), Applied: r.Base}
	for _, v := range r.Members.All() {
		t.Members = append(t.Members, groupstatus.Member{Identity: v, Voter: r.Members.HasVoter(v)})
	}
	return t, nil
}

// readOnlyDisk discards writes, except that Replace fails. A torn end of the journal counts as truncated.
type readOnlyDisk struct {
	*disk.Disk
}

func openReadOnly(path string) (readOnlyDisk, error) {
	if _, err := os.Stat(path); err != nil {
		return readOnlyDisk{}, errors.Wrap(err, "open the data folder")
	}
	d, err := disk.NewDisk(path)
	return readOnlyDisk{d}, err
}

// Append does nothing.
func (readOnlyDisk) Append(string, []byte) error {
	return nil
}

// Replace fails, because it is called only for a file that is missing.
func (readOnlyDisk) Replace(name string, _ []byte) error {
	return errors.Newf("data folder has no file %s", name)
}

// Sync does nothing, because nothing is written.
func (readOnlyDisk) Sync(string) error {
	return nil
}

// SyncFolder does nothing, because nothing is written.
func (readOnlyDisk) SyncFolder() error {
	return nil
}

// Truncate leaves the torn end in place.
func (readOnlyDisk) Truncate(string, int64) error {
	return nil
}

// Rename does nothing.
func (readOnlyDisk) Rename(string, string) error {
	return nil
}

// Remove leaves the file in place.
func (readOnlyDisk) Remove(string) error {
	return nil
}
