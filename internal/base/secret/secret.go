package secret

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

const (
	minBytes    = 16
	maxBytes    = 4096
	placeholder = "[redacted]"
)

// Secret is a shared secret. It prints and marshals as a placeholder.
type Secret []byte

// Read reads a secret of 16 to 4096 bytes from a file and trims white space around it.
func Read(path string) (Secret, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read secret")
	}
	b = bytes.TrimSpace(b)
	if len(b) < minBytes || len(b) > maxBytes {
		return nil, errors.Newf("secret has %d bytes, not %d to %d", len(b), minBytes, maxBytes)
	}
	return b, nil
}

// Equal reports in constant time whether b is the secret. An empty secret equals nothing.
func (s Secret) Equal(b []byte) bool {
	x := sha256.Sum256(s)
	y := sha256.Sum256(b)
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1 && len(s) > 0
}

// Format implements fmt.Formatter.Format.
func (s Secret) Format(f fmt.State, _ rune) {
	_, _ = f.Write([]byte(placeholder))
}

// MarshalText implements encoding.TextMarshaler.MarshalText.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(placeholder), nil
}
