package wholeruns

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// allServices is the text that names all services.
const allServices = "all"

var errUnknown = errors.New(`must be true, false, "all" or a list of services`)

// Scope is a set of services; the zero value holds none. Its JSON is false, true for those whose upstreams report their pace, "all",
// or a list of names.
type Scope struct {
	// Paced holds the services of which an upstream reports its pace.
	Paced bool
	// All holds all services.
	All bool
	// Services holds services by name.
	Services []string
}

// Names reports whether the scope holds a service whether or not its upstreams report their pace.
func (s Scope) Names(service string) bool {
	return s.All || slices.Contains(s.Services, service)
}

// NamesAny reports whether the scope holds any service whether or not upstreams report their pace.
func (s Scope) NamesAny() bool {
	return s.All || len(s.Services) > 0
}

// IsZero reports whether the scope holds no service.
func (s Scope) IsZero() bool {
	return !s.Paced && !s.NamesAny()
}

// MarshalJSON implements json.Marshaler.
func (s Scope) MarshalJSON() ([]byte, error) {
	switch {
	case s.All:
		return json.Marshal(allServices)
	case len(s.Services) > 0:
		return json.Marshal(s.Services)
	}
	return json.Marshal(s.Paced)
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Scope) UnmarshalJSON(b []byte) error {
	*s = Scope{}
	var text string
	switch {
	case string(b) == "null":
		return errUnknown
	case json.Unmarshal(b, &s.Paced) == nil:
		return nil
	case json.Unmarshal(b, &text) == nil && text == allServices:
		s.All = true
		return nil
	case json.Unmarshal(b, &s.Services) == nil && !slices.Contains(s.Services, ""):
		return nil
	}
	return errUnknown
}
