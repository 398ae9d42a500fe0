package serve

import (
	"context"
	"slices"
	"time"
)

// reloadInterval is how often the settings are read again without being told.
const reloadInterval = 2 * time.Second

// reload takes over what a running host can of changed settings, until ctx ends.
//
// These are the seeds; the rest stays as it was at the start, and no connection ends.
func (p *parts) reload(ctx context.Context) error {
	s := p.serveHost
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
			s.Log.Info().Msg("told to read the settings again")
		case <-due:
		}
		p.reread()
	}
}

func (p *parts) reread() {
	s := p.serveHost
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
	p.roster.AddHosts(l)
	s.Log.Info().Strs("seeds", l).Msg("settings reloaded")
}

// seedHosts returns the names of the control hosts among the seeds.
func (p *parts) seedHosts() []string {
	if l := p.seeds.Load(); l != nil {
		return *l
	}
	return p.serveHost.Settings.ControlHosts()
}
