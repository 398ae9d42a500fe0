package pipeline

import (
	"context"
	"slices"

	"siskinrun/internal/data/call"
	"siskinrun/internal/data/demand"
	"siskinrun/pkg/refusal"
)

var (
	errUnknownStream = refusal.NewNotRun(503, "unknown-stream", "no reachable host knows which version began the stream that the call resumes")
	errServiceMoved  = refusal.NewNotRun(503, "stream-service-gone", "the route no longer leads to the service that began the stream")
	errVersionGone   = refusal.NewNotRun(503, "stream-version-gone", "no upstream has the version that began the stream")
)

// bindStream binds a call that resumes a stream to the service and version that began it, or refuses the call at once.
func (p *Pipeline) bindStream(ctx context.Context, c *call.Call) error {
	if c.Offset == 0 {
		c.Resumes = ""
		return nil
	}
	s, ok := p.Streams.Find(ctx, c.Resumes)
	if !ok {
		return errUnknownStream
	}
	if !slices.Contains(c.RouteConfig.Services(), s.Service) {
		return errServiceMoved
	}
	if !p.Upstreams.Serves(demand.Demand{Service: s.Service, Version: s.Version, Model: c.Model}) {
		return errVersionGone
	}
	c.RouteConfig.Service = s.Service
	c.Start = s
	return nil
}
