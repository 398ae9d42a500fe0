package distribution

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/configcache"
)

// confirm asks a quorum at intervals to confirm this host's replica.
func (s *Service) confirm(ctx context.Context) error {
	for {
		if err := s.confirmOnce(ctx); err != nil {
			s.Log.Debug().Err(err).Msg("configuration not confirmed")
			s.applyLocal(s.Store.View())
		}
		if err := s.Timer.Sleep(ctx, confirmInterval); err != nil {
			return err
		}
	}
}

func (s *Service) confirmOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	t, err := s.Client.Confirm(ctx, configurationGroup)
	if err != nil {
		return errors.Wrap(err, "confirm configuration with a quorum")
	}
	c := s.Store.View()
	s.confirmed.Store(int64(s.Timer.Now().Sub(s.start)))
	return s.update(func(now time.Time, v *configcache.Cache) error { return v.Confirm(now, t, c) })
}

// hasReplica reports whether a quorum has lately confirmed a replica of this host, which then needs no pulls from peers.
func (s *Service) hasReplica() bool {
	at := s.confirmed.Load()
	return at > 0 && s.Timer.Now().Sub(s.start)-time.Duration(at) < s.Lease/staleDivisor
}

// hasStore reports whether this host has a replica and can confirm its freshness with a quorum.
func (s *Service) hasStore() bool {
	return s.Store != nil
}
