package control

import (
	"context"
	"time"

	"siskinrun/internal/state/effect"
	"siskinrun/pkg/refusal"
)

const (
	codeNotLeader      = "not-leader"
	codeOutcomeUnknown = "outcome-unknown"
	codeBusy           = "busy"
	codeStarting       = "starting"
	maxWaiters         = 65536
	maxCommandBytes    = 8 << 20
)

// waiter is a proposal that waits for its outcome.
type waiter struct {
	term uint64
	done chan proposalResult
}

type proposalResult struct {
	outcome []byte
	err     error
}

// readResult is the result of a read request: the index that the read must have applied, or an error.
type readResult struct {
	index uint64
	err   error
}

// indexWaiter waits until the entry at index has been applied.
type indexWaiter struct {
	index uint64
	done  chan struct{}
}

func notLeader(leader string) error {
	return refusal.NewNotRun(503, codeNotLeader, leader).WithRetryAfter(time.Second)
}

func outcomeUnknown(why string) error {
	return refusal.NewMayHaveRun(504, codeOutcomeUnknown, why)
}

func (d *driver) propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, refusal.NewNotRun(413, "too-large", "the command does not fit in a packet")
	}
	done := make(chan proposalResult, 1)
	d.control.count("control.proposals", 1)
	err := d.inbox.Push(ctx, func(time.Time) {
		if d.waiterCount() >= maxWaiters {
			done <- proposalResult{err: refusal.NewNotRun(503, codeBusy, "too many proposals are waiting").WithRetryAfter(time.Second)}
			return
		}
		i, t, err := d.replica.Propose(command)
		if err != nil {
			done <- proposalResult{err: notLeader(d.replica.Leader().Host)}
			return
		}
		d.addWaiter(i, waiter{t, done})
	})
	if err != nil {
		return nil, refusal.NewNotRun(503, codeBusy, "the proposal was not accepted in time").WithRetryAfter(time.Second)
	}
	select {
	case a := <-done:
		return a.outcome, a.err
	case <-d.stopped:
		return nil, outcomeUnknown("this host is stopping")
	case <-ctx.Done():
		return nil, outcomeUnknown(ctx.Err().Error())
	}
}

func (d *driver) waiterCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiters)
}

func (d *driver) addWaiter(index uint64, w waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.waiters[index]; ok {
		old.done <- proposalResult{err: outcomeUnknown("another leader took over")}
	}
	d.waiters[index] = w
}

// markApplied records that the entry at index has been applied.
func (d *driver) markApplied(index, term uint64, outcome []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applied = index
	if w, ok := d.waiters[index]; ok {
		delete(d.waiters, index)
		if w.term == term {
			w.done <- proposalResult{outcome: outcome}
		} else {
			w.done <- proposalResult{err: notLeader("")}
		}
	}
	d.wakeIndexWaiters()
}

// failWaiters ends the pending proposals of a leader that stepped down, because a later leader may never commit them.
func (d *driver) failWaiters() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, w := range d.waiters {
		delete(d.waiters, i)
		w.done <- proposalResult{err: outcomeUnknown("this host no longer leads the group")}
	}
}

// markInstalled records that a snapshot up to index replaced the state machine's data.
func (d *driver) markInstalled(index uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applied = index
	for i, w := range d.waiters {
		if i <= index {
			delete(d.waiters, i)
			w.done <- proposalResult{err: outcomeUnknown("a snapshot replaced the log")}
		}
	}
	d.wakeIndexWaiters()
}

func (d *driver) wakeIndexWaiters() {
	var rest []indexWaiter
	for _, a := range d.indexWaiters {
		if a.index > d.applied {
			rest = append(rest, a)
			continue
		}
		close(a.done)
	}
	d.indexWaiters = rest
}

// waitApplied waits until the entry at index has been applied.
func (d *driver) waitApplied(ctx context.Context, index uint64) error {
	d.mu.Lock()
	if d.applied >= index {
		d.mu.Unlock()
		return nil
	}
	a := indexWaiter{index, make(chan struct{})}
	d.indexWaiters = append(d.indexWaiters, a)
	d.mu.Unlock()
	select {
	case <-a.done:
		return nil
	case <-d.stopped:
	case <-ctx.Done():
	}
	return refusal.NewNotRun(503, "behind", "this host did not catch up in time").WithRetryAfter(time.Second)
}

// readIndex asks a quorum, on the leader, for the index that a read must have applied.
func (d *driver) readIndex(ctx context.Context) (uint64, error) {
	done := make(chan readResult, 1)
	d.mu.Lock()
	d.readID++
	id := d.readID
	d.pendingReads[id] = done
	d.mu.Unlock()
	defer d.dropRead(id)
	if err := d.inbox.Push(ctx, func(now time.Time) { d.replica.Read(now, id) }); err != nil {
		return 0, notLeader("")
	}
	select {
	case r := <-done:
		return r.index, r.err
	case <-d.stopped:
	case <-ctx.Done():
	}
	return 0, refusal.NewNotRun(503, "unconfirmed", "no quorum answered in time").WithRetryAfter(time.Second)
}

func (d *driver) dropRead(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pendingReads, id)
}

// completeReads passes the replica's confirmed and refused reads to the callers that wait.
func (d *driver) completeReads(e effect.Effect) {
	if len(e.Reads)+len(e.RefusedReads) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range e.Reads {
		d.completeRead(r.ID, readResult{index: r.Index})
	}
	for _, id := range e.RefusedReads {
		d.completeRead(id, readResult{err: notLeader(d.replica.Leader().Host)})
	}
}

func (d *driver) completeRead(id uint64, r readResult) {
	if done, ok := d.pendingReads[id]; ok {
		delete(d.pendingReads, id)
		done <- r
	}
}
