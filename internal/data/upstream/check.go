package upstream

import (
	"net"
	"strconv"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	// MaxTextBytes is the maximum length of a name, service, failure domain or version.
	MaxTextBytes = 128
	// MaxSlots is the maximum number of slots.
	MaxSlots = 1 << 16
	// MaxCold is the maximum time for which an upstream is cold.
	MaxCold = 1e9 * time.Millisecond
)

// Check returns why the announcement names no upstream to use, or nil. One that only ends an incarnation needs no more than a
// name.
func (u Upstream) Check() error {
	if err := CheckName(u.Name); err != nil {
		return err
	}
	if u.Leaving && u.Address == "" {
		return nil
	}
	for _, s := range []string{u.Service, u.FailureDomain, u.Version} {
		if len(s) > MaxTextBytes || !utf8.ValidString(s) {
			return errors.New("upstream: a service, failure domain or version is too long or no text")
		}
	}
	if u.Service == "" {
		return errors.New("upstream: the service is empty")
	}
	if u.Slots < 1 || u.Slots > MaxSlots {
		return errors.Newf("upstream: %d slots are out of range", u.Slots)
	}
	if c := u.Cold.Duration(); c < 0 || c > MaxCold {
		return errors.Newf("upstream: %v of being cold are out of range", c)
	}
	return checkAddress(u.Address)
}

// CheckName returns why a text can't be the name of an upstream, or nil.
func CheckName(name string) error {
	if name == "" || len(name) > MaxTextBytes || !utf8.ValidString(name) {
		return errors.New("upstream: the name is empty, too long or no text")
	}
	for _, r := range name {
		if unicode.IsControl(r) {
			return errors.New("upstream: the name holds a control character")
		}
	}
	return nil
}

// checkAddress checks that an address is a host and a decimal port that can be connected to.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrap(err, "upstream")
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 || strconv.FormatUint(n, 10) != port {
		return errors.Newf("upstream: the port %.10q is out of range", port)
	}
	if host == "" || len(host) > MaxTextBytes {
		return errors.New("upstream: the host of the address is missing or too long")
	}
	return nil
}
