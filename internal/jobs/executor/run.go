package executor

import (
	"context"
	"time"

	"siskinrun/internal/jobs/entry"
)

// startTasks runs assigned tasks. Those that may not be repeated run only after their intent is recorded.
func (d *Executor) startTasks(tasks []*task) {
	nonRepeatable := map[uint32][]*task{}
	for _, t := range tasks {
		if !t.item.Repeatable {
			nonRepeatable[t.group] = append(nonRepeatable[t.group], t)
			continue
		}
		d.launch(t)
	}
	for g, s := range nonRepeatable {
		d.runs.Go("intend", func(ctx context.Context) error {
			d.recordIntents(ctx, g, s)
			return nil
		})
	}
}

// recordIntents records the intent to run each task and launches those that the ledger grants.
func (d *Executor) recordIntents(ctx context.Context, g uint32, tasks []*task) {
	i := &entry.Intend{Holder: d.session(g)}
	for _, t := range tasks {
		i.Fences = append(i.Fences, t.item.Fence)
	}
	a, err := d.Ledgers.Command(ctx, g, &entry.Command{Kind: &entry.Command_Intend{Intend: i}})
	if err != nil {
		d.Log.Warn().Err(err).Uint32("group", g).Msg("intents not recorded, items returned")
	}
	granted := map[uint64]bool{}
	for _, f := range a.GetGranted() {
		granted[f] = true
	}
	for _, t := range tasks {
		if granted[t.item.Fence] {
			d.launch(t)
			continue
		}
		d.finishTask(t, unsentOutcome(t.item.Fence))
	}
}

// launch runs a task unless it was stopped, its session has expired on this host, or the host drains.
func (d *Executor) launch(t *task) {
	ctx, cancel := context.WithCancel(d.runs.Context())
	d.mu.Lock()
	late := !d.Timer.Now().Before(d.scheduler.groups[t.group].sessionExpires)
	if t.stopping || late || d.scheduler.draining {
		d.scheduler.endTask(t, unsentOutcome(t.item.Fence))
		d.mu.Unlock()
		cancel()
		return
	}
	t.stop = cancel
	n := t.upstream.name
	d.mu.Unlock()
	began := d.Timer.Now()
	d.runs.Go("item", func(context.Context) error {
		defer cancel()
		a, err := d.Runner.Run(ctx, n, t.item)
		o := outcomeOf(t.item.Fence, a, err, ctx.Err() != nil)
		if o.Kind == entry.Outcome_COMPLETE && t.item.NextEvent == 0 {
			d.observeRunTime(d.Timer.Now().Sub(began))
		}
		d.finishTask(t, o)
		return nil
	})
}

// observeRunTime adds the length of a run to the average. Of two at once one may be left out.
func (d *Executor) observeRunTime(took time.Duration) {
	old := d.runTime.Load()
	n := int64(took)
	if old > 0 {
		n = old + int64(float64(n-old)*expectedWeight)
	}
	d.runTime.CompareAndSwap(old, max(n, 1))
}

// finishTask ends a run and wakes the loops that report its outcome and assign its slot.
func (d *Executor) finishTask(t *task, o *entry.Outcome) {
	d.mu.Lock()
	d.scheduler.finishRun(d.Timer.Now(), t, o)
	d.mu.Unlock()
	signal(d.exchangeWake[t.group])
	signal(d.reconcileWake)
}

// returnLeases ends all tasks, reports the outcomes that are left and releases all claims.
func (d *Executor) returnLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	d.mu.Lock()
	for _, s := range d.scheduler.groups {
		for _, t := range s.tasks {
			d.scheduler.endTask(t, unsentOutcome(t.item.Fence))
		}
	}
	d.mu.Unlock()
	for g := range d.scheduler.groups {
		for d.reportOutcomes(ctx, g) && ctx.Err() == nil {
		}
	}
	for n := range d.claims {
		d.releaseClaim(ctx, n)
	}
}
