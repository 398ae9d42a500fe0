package server

import (
	"time"

	"siskinrun/internal/data/feature"
	"siskinrun/pkg/refusal"
)

// featureRetryAfter is the time in which hosts that have just been replaced tell the others what they know.
const featureRetryAfter = time.Second

// featureUnknown refuses a change that a control host would not understand and so not apply, unlike the others.
var featureUnknown = refusal.NewNotRun(503, "older-hosts", "a control host of an older build doesn't know this change").
	WithRetryAfter(featureRetryAfter)

// requireFeature refuses unless all live control hosts know a feature of the replicated configuration. Nothing that uses the
// feature is proposed before.
func (p *components) requireFeature(f feature.Set) error {
	for _, h := range p.gossip.Hosts() {
		if h.Control && !h.Dead && !h.Features.Has(f) {
			p.server.Log.Warn().Str("peer", h.Name).Msg("control host of an older build, change refused")
			return featureUnknown.WithJitter()
		}
	}
	return nil
}
