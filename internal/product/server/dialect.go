package server

import (
	"context"
	"encoding/json"
	"net"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/wire/callerdeps"
	"siskinrun/internal/wire/controldeps"
	"siskinrun/internal/wire/ingress"
	"siskinrun/pkg/refusal"
)

// configurationGroup is the replica group that holds the configuration.
const configurationGroup = 0

// noCancel is the canceller of dialects whose upstreams abort a request when its connection closes.
type noCancel struct{}

// Cancel does nothing, since closing the connection has cancelled the request.
func (noCancel) Cancel(upstream.Upstream, string) {}

// openListeners opens the listeners of a dialect, for those addresses that the host has.
func (p *components) openListeners() error {
	for _, a := range []struct {
		address string
		to      *net.Listener
	}{
		{p.host.Callers, &p.callerListener},
		{p.host.Readiness, &p.readinessListener},
		{p.host.Control, &p.controlListener},
	} {
		if a.address == "" {
			continue
		}
		l, err := p.server.listen(a.address)
		if err != nil {
			return err
		}
		*a.to = l
	}
	return nil
}

// serveCallers serves callers in the dialect's wire format until ctx ends.
func (p *components) serveCallers(ctx context.Context) error {
	if p.callerListener == nil {
		<-ctx.Done()
		return nil
	}
	s := p.server
	m := s.Settings.Limits
	drain, timeout := s.Settings.Fleet.Stop()
	return s.Dialect.Callers(ctx, callerdeps.Dependencies{
		Ingress: &ingress.Server{
			Listener:       p.callerListener,
			Timer:          s.timer,
			Log:            s.Log,
			MaxHeaderBytes: m.HeaderBytes,
			ReadTimeout:    m.ReadTimeout.Duration(),
			Concurrency:    m.Concurrency,
			Guard:          s.clients,
			MaxHeaderLines: m.HeaderLines,
			Drain:          drain,
			StopTimeout:    timeout,
		},
		Readiness:    s.guarded(p.readinessListener),
		Pipeline:     p.pipeline,
		Identifier:   p.authenticator,
		Jobs:         p.batch,
		Ready:        p.ready,
		Timer:        s.timer,
		MaxBodyBytes: int64(m.BodyBytes),
	})
}

// serveControl serves upstreams and operators in the dialect's wire format until ctx ends.
func (p *components) serveControl(ctx context.Context) error {
	if p.controlListener == nil {
		<-ctx.Done()
		return nil
	}
	return p.server.Dialect.Control(ctx, controldeps.Dependencies{
		Listener: p.server.clients.StreamListener(p.controlListener),
		Announce: p.handleAnnouncement,
		Leave:    p.gossip.EndIncarnation,
		Install:  p.installConfiguration,
		Document: p.document,
		Retire:   p.retire,
		Retired:  p.retired,
		Evacuate: p.evacuate,
		Log:      p.server.Log,
	})
}

func (p *components) handleAnnouncement(ctx context.Context, u upstream.Upstream) error {
	if u.Leaving {
		return p.gossip.AnnounceLeave(ctx, u)
	}
	p.gossip.Announce(u)
	return nil
}

// installConfiguration proposes a whole configuration and returns the outcome of the change.
func (p *components) installConfiguration(ctx context.Context, c *change.Change) (*changeoutcome.Outcome, error) {
	c.At = p.server.timer.Now()
	if err := p.keepColdRates(ctx, c); err != nil {
		return nil, err
	}
	b, err := c.Encode()
	if err != nil {
		return nil, refusal.NewNotRun(400, "bad-change", err.Error())
	}
	r, err := p.client.Propose(ctx, configurationGroup, b)
	if err != nil {
		return nil, err
	}
	o, err := changeoutcome.Decode(r)
	if err != nil {
		return nil, errors.Wrap(err, "decode the outcome of a configuration change")
	}
	p.server.Log.Info().Uint64("edition", c.Edition).Uint64("version", o.Version).Str("status", o.Status).
		Str("reason", o.Message).Msg("configuration decided")
	return o, nil
}

// document returns the newest configuration as the operator wrote it, after a quorum has confirmed that it is the newest.
func (p *components) document(ctx context.Context) ([]byte, error) {
	if p.store == nil {
		return nil, notControlHost
	}
	if _, err := p.client.Confirm(ctx, configurationGroup); err != nil {
		return nil, err
	}
	_, b := p.store.Document()
	if len(b) == 0 {
		return nil, refusal.NewNotRun(404, "no-configuration", "no configuration was installed yet")
	}
	if !json.Valid(b) {
		return nil, refusal.NewNotRun(500, "damaged", "the stored configuration is damaged")
	}
	return b, nil
}
