package upstreamapi

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/upstream"
)

// validate returns an error if an announcement is invalid.
func validate(u upstream.Upstream) error {
	if err := u.Check(); err != nil {
		return err
	}
	if u.Kind != upstream.Engine && u.Kind != upstream.Service {
		return errors.Newf("the kind %q is neither engine nor service", u.Kind)
	}
	if u.FailureDomain == "" {
		return errors.New("the field failure-domain is missing")
	}
	if u.Age < 0 {
		return errors.New("age must not be negative")
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
