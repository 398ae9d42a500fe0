package duration

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is encoded as text, as in settings.
type Duration time.Duration

// Duration returns the value as a time.Duration.
func (s Duration) Duration() time.Duration {
	return time.Duration(s)
}

// MarshalText implements encoding.TextMarshaler.MarshalText.
func (s Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.UnmarshalText.
func (s *Duration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Newf("%q is not a duration such as 770ms", b)
	}
	*s = Duration(d)
	return nil
}
