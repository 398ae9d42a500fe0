package serve

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

// closing is the cancel of dialects in which an upstream ends what is given up when its connection closes.
type closing struct{}

// Cancel does nothing more than the end of the connection did.
func (closing) Cancel(upstream.Upstream, string) {}

// listenAll opens the addresses that a dialect serves, if the host has them.
func (p *parts) listenAll() error {
	for _, a := range []struct {
		address string
		to      *net.Listener
	}{
		{p.host.Callers, &p.callers},
		{p.host.Readiness, &p.readiness},
		{p.host.Control, &p.orders},
	} {
		if a.address == "" {
			continue
		}
		l, err := p.serveHost.listen(a.address)
		if err != nil {
			return err
		}
		*a.to = l
	}
	return nil
}

// serveCallers serves callers in the dialect until ctx ends.
func (p *parts) serveCallers(ctx context.Context) error {
	if p.callers == nil {
		<-ctx.Done()
		return nil
	}
	s := p.serveHost
	m := s.Settings.Limits
	return s.Dialect.Callers(ctx, callerdeps.Dependencies{
		Ingress: &ingress.Server{
			Listener:       p.callers,
			Timer:          s.timer,
			Log:            s.Log,
			MaxHeaderBytes: m.HeaderBytes,
			ReadTimeout:    m.ReadTimeout.Duration(),
			Concurrency:    m.Concurrency,
			Drain:          s.Settings.Fleet.DrainTime.Duration(),
			StopTimeout:    s.Settings.Fleet.StopTimeout.Duration(),
		},
		Readiness:    p.readiness,
		Pipeline:     p.pipe,
		Identifier:   p.identify,
		Jobs:         p.batch,
		Ready:        p.ready,
		Timer:        s.timer,
		MaxBodyBytes: int64(m.BodyBytes),
	})
}

// serveControl serves upstreams and operators in the dialect until ctx ends.
func (p *parts) serveControl(ctx context.Context) error {
	if p.orders == nil {
		<-ctx.Done()
		return nil
	}
	return p.serveHost.Dialect.Control(ctx, controldeps.Dependencies{
		Listener: p.orders,
		Announce: p.announced,
		Leave:    p.roster.EndIncarnation,
		Install:  p.install,
		Document: p.document,
		Retire:   p.retire,
		Retired:  p.retired,
		Log:      p.serveHost.Log,
	})
}

func (p *parts) announced(ctx context.Context, u upstream.Upstream) error {
	if u.Leaving {
		return p.roster.AnnounceLeave(ctx, u)
	}
	p.roster.Announce(u)
	return nil
}

// install proposes a whole configuration and returns what its log decided.
func (p *parts) install(ctx context.Context, c *change.Change) (*changeoutcome.Outcome, error) {
	c.At = p.serveHost.timer.Now()
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
		return nil, errors.Wrap(err, "outcome of a configuration")
	}
	p.serveHost.Log.Info().Uint64("edition", c.Edition).Uint64("version", o.Version).Str("status", o.Status).
		Str("reason", o.Message).Msg("configuration decided")
	return o, nil
}

// document returns the newest configuration as its operator wrote it, once a quorum confirmed that it is the newest.
func (p *parts) document(ctx context.Context) ([]byte, error) {
	if p.register == nil {
		return nil, notControl
	}
	if _, err := p.client.Confirm(ctx, configurationGroup); err != nil {
		return nil, err
	}
	_, b := p.register.Document()
	if len(b) == 0 {
		return nil, refusal.NewNotRun(404, "no-configuration", "no configuration was installed yet")
	}
	if !json.Valid(b) {
		return nil, refusal.NewNotRun(500, "damaged", "the stored configuration is damaged")
	}
	return b, nil
}
