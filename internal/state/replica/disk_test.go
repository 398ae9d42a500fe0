package replica_test

import (
	"math/rand/v2"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
)

var errCrash = errors.New("the host crashed")

// file holds the bytes written and how many of them are durable.
type file struct {
	data   []byte
	synced int
}

// fakeDisk can crash at any operation and then loses data that was not synced.
type fakeDisk struct {
	random         *rand.Rand
	live           map[string]*file
	durable        map[string]*file
	opsUntilCrash  int
	crashed        bool
	skipSync       bool
	skipFolderSync bool
}

func newFakeDisk(r *rand.Rand) *fakeDisk {
	return &fakeDisk{random: r, live: map[string]*file{}, durable: map[string]*file{}, opsUntilCrash: -1}
}

// crashesNow counts an operation and reports whether the host crashes during it.
func (d *fakeDisk) crashesNow() bool {
	if d.opsUntilCrash == 0 {
		d.crashed = true
	}
	d.opsUntilCrash--
	return d.crashed
}

// crash keeps what is durable and a random part of the rest.
func (d *fakeDisk) crash() {
	if d.random.IntN(2) == 0 {
		d.live = d.durable
	}
	next := map[string]*file{}
	for n, f := range d.live {
		keep := f.synced
		if len(f.data) > keep {
			keep += d.random.IntN(len(f.data) - keep + 1)
		}
		next[n] = &file{data: slices.Clone(f.data[:keep]), synced: keep}
	}
	d.live = next
	d.durable = map[string]*file{}
	for n, f := range next {
		d.durable[n] = f
	}
	d.crashed = false
	d.opsUntilCrash = -1
}

func (d *fakeDisk) Read(name string) ([]byte, error) {
	f := d.live[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *fakeDisk) ReadAt(name string, b []byte, offset int64) (int, error) {
	f := d.live[name]
	if f == nil {
		return 0, os.ErrNotExist
	}
	if offset >= int64(len(f.data)) {
		return 0, nil
	}
	return copy(b, f.data[offset:]), nil
}

func (d *fakeDisk) Size(name string) (int64, error) {
	f := d.live[name]
	if f == nil {
		return 0, os.ErrNotExist
	}
	return int64(len(f.data)), nil
}

func (d *fakeDisk) List() ([]string, error) {
	var n []string
	for f := range d.live {
		n = append(n, f)
	}
	slices.Sort(n)
	return n, nil
}

func (d *fakeDisk) Append(name string, b []byte) error {
	f := d.live[name]
	if f == nil {
		f = &file{}
		d.live[name] = f
	}
	if d.crashesNow() {
		f.data = append(f.data, b[:d.random.IntN(len(b)+1)]...)
		return errCrash
	}
	f.data = append(f.data, b...)
	return nil
}

func (d *fakeDisk) Sync(name string) error {
	if d.crashesNow() {
		return errCrash
	}
	if !d.skipSync && d.live[name] != nil {
		d.live[name].synced = len(d.live[name].data)
	}
	return nil
}

func (d *fakeDisk) Truncate(name string, size int64) error {
	if d.crashesNow() {
		return errCrash
	}
	f := d.live[name]
	f.data = f.data[:size]
	f.synced = min(f.synced, int(size))
	return nil
}

func (d *fakeDisk) Rename(from, to string) error {
	if d.crashesNow() {
		return errCrash
	}
	d.live[to] = d.live[from]
	delete(d.live, from)
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	if d.live[name] == nil {
		return os.ErrNotExist
	}
	if d.crashesNow() {
		return errCrash
	}
	delete(d.live, name)
	return nil
}

func (d *fakeDisk) SyncFolder() error {
	if d.crashesNow() {
		return errCrash
	}
	if d.skipFolderSync {
		return nil
	}
	d.durable = map[string]*file{}
	for n, f := range d.live {
		d.durable[n] = f
	}
	return nil
}
