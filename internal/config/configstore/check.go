package configstore

import (
	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/config/validation"
	"siskinrun/internal/data/configuration"
)

// Check returns an error if the state violates an invariant.
func (s *Store) Check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return check(s.View(), &s.dedup, &s.history)
}

func check(c *configuration.Configuration, m *dedupTable, h *history) error {
	if p := validation.Validate(c); len(p) > 0 {
		return errors.Newf("version %d: %s %s", c.Version, p[0].Field, p[0].Message)
	}
	if err := h.check(c.Version); err != nil {
		return err
	}
	return m.check(c.Version)
}

// check makes sure that the kept versions are consecutive and end with the one in force.
func (h *history) check(now uint64) error {
	v := now
	for i := len(h.events) - 1; i >= 0; i-- {
		e := h.events[i]
		if e.Revision.Version != v || e.Inverse.From != v || e.Inverse.To != v-1 {
			return errors.Newf("history has version %d where version %d is expected", e.Revision.Version, v)
		}
		v--
	}
	return nil
}

// check makes sure that no two changes made the same version and that no change made a version later than now.
func (t *dedupTable) check(now uint64) error {
	if len(t.order) != len(t.outcomes) || len(t.hashOrder) != len(t.idHashes) {
		return errors.New("a change ID is recorded twice")
	}
	madeBy := map[uint64]string{}
	for id, p := range t.outcomes {
		o, err := changeoutcome.Decode(p.Outcome)
		if err != nil {
			return err
		}
		if o.Status != changeoutcome.Applied {
			continue
		}
		if other, ok := madeBy[o.Version]; ok {
			return errors.Newf("changes %s and %s both made version %d", id, other, o.Version)
		}
		if o.Version > now {
			return errors.Newf("change %s made version %d, but version %d is in force", id, o.Version, now)
		}
		madeBy[o.Version] = id
	}
	return nil
}
