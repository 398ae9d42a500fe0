package grant

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/limits/allowance"
	"siskinrun/internal/limits/audit"
	"siskinrun/internal/limits/grantreply"
	"siskinrun/internal/limits/grantrequest"
	"siskinrun/internal/limits/rate"
	"siskinrun/pkg/refusal"
)

// teamLimiter holds the allowance of one team on this host and the requests that wait for units.
type teamLimiter struct {
	team  string
	group uint64

	mu        sync.Mutex
	allowance allowance.Allowance
	// deputy holds the grants of the deputy of this host's failure domain, and deputyBurst is the burst of a deputy.
	deputy      allowance.Allowance
	deputyBurst int64
	waiters     []*waiter
	waitingCost int64
	unreachable bool
	// replied is set once the owner has answered, so that a refusal can tell that the rate is spent.
	replied   bool
	forgotten bool
	auditor   audit.Auditor
	rate      int64
	burst     int64
	violation error
}

// waiter is one request that waits for units.
type waiter struct {
	cost     int64
	finished bool
	done     chan error
}

func newTeamLimiter(a allowance.Allowance, group uint64) *teamLimiter {
	return &teamLimiter{team: a.Team, group: group, allowance: a, deputy: a, auditor: newAuditor()}
}

// spend spends the cost and reports whether it did; it does not while other requests wait.
func (t *teamLimiter) spend(c clock, cost int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := c.Now()
	if t.forgotten || len(t.waiters) > 0 || !t.spendAudited(n, cost) {
		return false
	}
	t.recordDemand(n, cost)
	return true
}

func (t *teamLimiter) recordDemand(now time.Time, cost int64) {
	t.allowance.RecordDemand(now, cost)
	t.deputy.RecordDemand(now, cost)
}

// reports returns the number of requests to the owner so far.
func (t *teamLimiter) reports() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allowance.Reports()
}

// giveBack takes back what a call that has not run spent after the given number of requests.
func (t *teamLimiter) giveBack(now time.Time, cost int64, reports uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.auditor.Return(t.allowance.Return(now, cost, reports))
	t.admitWaiting(now)
}

// spendAudited spends the cost and checks that this host by itself stays within the team's rate and burst.
func (t *teamLimiter) spendAudited(now time.Time, cost int64) bool {
	if !t.allowance.Spend(now, cost) {
		if !t.deputy.Spend(now, cost) {
			return false
		}
		t.allowance.Forfeit() // what a deputy granted is not given back
	}
	if err := t.auditor.Admit(now, cost); err != nil {
		t.violation = err
	}
	return true
}

// setLimits changes the audited limits. Raised ones may have been in force at the owner for a while, so the audit
// starts afresh with them.
func (t *teamLimiter) setLimits(now time.Time, rate, burst int64) {
	if rate > t.rate || burst > t.burst {
		t.auditor = newAuditor()
		t.auditor.SetLimits(now, max(rate, t.rate), max(burst, t.burst), 0)
	}
	t.rate = rate
	t.burst = burst
	t.auditor.SetLimits(now, rate, burst, auditGrace)
}

func newAuditor() audit.Auditor {
	return audit.Auditor{TolerancePPM: 3 * rate.MaxDriftPPM}
}

// takeViolation returns the last violation of the limits and clears it.
func (t *teamLimiter) takeViolation() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.violation
	t.violation = nil
	return err
}

// enqueue queues a request, or refuses it if it cannot get its units in time.
func (t *teamLimiter) enqueue(now time.Time, cost int64, wait time.Duration) (*waiter, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.forgotten {
		return nil, errForgotten
	}
	t.recordDemand(now, cost)
	if err := t.judge(now, cost, wait); err != nil {
		return nil, err
	}
	p := &waiter{cost: cost, done: make(chan error, 1)}
	t.waiters = append(t.waiters, p)
	t.waitingCost += cost
	t.admitWaiting(now)
	return p, nil
}

// judge returns the refusal of a request that cannot get its units in time, nil for one that may wait.
func (t *teamLimiter) judge(now time.Time, cost int64, wait time.Duration) error {
	if b := t.allowance.Burst(); b > 0 && cost > b {
		return refusal.NewNotRun(429, "cost-exceeds-burst", "the request costs more than the team's burst")
	}
	if d, _ := t.allowance.RetryAfter(now); d > wait || len(t.waiters) >= maxWaiters {
		return t.refusal(now)
	}
	return nil
}

// timeOut refuses a request that still waits.
func (t *teamLimiter) timeOut(now time.Time, p *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admitWaiting(now)
	if p.finished {
		return
	}
	for i, o := range t.waiters {
		if o == p {
			t.waiters = append(t.waiters[:i], t.waiters[i+1:]...)
			break
		}
	}
	t.finish(p, t.refusal(now))
	t.admitWaiting(now)
}

// nextRequest returns the next request for the owner, if one is due.
func (t *teamLimiter) nextRequest(now time.Time) (grantrequest.Request, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var least int64
	if len(t.waiters) > 0 {
		least = t.waiters[0].cost
	}
	return t.allowance.NextRequest(now, t.waitingCost, least)
}

// applyReply applies a reply and admits the waiting requests that it covers.
func (t *teamLimiter) applyReply(now time.Time, a grantreply.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachable = false
	t.replied = true
	t.allowance.ApplyReply(now, a)
	if a.Burst > 0 {
		t.setLimits(now, a.Rate, a.Burst+t.deputyBurst)
	}
	t.admitWaiting(now)
}

// fence rejects replies of earlier terms and returns the units that may still be spent of those terms.
func (t *teamLimiter) fence(now time.Time, term uint64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allowance.Fence(now, term)
}

// drain makes the next request return all units.
func (t *teamLimiter) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.allowance.Drain()
}

// markLost records that the owner did not answer a request, if it is still pending.
func (t *teamLimiter) markLost(sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.allowance.MarkLost(sequence) {
		t.unreachable = true
	}
}

// nextDeputyRequest returns the next request for the deputy, if one is due.
func (t *teamLimiter) nextDeputyRequest(now time.Time) (grantrequest.Request, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var least int64
	if len(t.waiters) > 0 {
		least = t.waiters[0].cost
	}
	held := t.allowance.Balance(now)
	return t.deputy.NextRequest(now, max(t.waitingCost-held, 0), max(least-held, 0))
}

// changeDeputy drops the grants of the deputy that was asked before.
func (t *teamLimiter) changeDeputy() {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &t.deputy
	t.deputy = allowance.Allowance{Team: a.Team, Host: a.Host, Boot: a.Boot, Sequence: a.Sequence}
}

// applyDeputyReply applies a reply of the deputy and admits the waiting requests that it covers.
func (t *teamLimiter) applyDeputyReply(now time.Time, a grantreply.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deputy.ApplyReply(now, a)
	t.admitWaiting(now)
}

// markDeputyLost records that the deputy did not answer a request, if it is still pending.
func (t *teamLimiter) markDeputyLost(sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deputy.MarkLost(sequence)
}

// idle reports whether the team limiter can be forgotten.
func (t *teamLimiter) idle(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiters) == 0 && t.allowance.Idle(now)
}

// forget marks an idle team limiter as forgotten. It returns the sequence number of its last request and whether it
// was idle.
func (t *teamLimiter) forget(now time.Time) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgotten = len(t.waiters) == 0 && t.allowance.Idle(now)
	return max(t.allowance.Sequence, t.deputy.Sequence), t.forgotten
}

func (t *teamLimiter) admitWaiting(now time.Time) {
	for len(t.waiters) > 0 {
		p := t.waiters[0]
		if !t.spendAudited(now, p.cost) {
			return
		}
		t.waiters = t.waiters[1:]
		t.finish(p, nil)
	}
}

func (t *teamLimiter) finish(p *waiter, err error) {
	p.finished = true
	t.waitingCost -= p.cost
	p.done <- err
}

func (t *teamLimiter) refusal(now time.Time) error {
	d, settling := t.allowance.RetryAfter(now)
	if t.unreachable || settling || !t.replied {
		return errUnreachable.WithRetryAfter(max(d, minUnreachableRetry)).WithJitter()
	}
	return errExceeded.WithRetryAfter(max(d, minExceededRetry))
}

// clock tells the time.
type clock interface {
	Now() time.Time
}

const (
	// auditGrace is how long grants issued under former limits may still be spent.
	auditGrace          = 3 * TTL
	minUnreachableRetry = time.Second
	minExceededRetry    = 10 * time.Millisecond
)

var (
	errUnreachable = refusal.NewNotRun(503, "rate-owner-unreachable", "the owner of the team's rate cannot be reached")
	errForgotten   = errors.New("grant: team limiter is no longer in use")
	errExceeded    = refusal.NewNotRun(429, "rate-exceeded", "the team has spent its rate and burst")
)
