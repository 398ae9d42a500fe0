package register

import (
	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/config/problem"
	"siskinrun/internal/data/configuration"
)

// Check returns an error if the state breaks what must always hold.
func (r *Register) Check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return check(r.View(), &r.memory, &r.history)
}

func check(c *configuration.Configuration, m *memory, h *history) error {
	if p := problem.Find(c); len(p) > 0 {
		return errors.Newf("version %d: %s %s", c.Version, p[0].Field, p[0].Message)
	}
	if err := h.check(c.Version); err != nil {
		return err
	}
	return m.check(c.Version)
}

// check compares the kept versions with the one in force.
func (h *history) check(now uint64) error {
	v := now
	for i := len(h.events) - 1; i >= 0; i-- {
		e := h.events[i]
		if e.Revision.Version != v || e.Back.From != v || e.Back.To != v-1 {
			return errors.Newf("history has version %d where %d belongs", e.Revision.Version, v)
		}
		v--
	}
	return nil
}

// check makes sure that no two changes made one version and that none made a later one.
func (m *memory) check(now uint64) error {
	if len(m.order) != len(m.outcomes) || len(m.worn) != len(m.marks) {
		return errors.New("a change is remembered twice")
	}
	made := map[uint64]string{}
	for id, p := range m.outcomes {
		o, err := changeoutcome.Decode(p.Outcome)
		if err != nil {
			return err
		}
		if o.Status != changeoutcome.Applied {
			continue
		}
		if other, ok := made[o.Version]; ok {
			return errors.Newf("changes %s and %s both made version %d", id, other, o.Version)
		}
		if o.Version > now {
			return errors.Newf("change %s made version %d after %d", id, o.Version, now)
		}
		made[o.Version] = id
	}
	return nil
}
