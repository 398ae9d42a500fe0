package identity_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/state/disk"
	"siskinrun/internal/state/identity"
)

func TestIdentityIsCreatedOncePerDisk(t *testing.T) {
	is := is.New(t)
	d, err := disk.NewDisk(t.TempDir())
	is.NoErr(err)
	a, err := identity.NewIdentity(d, "a")
	is.NoErr(err)
	b, err := identity.NewIdentity(d, "a")
	is.NoErr(err)
	is.Equal(a, b)
	_, err = identity.NewIdentity(d, "b")
	is.True(err != nil)
	e, err := disk.NewDisk(t.TempDir())
	is.NoErr(err)
	c, err := identity.NewIdentity(e, "a")
	is.NoErr(err)
	is.True(c != a)
}

func TestCorruptIdentityIsRefused(t *testing.T) {
	is := is.New(t)
	d, err := disk.NewDisk(t.TempDir())
	is.NoErr(err)
	for _, b := range []string{"", "{}", `{"host":"a","disk":""}`, `{"host":"a","disk":"1","more":2}`} {
		is.NoErr(d.Replace("identity", []byte(b)))
		_, err := identity.NewIdentity(d, "a")
		is.True(err != nil)
	}
}
