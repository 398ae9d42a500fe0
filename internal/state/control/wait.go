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

// waiter is a proposal whose outcome is awaited.
type waiter struct {
	term uint64
	done chan answer
}

type answer struct {
	outcome []byte
	err     error
}

// reading is the answer to a question for a place.
type reading struct {
	index uint64
	err   error
}

// await is someone who waits until a place has been applied.
type await struct {
	index uint64
	done  chan struct{}
}

func notLeader(leader string) error {
	return refusal.NewNotRun(503, codeNotLeader, leader).WithRetryAfter(time.Second)
}

func unknown(why string) error {
	return refusal.NewMayHaveRun(504, codeOutcomeUnknown, why)
}

func (u *unit) propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, refusal.NewNotRun(413, "too-large", "the command does not fit a packet")
	}
	done := make(chan answer, 1)
	u.control.count("control.proposals", 1)
	err := u.inbox.Push(ctx, func(time.Time) {
		if u.waiting() >= maxWaiters {
			done <- answer{err: refusal.NewNotRun(503, codeBusy, "too many proposals wait").WithRetryAfter(time.Second)}
			return
		}
		i, t, err := u.replica.Propose(command)
		if err != nil {
			done <- answer{err: notLeader(u.replica.Leader().Host)}
			return
		}
		u.expect(i, waiter{t, done})
	})
	if err != nil {
		return nil, refusal.NewNotRun(503, codeBusy, "the proposal was not taken in time").WithRetryAfter(time.Second)
	}
	select {
	case a := <-done:
		return a.outcome, a.err
	case <-u.ended:
		return nil, unknown("this host stops")
	case <-ctx.Done():
		return nil, unknown(ctx.Err().Error())
	}
}

func (u *unit) waiting() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.waiters)
}

func (u *unit) expect(index uint64, w waiter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if old, ok := u.waiters[index]; ok {
		old.done <- answer{err: unknown("another leader took over meanwhile")}
	}
	u.waiters[index] = w
}

// reach tells that the entry at index has been applied.
func (u *unit) reach(index, term uint64, outcome []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.applied = index
	if w, ok := u.waiters[index]; ok {
		delete(u.waiters, index)
		if w.term == term {
			w.done <- answer{outcome: outcome}
		} else {
			w.done <- answer{err: notLeader("")}
		}
	}
	u.release()
}

// abandon ends the wait for proposals of a leader that lost its place, as another leader may never commit them.
func (u *unit) abandon() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, w := range u.waiters {
		delete(u.waiters, i)
		w.done <- answer{err: unknown("this host no longer leads the group")}
	}
}

// skip tells that a snapshot up to index replaced the machine.
func (u *unit) skip(index uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.applied = index
	for i, w := range u.waiters {
		if i <= index {
			delete(u.waiters, i)
			w.done <- answer{err: unknown("a snapshot replaced the log")}
		}
	}
	u.release()
}

func (u *unit) release() {
	var rest []await
	for _, a := range u.awaits {
		if a.index > u.applied {
			rest = append(rest, a)
			continue
		}
		close(a.done)
	}
	u.awaits = rest
}

// await waits until the entry at index has been applied.
func (u *unit) await(ctx context.Context, index uint64) error {
	u.mu.Lock()
	if u.applied >= index {
		u.mu.Unlock()
		return nil
	}
	a := await{index, make(chan struct{})}
	u.awaits = append(u.awaits, a)
	u.mu.Unlock()
	select {
	case <-a.done:
		return nil
	case <-u.ended:
	case <-ctx.Done():
	}
	return refusal.NewNotRun(503, "behind", "this host has not caught up in time").WithRetryAfter(time.Second)
}

// confirm asks a quorum, as the leader, for the place that a read must have applied.
func (u *unit) confirm(ctx context.Context) (uint64, error) {
	done := make(chan reading, 1)
	u.mu.Lock()
	u.readID++
	id := u.readID
	u.reads[id] = done
	u.mu.Unlock()
	defer u.forget(id)
	if err := u.inbox.Push(ctx, func(now time.Time) { u.replica.Read(now, id) }); err != nil {
		return 0, notLeader("")
	}
	select {
	case r := <-done:
		return r.index, r.err
	case <-u.ended:
	case <-ctx.Done():
	}
	return 0, refusal.NewNotRun(503, "unconfirmed", "no quorum answered in time").WithRetryAfter(time.Second)
}

func (u *unit) forget(id uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.reads, id)
}

// answer passes the replica's answers on to those who asked.
func (u *unit) answer(e effect.Effect) {
	if len(e.Reads)+len(e.Refused) == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range e.Reads {
		u.settle(r.ID, reading{index: r.Index})
	}
	for _, id := range e.Refused {
		u.settle(id, reading{err: notLeader(u.replica.Leader().Host)})
	}
}

func (u *unit) settle(id uint64, r reading) {
	if done, ok := u.reads[id]; ok {
		delete(u.reads, id)
		done <- r
	}
}
