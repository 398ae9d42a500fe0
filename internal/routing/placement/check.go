package placement

import (
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/routing/order"
)

// Check returns an error if orders that were just planned break a rule.
func (p *Placement) Check(l []order.Order, now time.Time) error {
	if n := p.loads(); n > p.Loads {
		return errors.Newf("placement: %d loads at a time, the bound is %d", n, p.Loads)
	}
	for _, o := range l {
		if err := p.checkOrder(o, now); err != nil {
			return err
		}
	}
	return nil
}

func (p *Placement) checkOrder(o order.Order, now time.Time) error {
	e, ok := p.engines[o.Engine]
	if !ok || e.upstream.Leaving {
		return errors.Newf("placement: %s of %s on %s, which is gone or leaving", o.Kind, o.Model, o.Engine)
	}
	switch o.Kind {
	case order.Load:
		if now.Before(p.clear.Add(p.LoadTime)) {
			return errors.Newf("placement: load on %s before the former planner's loads have ended", o.Engine)
		}
		if e.room(p.Models) < 0 {
			return errors.Newf("placement: %s has no room for %s", o.Engine, o.Model)
		}
	case order.Unload:
		return p.checkUnload(o, now)
	}
	return nil
}

// checkUnload makes sure that what routes use stays on enough engines.
func (p *Placement) checkUnload(o order.Order, now time.Time) error {
	for _, m := range p.routes {
		used := o.Model == m.want.At(m.serving)
		if used && p.holders(o.Model) < m.need {
			return errors.Newf("placement: unload of %s leaves %d of %d engines", o.Model, p.holders(o.Model), m.need)
		}
		left := m.former != "" && o.Model == m.want.At(m.former) && o.Model != m.want.At(m.want.Version)
		if left && now.Sub(m.moved) < p.Linger {
			return errors.Newf("placement: unload of %s while requests may still ask for it", o.Model)
		}
	}
	return nil
}
