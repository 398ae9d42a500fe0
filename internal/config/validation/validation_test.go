package validation_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/config/delta"
	"siskinrun/internal/config/validation"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
)

// randomConfiguration returns a small configuration that is sometimes invalid.
func randomConfiguration(r *rand.Rand) *configuration.Configuration {
	c := &configuration.Configuration{
		Teams: map[string]team.Team{}, Keys: map[string]key.Key{},
		Routes: map[string]route.Route{}, Models: map[string]model.Model{},
	}
	n := func(limit int) string { return fmt.Sprint("n", r.IntN(limit)) }
	for range r.IntN(4) {
		c.Teams[n(4)] = team.Team{Rate: int64(r.IntN(12)), Burst: 1, Weight: 1}
	}
	for range r.IntN(3) {
		c.Models[n(3)] = model.Model{Versions: []string{n(2)}, ContextTokens: 1}
	}
	for range r.IntN(3) {
		c.Routes[n(3)] = route.Route{Model: n(3), Version: n(2), Service: "s", Price: 1, Timeout: duration.Duration(1)}
	}
	for range r.IntN(3) {
		i := n(4)
		c.Keys[i] = key.Key{ID: i, Team: n(4), Hash: key.Hash(n(6))}
	}
	return c
}

// Guards against a change that ValidateDelta accepts although the whole configuration becomes invalid.
func TestValidateDeltaAgreesWithValidate(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	now, accepted := &configuration.Configuration{}, 0
	for range 100_000 {
		next := randomConfiguration(r)
		whole := validation.Validate(next)
		if len(validation.Validate(now)) > 0 {
			t.Fatal("the current configuration is invalid")
		}
		if part := validation.ValidateDelta(next, delta.Between(now, next)); (len(part) == 0) != (len(whole) == 0) {
			t.Fatalf("ValidateDelta found %v, Validate %v in %+v", part, whole, next)
		} else if len(part) == 0 {
			now = next
			accepted++
		}
	}
	if accepted < 1000 {
		t.Fatalf("only %d configurations were valid", accepted)
	}
}

// Guards against replicas that store different outcomes because map order decides how problems are listed.
func TestSharedSecretsAreReportedInOrder(t *testing.T) {
	c := &configuration.Configuration{Teams: map[string]team.Team{"t": {Rate: 1, Burst: 1, Weight: 1}}, Keys: map[string]key.Key{}}
	for i := range 5 {
		n := fmt.Sprint("k", i)
		c.Keys[n] = key.Key{ID: n, Team: "t", Hash: key.Hash("same")}
	}
	first := validation.Validate(c)
	for range 100 {
		if p := validation.Validate(c); !reflect.DeepEqual(p, first) {
			t.Fatalf("problems differ between runs: %v and %v", first, p)
		}
	}
}
