package server

import (
	"time"

	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/gossipmessage"
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
	h := olderControlHost(p.gossip.Hosts(), f)
	if h == "" {
		return nil
	}
	p.server.Log.Warn().Str("peer", h).Msg("control host of an older build, change refused")
	return featureUnknown.WithJitter()
}

// olderControlHost returns the name of a live control host that lacks a feature, or "" if there is none.
func olderControlHost(l []gossipmessage.Host, f feature.Set) string {
	for _, h := range l {
		if h.Control && !h.Dead && !h.Features.Has(f) {
			return h.Name
		}
	}
	return ""
}
