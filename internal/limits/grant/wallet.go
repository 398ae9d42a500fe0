package grant

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/limits/allowance"
	"siskinrun/internal/limits/ask"
	"siskinrun/internal/limits/audit"
	"siskinrun/internal/limits/award"
	"siskinrun/internal/limits/rate"
	"siskinrun/pkg/refusal"
)

// wallet is the allowance of one team on this host with the requests that wait for it.
type wallet struct {
	team  string
	group uint64

	mu        sync.Mutex
	allowance allowance.Allowance
	waiters   []*waiter
	need      int64
	failing   bool
	dropped   bool
	audit     audit.Audit
	rate      int64
	burst     int64
	broken    error
}

// waiter is one request that waits for units.
type waiter struct {
	cost int64
	over bool
	done chan error
}

func newWallet(a allowance.Allowance, group uint64) *wallet {
	return &wallet{team: a.Team, group: group, allowance: a, audit: newAudit()}
}

// spend takes the cost at once unless others wait before it.
func (w *wallet) spend(t clock, cost int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := t.Now()
	if w.dropped || len(w.waiters) > 0 || !w.take(n, cost) {
		return false
	}
	w.allowance.Want(n, cost)
	return true
}

// take spends the cost and checks that this host alone keeps to the team's bound.
func (w *wallet) take(now time.Time, cost int64) bool {
	if !w.allowance.Spend(now, cost) {
		return false
	}
	if err := w.audit.Admit(now, cost); err != nil {
		w.broken = err
	}
	return true
}

// limit audits by other limits; raised ones may have been in force at the owner for a while.
func (w *wallet) limit(now time.Time, rate, burst int64) {
	if rate > w.rate || burst > w.burst {
		w.audit = newAudit()
		w.audit.Limit(now, max(rate, w.rate), max(burst, w.burst), 0)
	}
	w.rate = rate
	w.burst = burst
	w.audit.Limit(now, rate, burst, auditGrace)
}

func newAudit() audit.Audit {
	return audit.Audit{Tolerance: 3 * rate.Drift}
}

// check returns the first broken bound since the last call.
func (w *wallet) check() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.broken
	w.broken = nil
	return err
}

// enter queues a request, or refuses it if waiting cannot help.
func (w *wallet) enter(now time.Time, cost int64, wait time.Duration) (*waiter, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dropped {
		return nil, errDropped
	}
	w.allowance.Want(now, cost)
	if b := w.allowance.Burst(); b > 0 && cost > b {
		return nil, refusal.NewNotRun(429, "cost-exceeds-burst", "the request costs more than the team's burst")
	}
	d, _ := w.allowance.Empty(now)
	if d > wait || len(w.waiters) >= maxWaiters {
		return nil, w.refusal(now)
	}
	p := &waiter{cost: cost, done: make(chan error, 1)}
	w.waiters = append(w.waiters, p)
	w.need += cost
	w.release(now)
	return p, nil
}

// expire refuses a request that waited long enough.
func (w *wallet) expire(now time.Time, p *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.over {
		return
	}
	for i, o := range w.waiters {
		if o == p {
			w.waiters = append(w.waiters[:i], w.waiters[i+1:]...)
			break
		}
	}
	w.finish(p, w.refusal(now))
	w.release(now)
}

// ask returns the message that is due for the owner.
func (w *wallet) ask(now time.Time) (ask.Ask, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var least int64
	if len(w.waiters) > 0 {
		least = w.waiters[0].cost
	}
	return w.allowance.Ask(now, w.need, least)
}

// award adds a grant and lets waiting requests go on.
func (w *wallet) award(now time.Time, a award.Award) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = false
	w.allowance.Award(now, a)
	if a.Burst > 0 {
		w.limit(now, a.Rate, a.Burst)
	}
	w.release(now)
}

// fence refuses awards of earlier terms and returns what may still be spent of them.
func (w *wallet) fence(now time.Time, term uint64) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allowance.Fence(now, term)
}

// drain hands everything back with the next ask.
func (w *wallet) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allowance.Drain()
}

// lost notes that the owner did not answer, if it did not.
func (w *wallet) lost(sequence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.allowance.Lost(sequence) {
		w.failing = true
	}
}

// idle reports whether the wallet can be forgotten.
func (w *wallet) idle(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiters) == 0 && w.allowance.Idle(now)
}

// drop marks an idle wallet as forgotten and returns the sequence of its last ask.
func (w *wallet) drop(now time.Time) (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped = len(w.waiters) == 0 && w.allowance.Idle(now)
	return w.allowance.Sequence, w.dropped
}

func (w *wallet) release(now time.Time) {
	for len(w.waiters) > 0 {
		p := w.waiters[0]
		if !w.take(now, p.cost) {
			return
		}
		w.waiters = w.waiters[1:]
		w.finish(p, nil)
	}
}

func (w *wallet) finish(p *waiter, err error) {
	p.over = true
	w.need -= p.cost
	p.done <- err
}

func (w *wallet) refusal(now time.Time) error {
	d, settling := w.allowance.Empty(now)
	if w.failing || settling {
		return errUnreachable.WithRetryAfter(max(d, unreachablePause)).WithSpread()
	}
	return errExceeded.WithRetryAfter(max(d, exceededPause))
}

// clock tells the time.
type clock interface {
	Now() time.Time
}

const (
	// auditGrace is how long grants under former limits may still be spent.
	auditGrace       = 3 * Life
	unreachablePause = time.Second
	exceededPause    = 10 * time.Millisecond
)

var (
	errUnreachable = refusal.NewNotRun(503, "rate-owner-unreachable", "the owner of the team's rate cannot be reached")
	errDropped     = errors.New("grant: the wallet is forgotten")
	errExceeded    = refusal.NewNotRun(429, "rate-exceeded", "the team has spent its rate and burst")
)
