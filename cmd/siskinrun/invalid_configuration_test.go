package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

// TestInvalidConfigurationsAreRefused guards against invalid configurations that are acknowledged, one of which could not be read
// back afterwards.
func TestInvalidConfigurationsAreRefused(t *testing.T) {
	is := is.New(t)
	f, ctx := newPlatformFleetOf(t, platformHosts(1))
	valid := strings.Replace(platformConfiguration, `"version": 7`, `"version": %d`, 1)
	i := strings.Index(valid, `"services": [`)
	j := strings.Index(valid, `"limits"`)
	for n, c := range []string{valid + "}]", valid + "]", valid + "{}", valid[:i] + valid[j:], valid[:i] + `"services": [], ` + valid[j:]} {
		if s := f.status(ctx, wire.PathConfigReplace, fmt.Sprintf(c, 100+n)); s < 400 || s >= 500 {
			t.Errorf("document %d: status %d", n, s)
		}
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.control+":7442"+wire.PathConfigRead, nil)
	is.NoErr(err)
	r, err := f.http.Do(q)
	is.NoErr(err)
	b, err := io.ReadAll(r.Body)
	is.NoErr(err)
	_ = r.Body.Close()
	is.Equal(r.StatusCode, http.StatusOK)
	is.Equal(string(b), platformConfiguration)
}
