package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"siskinrun/internal/config/change"
	"siskinrun/internal/data/key"
)

// activeKeys returns the sorted keys that were not withdrawn.
func (s *soak) activeKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []string
	for k, at := range s.withdrawnAt {
		if at.IsZero() {
			l = append(l, k)
		}
	}
	slices.Sort(l)
	return l
}

// changeKeys grants and withdraws keys and repeats each change until it is acknowledged.
func (s *soak) changeKeys(ctx context.Context) error {
	version := uint64(2)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprint("soak-", n)
		secret := key.NewSecret()
		grant := &change.Change{ID: "g-" + id, Base: version, Kind: change.GrantKey, Name: id, Key: &key.Key{ID: id, Team: "t", Hash: key.Hash(secret)}}
		if !s.applyChange(ctx, grant, &version) {
			return nil
		}
		s.mu.Lock()
		s.withdrawnAt[secret] = time.Time{}
		s.mu.Unlock()
		if n%2 == 1 || !sleep(ctx, time.Second) {
			continue
		}
		if !s.applyChange(ctx, &change.Change{ID: "w-" + id, Base: version, Kind: change.WithdrawKey, Name: id}, &version) {
			// Whether the key was withdrawn is unknown, so no call with it is checked from here on.
			s.mu.Lock()
			delete(s.withdrawnAt, secret)
			s.mu.Unlock()
			return nil
		}
		s.mu.Lock()
		s.withdrawnAt[secret] = time.Now()
		s.mu.Unlock()
	}
	return nil
}

// applyChange sends a change until it is acknowledged and reports whether it was applied.
func (s *soak) applyChange(ctx context.Context, h *change.Change, version *uint64) bool {
	for ctx.Err() == nil {
		c := s.client()
		c.Timeout = soakTimeout
		o, err := c.SendChange(ctx, h)
		if err == nil && o.Version == *version+1 {
			*version++
			return true
		}
		if err == nil {
			s.fail("change %s on version %d made version %d: %s", h.ID, *version, o.Version, o.Message)
			return false
		}
		if !sleep(ctx, pollInterval) {
			return false
		}
	}
	return false
}
