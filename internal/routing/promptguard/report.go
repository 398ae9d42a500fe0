package promptguard

import (
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/data/call"
	"siskinrun/internal/data/crashevidence"
)

const (
	// maxSightings is the maximum number of traits of which a call is remembered for the log.
	maxSightings = 1024
	// maxLoggedPathBytes is the maximum length of a path in the log.
	maxLoggedPathBytes = 200
)

// sighting describes a call under which an upstream was lost.
type sighting struct {
	route string
	team  string
	path  string
}

// remember keeps what the log says of a call if one of its traits is quarantined.
func (g *Guard) remember(c *call.Call, traits []crashevidence.Trait) {
	if len(g.seen) >= maxSightings {
		clear(g.seen)
	}
	p, _, _ := strings.Cut(c.Path, "?")
	for _, t := range traits {
		g.seen[t] = sighting{route: c.Route, team: c.Team, path: p[:min(len(p), maxLoggedPathBytes)]}
	}
}

// publish shows the state of the quarantine to readers without the lock and to operators.
func (g *Guard) publish() {
	g.evidence.Store(g.quarantine.Size() > 0)
	l := g.quarantine.Quarantined()
	g.active.Store(len(l) > 0)
	now := map[crashevidence.Trait]bool{}
	changed := len(l) != len(g.reported)
	requests := 0
	for _, t := range l {
		now[t] = true
		if t.Request {
			requests++
		}
		if !g.reported[t] {
			changed = true
			g.logQuarantined(t)
		}
	}
	if !changed {
		return
	}
	for t := range g.reported {
		if !now[t] {
			g.Log.Info().Str("kind", kind(t)).Str("trait", hexadecimal(t)).Msg("out of quarantine")
		}
	}
	g.reported = now
	g.Log.Warn().Int("parts", len(l)-requests).Int("requests", requests).Msg("prompts in quarantine")
	metrics.GetOrRegisterGauge("quarantined", g.Metrics).Update(int64(len(l) - requests))
	metrics.GetOrRegisterGauge("quarantined-requests", g.Metrics).Update(int64(requests))
}

// logQuarantined names a trait that is kept from upstreams, and a call with it if one was lost here.
func (g *Guard) logQuarantined(t crashevidence.Trait) {
	s := g.seen[t]
	g.Log.Warn().
		Str("kind", kind(t)).
		Str("trait", hexadecimal(t)).
		Int("ends", g.quarantine.Ends(t)).
		Str("route", s.route).
		Str("team", s.team).
		Str("path", s.path).
		Msg("put in quarantine")
}

func kind(t crashevidence.Trait) string {
	if t.Request {
		return "request"
	}
	return "prompt-part"
}

func hexadecimal(t crashevidence.Trait) string {
	return strconv.FormatUint(t.Hash, 16)
}
