package roster

import (
	"context"
	"time"

	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
)

const (
	// witnesses is the number of other hosts that must know of a leave before it is acknowledged.
	witnesses = 2
	// leaveTimeout bounds the wait for them.
	leaveTimeout = 700 * time.Millisecond
)

// unconfirmed says that the leave may be known to some: this host keeps and spreads it all the same.
var unconfirmed = refusal.NewMayHaveRun(503, "leave-unconfirmed", "too few hosts know of the leave yet").WithRetryAfter(leaveTimeout)

// Depart takes the announcement that an upstream leaves and returns once enough hosts know of it.
func (r *Roster) Depart(ctx context.Context, u upstream.Upstream) error {
	u.Leaving = true
	r.Announce(u)
	return r.witness(ctx, u.Name)
}

// End ends an incarnation of an upstream, the known one if it is zero, and returns once enough hosts know of it.
func (r *Roster) End(ctx context.Context, name string, incarnation uint64) error {
	r.once.Do(r.init)
	if incarnation == 0 {
		r.mu.Lock()
		incarnation = r.membership.Incarnation(name)
		r.mu.Unlock()
	}
	r.Leave(name, incarnation)
	return r.witness(ctx, name)
}

// witness tells peers of an upstream until enough of them have confirmed.
func (r *Roster) witness(ctx context.Context, name string) error {
	r.mu.Lock()
	g := r.group
	n, ok := r.membership.News(r.Timer.Now(), name)
	l := r.membership.Witnesses()
	alone := len(r.membership.Hosts()) == 1
	doubtful := r.membership.Doubtful()
	r.mu.Unlock()
	if g == nil {
		return refusal.NewNotRun(503, "starting", "this host is starting").WithRetryAfter(leaveTimeout)
	}
	if ok && alone {
		return nil
	}
	// A host that is cut off, alone or with few others, cannot let callers elsewhere know.
	if !ok || doubtful || len(l) == 0 {
		return unconfirmed
	}
	b, err := encode(n)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	told := make(chan bool, len(l))
	for _, p := range l {
		g.Go("witness", func(context.Context) error {
			_, err := r.call(ctx, p, methodTell, b)
			told <- err == nil
			return nil
		})
	}
	need := min(witnesses, len(l))
	for range l {
		if <-told {
			need--
		}
		if need == 0 {
			return nil
		}
	}
	return unconfirmed
}
