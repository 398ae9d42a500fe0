package drive

import (
	"context"

	"siskinrun/internal/jobs/entry"
)

// start runs assigned tasks, those that may not be repeated only after their intent is recorded.
func (d *Drive) start(tasks []*task) {
	once := map[uint32][]*task{}
	for _, t := range tasks {
		if !t.item.Repeatable {
			once[t.group] = append(once[t.group], t)
			continue
		}
		d.launch(t)
	}
	for g, s := range once {
		d.runs.Go("intend", func(ctx context.Context) error {
			d.intend(ctx, g, s)
			return nil
		})
	}
}

// intend records the intents of tasks and runs those that the ledger grants.
func (d *Drive) intend(ctx context.Context, g uint32, tasks []*task) {
	i := &entry.Intend{Holder: d.session(g)}
	for _, t := range tasks {
		i.Fences = append(i.Fences, t.item.Fence)
	}
	a, err := d.Ledgers.Command(ctx, g, &entry.Command{Kind: &entry.Command_Intend{Intend: i}})
	if err != nil {
		d.Log.Warn().Err(err).Uint32("group", g).Msg("intents not recorded, items given back")
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
		d.finish(t, yielded(t.item.Fence))
	}
}

// launch runs a task unless it was stopped in the meantime or its lease is about to end.
func (d *Drive) launch(t *task) {
	ctx, cancel := context.WithCancel(d.runs.Context())
	d.mu.Lock()
	late := !d.Timer.Now().Before(d.plan.sides[t.group].until)
	if t.stopping || late || d.plan.draining {
		d.plan.end(t, yielded(t.item.Fence))
		d.mu.Unlock()
		cancel()
		return
	}
	t.stop = cancel
	n := t.place.name
	d.mu.Unlock()
	d.runs.Go("item", func(context.Context) error {
		defer cancel()
		a, err := d.Runner.Run(ctx, n, t.item)
		d.finish(t, judge(t.item.Fence, a, err, ctx.Err() != nil))
		return nil
	})
}

// finish frees the slot of a task and gives the slot to the next one.
func (d *Drive) finish(t *task, o *entry.Outcome) {
	d.mu.Lock()
	d.plan.finish(d.Timer.Now(), t, o)
	d.mu.Unlock()
	signal(d.wake[t.group])
	signal(d.nudge)
}

// handOver gives back all that this host still holds.
func (d *Drive) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	d.mu.Lock()
	for _, s := range d.plan.sides {
		for _, t := range s.tasks {
			d.plan.end(t, yielded(t.item.Fence))
		}
	}
	d.mu.Unlock()
	for g := range d.plan.sides {
		for d.report(ctx, g) && ctx.Err() == nil {
		}
	}
	for n := range d.claims {
		d.unclaim(ctx, n)
	}
}
