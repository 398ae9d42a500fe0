package span

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Span is a duration that is encoded as text, as in settings.
type Span time.Duration

// Duration returns the value as a time.Duration.
func (s Span) Duration() time.Duration {
	return time.Duration(s)
}

// MarshalText implements encoding.TextMarshaler.MarshalText.
func (s Span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.UnmarshalText.
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Newf("%q is not a duration such as 770ms", b)
	}
	*s = Span(d)
	return nil
}
