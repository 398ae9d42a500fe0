package identity

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

const (
	fileName  = "identity"
	diskBytes = 16
)

// Identity is a host and the disk that holds its votes and log.
type Identity struct {
	// Host is the name of the host.
	Host string `json:"host"`
	// Disk is a random name, written when the disk is first used.
	Disk string `json:"disk"`
}

// files is the part of a data folder that an identity uses.
type files interface {
	Read(name string) ([]byte, error)
	Replace(name string, b []byte) error
}

// NewIdentity returns the identity stored on d, or creates and stores one if there is none.
func NewIdentity(d files, host string) (Identity, error) {
	b, err := d.Read(fileName)
	if err == nil {
		return parse(b, host)
	}
	if !errors.Is(err, os.ErrNotExist) {
		return Identity{}, errors.Wrap(err, "read the disk identity")
	}
	i := Identity{Host: host, Disk: randomDiskName()}
	return i, write(d, i)
}

// IsZero reports whether i is empty.
func (i Identity) IsZero() bool {
	return i == Identity{}
}

// String returns the host and the disk as "host/disk".
func (i Identity) String() string {
	return i.Host + "/" + i.Disk
}

func parse(b []byte, host string) (Identity, error) {
	var i Identity
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&i); err != nil {
		return Identity{}, errors.Wrap(err, "decode the disk identity")
	}
	if i.Disk == "" {
		return Identity{}, errors.New("disk identity has no disk name")
	}
	if i.Host != host {
		return Identity{}, errors.Newf("data folder belongs to host %s, not to %s", i.Host, host)
	}
	return i, nil
}

func write(d files, i Identity) error {
	b, err := json.Marshal(i)
	if err != nil {
		return errors.Wrap(err, "encode the disk identity")
	}
	return errors.Wrap(d.Replace(fileName, b), "write the disk identity")
}

func randomDiskName() string {
	b := make([]byte, diskBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
