package connector

import (
	"github.com/cockroachdb/errors"
)

// late reports whether a connection failed since it took too long.
func late(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
