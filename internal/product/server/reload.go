package server

import (
	"context"
	"slices"
	"time"
)

// reloadInterval is how often the settings are read again without a hangup signal.
const reloadInterval = 2 * time.Second

// reload applies changed settings to the running host until ctx ends.
//
// Only changed seeds are applied; every other setting keeps its value from the start. No connection is closed.
func (p *components) reload(ctx context.Context) error {
	s := p.server
	if s.Reload == nil {
		return nil
	}
	for {
		due := make(chan struct{})
		stop := s.timer.After(reloadInterval, func(time.Time) { close(due) })
		select {
		case <-ctx.Done():
			stop()
			return nil
		case <-s.Hangups:
			stop()
			s.Log.Info().Msg("hangup signal: reading the settings again")
		case <-due:
		}
		p.applyReload()
	}
}

func (p *components) applyReload() {
	s := p.server
	n, err := s.Reload()
	if err != nil {
		s.Log.Error().Err(err).Msg("changed settings cannot be used, the former ones stay")
		return
	}
	l := n.ControlHosts()
	if !n.UsesSeeds() || slices.Equal(l, p.seedHosts()) {
		return
	}
	p.seeds.Store(&l)
	p.gossip.AddHosts(l)
	s.Log.Info().Strs("seeds", l).Msg("settings reloaded")
}

// seedHosts returns the names of the control hosts among the seeds.
func (p *components) seedHosts() []string {
	if l := p.seeds.Load(); l != nil {
		return *l
	}
	return p.server.Settings.ControlHosts()
}
