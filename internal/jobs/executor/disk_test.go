package executor

import (
	"bytes"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
)

// disk is an in-memory storage that loses a random part of its unsynced bytes in a crash.
type disk struct {
	files  map[string][]byte
	synced map[string]int
}

func newDisk() *disk {
	return &disk{files: map[string][]byte{}, synced: map[string]int{}}
}

func (d *disk) Create(n string) error {
	d.files[n] = nil
	d.synced[n] = 0
	return nil
}

func (d *disk) Append(n string, b []byte) error {
	d.files[n] = append(d.files[n], b...)
	return nil
}

func (d *disk) ReadAt(n string, b []byte, o int64) error {
	if o+int64(len(b)) > int64(len(d.files[n])) {
		return io.ErrUnexpectedEOF
	}
	copy(b, d.files[n][o:])
	return nil
}

func (d *disk) Open(n string) (io.ReadCloser, error) {
	return io.NopCloser(bytes.NewReader(slices.Clone(d.files[n]))), nil
}

func (d *disk) Truncate(n string, size int64) error {
	if int64(len(d.files[n])) < size {
		return io.ErrUnexpectedEOF
	}
	d.files[n] = d.files[n][:size:size]
	d.synced[n] = min(d.synced[n], int(size))
	return nil
}

func (d *disk) Remove(n string) error {
	delete(d.files, n)
	delete(d.synced, n)
	return nil
}

func (d *disk) Names() ([]string, error) {
	return slices.Sorted(maps.Keys(d.files)), nil
}

func (d *disk) Sync() error {
	for n, b := range d.files {
		d.synced[n] = len(b)
	}
	return nil
}

func (d *disk) crash(r *rand.Rand) {
	for _, n := range slices.Sorted(maps.Keys(d.files)) {
		k := d.synced[n] + r.IntN(len(d.files[n])-d.synced[n]+1)
		d.files[n] = d.files[n][:k:k]
	}
}
