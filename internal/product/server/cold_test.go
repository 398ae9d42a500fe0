package server

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/config/change"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/service"
)

// TestRatesOfColdUpstreamsAreRemoved guards against a configuration that a control host of an older build takes for invalid
// while the others apply it.
func TestRatesOfColdUpstreamsAreRemoved(t *testing.T) {
	is := is.New(t)
	newChange := func(s service.Service) *change.Change {
		return &change.Change{ID: "c", By: "o", Kind: change.Install, Edition: 1, Whole: &configuration.Configuration{
			Services: map[string]service.Service{"s": s},
		}}
	}
	plain, cold := service.Service{Engine: true}, service.Service{Engine: true, ColdRate: 6.2}
	cold.ColdTime = duration.Duration(3 * time.Second)
	is.True(!removeColdRates(newChange(plain), false))
	c := newChange(cold)
	is.True(removeColdRates(c, false))
	is.Equal(c.Whole.Services["s"], cold)
	is.True(removeColdRates(c, true))
	got, err := c.Encode()
	is.NoErr(err)
	want, err := newChange(plain).Encode()
	is.NoErr(err)
	is.True(bytes.Equal(got, want))
}
