package upstreamapi

import (
	"encoding/json"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/upstream"
)

const (
	maxNameBytes    = 128
	maxVersionBytes = 128
)

// validate returns an error if an announcement is invalid.
func validate(u upstream.Upstream) error {
	if u.Name == "" || len(u.Name) > maxNameBytes {
		return errors.New("the field name is missing or too long")
	}
	if _, _, err := net.SplitHostPort(u.Address); err != nil {
		return errors.Newf("the address %q is not of the form host:port", u.Address)
	}
	if u.Kind != upstream.Engine && u.Kind != upstream.Service {
		return errors.Newf("the kind %q is neither engine nor service", u.Kind)
	}
	if u.Service == "" || u.FailureDomain == "" {
		return errors.New("the field service or failure-domain is missing")
	}
	if len(u.Version) > maxVersionBytes {
		return errors.New("the field version is too long")
	}
	if u.Slots < 1 || u.Age < 0 {
		return errors.New("slots must be positive and age must not be negative")
	}
	return nil
}

func decode[T any](b []byte) (T, error) {
	var v T
	err := json.Unmarshal(b, &v)
	return v, err
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(x *fasthttp.RequestCtx, status int, code string, err error) {
	x.SetStatusCode(status)
	x.SetContentType("application/json")
	b, _ := json.Marshal(errorBody{errorDetail{code, err.Error()}})
	x.SetBody(b)
}
