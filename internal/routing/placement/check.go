package placement

import (
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/routing/order"
)

// Check returns an error if newly planned orders break a rule.
func (p *Scheduler) Check(l []order.Order, now time.Time) error {
	if n := p.loadsInProgress(); n > p.MaxLoads {
		return errors.Newf("placement: %d loads at a time exceed the bound of %d", n, p.MaxLoads)
	}
	for _, o := range l {
		if err := p.checkOrder(o, now); err != nil {
			return err
		}
	}
	return nil
}

func (p *Scheduler) checkOrder(o order.Order, now time.Time) error {
	e, ok := p.engines[o.Engine]
	if !ok || e.upstream.Leaving {
		return errors.Newf("placement: order %s of model %q for engine %q, which is gone or leaving", o.Kind, o.Model, o.Engine)
	}
	switch o.Kind {
	case order.Load:
		if now.Before(p.formerLastLoad.Add(p.LoadTimeout)) {
			return errors.Newf("placement: load on engine %q while loads of the former planner may still run", o.Engine)
		}
		if e.freeModels(p.ModelsPerEngine) < 0 {
			return errors.Newf("placement: engine %q has no room for model %q", o.Engine, o.Model)
		}
	case order.Unload:
		return p.checkUnload(o, now)
	}
	return nil
}

// checkUnload checks that a model in use stays on enough engines and that a previous version stays for RetireDelay.
func (p *Scheduler) checkUnload(o order.Order, now time.Time) error {
	for _, m := range p.routes {
		used := o.Model == m.spec.VersionedName(m.serving)
		if used && p.holders(o.Model) < m.replicas {
			return errors.Newf("placement: unload of model %q leaves %d engines, %d are needed", o.Model, p.holders(o.Model), m.replicas)
		}
		retiring := m.previous != "" && o.Model == m.spec.VersionedName(m.previous) && o.Model != m.spec.VersionedName(m.spec.Version)
		if retiring && now.Sub(m.moved) < p.RetireDelay {
			return errors.Newf("placement: unload of model %q while requests may still ask for it", o.Model)
		}
	}
	return nil
}
