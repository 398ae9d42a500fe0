package promptguard

import (
	"context"
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/data/call"
	"siskinrun/internal/data/crashevidence"
	"siskinrun/internal/fleet/rendezvous"
	"siskinrun/internal/routing/crashmessage"
	"siskinrun/pkg/refusal"
)

const (
	// trialWait is how long a call waits while another one with its suspected trait is tried.
	trialWait = 250 * time.Millisecond
	// trialPoll is the time between two questions of a waiting call.
	trialPoll = 25 * time.Millisecond
	// ownerTimeout bounds the question to the host that grants the trials of a trait.
	ownerTimeout = 100 * time.Millisecond
	// rankingLifetime is the time for which a ranking of the hosts is used.
	rankingLifetime = 250 * time.Millisecond
	// maxTrialLosses is the maximum number of losses in a message about a trial.
	maxTrialLosses = 32
)

// answer is what comes of a question for a trial.
type answer int

const (
	free answer = iota
	granted
	busy
	blocked
)

// trial is one call with a suspected trait, of which the fleet sends one at a time.
type trial struct {
	guard  *Guard
	trait  crashevidence.Trait
	traits []crashevidence.Trait
	number uint64
	// owner is the host that grants the trial, own says that it is this one.
	owner string
	own   bool
	once  sync.Once
}

// Try asks whether a call may be sent now, and waits a moment while another one with its suspected trait is tried. If it
// may, over must be called once its answer has begun or its attempt has ended.
func (g *Guard) Try(ctx context.Context, c *call.Call) (over func(), err error) {
	if c.Batch || !g.evidence.Load() && g.fresh(g.Timer.Now()) {
		return nothing, nil
	}
	g.catchUp(ctx)
	t := c.Traits()
	until := g.waitUntil(c)
	for g.evidence.Load() {
		x, a := g.attempt(ctx, t)
		switch {
		case a == free:
			return nothing, nil
		case a == granted:
			g.count("trials", 1)
			return x.over, nil
		case a == blocked:
			return nothing, refusal.CrashingPrompt
		}
		if !g.Timer.Now().Before(until) || g.Timer.Sleep(ctx, trialPoll) != nil {
			g.count("trials-refused", 1)
			return nothing, refusal.SuspectRequest
		}
	}
	return nothing, nil
}

func nothing() {}

// waitUntil returns the time until which a call may wait for a trial.
func (g *Guard) waitUntil(c *call.Call) time.Time {
	t := g.Timer.Now().Add(trialWait)
	if !c.LatestStart.IsZero() && c.LatestStart.Before(t) {
		return c.LatestStart
	}
	return t
}

// attempt asks once for the trial of a call.
func (g *Guard) attempt(ctx context.Context, traits []crashevidence.Trait) (*trial, answer) {
	x, a := g.begin(traits)
	if a != granted {
		return nil, a
	}
	a = x.askOwner(ctx)
	if a != granted {
		g.mu.Lock()
		g.local.End(x.trait, x.holder(), x.number)
		g.mu.Unlock()
	}
	return x, a
}

// begin takes the trial of a call among those of this host.
func (g *Guard) begin(traits []crashevidence.Trait) (*trial, answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.Timer.Now()
	if g.quarantine.Blocks(n, traits) {
		return nil, blocked
	}
	t, ok := g.quarantine.Suspect(traits)
	if !ok {
		return nil, free
	}
	g.number++
	x := &trial{guard: g, trait: t, traits: traits, number: g.number}
	if !g.local.Take(n, t, x.holder(), x.number) {
		return nil, g.denied(traits)
	}
	x.owner = g.owner(t)
	x.own = x.owner == g.name
	return x, granted
}

// holder names the trial among those of its host.
func (x *trial) holder() string {
	return strconv.FormatUint(x.number, 10)
}

// askOwner asks the host that grants the trials of the trait. If it does not answer, this host decides by what it knows.
func (x *trial) askOwner(ctx context.Context) answer {
	g := x.guard
	if x.own {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.grant(x.owner, x.trait, x.traits, x.number)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	b, err := g.Link.Call(ctx, x.owner, methodTry, x.message(false))
	r := &crashmessage.Grant{}
	if err != nil || proto.Unmarshal(b, r) != nil {
		return x.decideAlone()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.merge(fromMessage(r.Evidence))
	if r.Granted {
		return granted
	}
	return g.denied(x.traits)
}

// denied returns the answer to a call that gets no trial now: one in quarantine does not wait for the next.
func (g *Guard) denied(traits []crashevidence.Trait) answer {
	if g.quarantine.Holds(traits) {
		return blocked
	}
	return busy
}

// decideAlone lets the call pass unless its trait is in quarantine.
func (x *trial) decideAlone() answer {
	g := x.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.quarantine.Holds(x.traits) {
		return blocked
	}
	return granted
}

// over ends the trial here and at its owner.
func (x *trial) over() {
	x.once.Do(func() {
		g := x.guard
		g.mu.Lock()
		defer g.mu.Unlock()
		g.local.End(x.trait, x.holder(), x.number)
		if x.own {
			g.trials.End(x.trait, x.owner, x.number)
			return
		}
		if g.group == nil {
			return
		}
		g.group.Go("end-trial", func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, _ = g.Link.Call(ctx, x.owner, methodTry, x.message(true)) // the owner's bound ends it otherwise
			return nil
		})
	})
}

// message returns the question to the owner, or the news that the trial is over, with what this host knows of the trait.
func (x *trial) message(over bool) []byte {
	g := x.guard
	g.mu.Lock()
	n := g.Timer.Now()
	l := g.lossesOf(x.trait)
	e := crashevidence.Evidence{Losses: l, Good: g.quarantine.KnownGood(n, l)}
	if at, ok := g.quarantine.Answered(x.trait); ok {
		e.Good = append(e.Good, crashevidence.Good{Trait: x.trait, Age: max(n.Sub(at), 0)})
	}
	g.mu.Unlock()
	m := &crashmessage.Trial{Number: x.number, Trait: x.trait.Hash, Request: x.trait.Request, Over: over, Evidence: toMessage(e)}
	m.Parts, m.Digest = split(x.traits)
	b, _ := proto.Marshal(m) // cannot fail: there are no strings in it
	return b
}

// lossesOf returns the last losses with a trait.
func (g *Guard) lossesOf(t crashevidence.Trait) []crashevidence.Loss {
	l := g.quarantine.LossesOf(g.Timer.Now(), t)
	return l[max(0, len(l)-maxTrialLosses):]
}

// grant grants a trial to a host, unless another one is under way or the call is in quarantine.
func (g *Guard) grant(to string, t crashevidence.Trait, traits []crashevidence.Trait, number uint64) answer {
	n := g.Timer.Now()
	if g.quarantine.Blocks(n, traits) {
		return blocked
	}
	if !g.trials.Take(n, t, to, number) {
		return g.denied(traits)
	}
	return granted
}

func (g *Guard) handleTrial(_ context.Context, from string, body []byte) ([]byte, error) {
	m := &crashmessage.Trial{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-trial", err.Error())
	}
	t := crashevidence.Trait{Hash: m.Trait, Request: m.Request}
	g.mu.Lock()
	defer g.mu.Unlock()
	better, _ := g.mergeNews(fromMessage(m.Evidence))
	if m.Over {
		g.trials.End(t, from, m.Number)
		return nil, nil
	}
	a := g.grant(from, t, join(m.Parts, m.Digest), m.Number)
	e := crashevidence.Evidence{Losses: g.lossesOf(t), Good: better}
	return proto.Marshal(&crashmessage.Grant{Granted: a == granted, Evidence: toMessage(e)})
}

// owner returns the host that grants the trials of a trait, this one if there is no other.
func (g *Guard) owner(t crashevidence.Trait) string {
	n := g.Timer.Now()
	if g.ranked == nil || n.Sub(g.rankedAt) >= rankingLifetime {
		t := g.Topology()
		g.name, g.ranked, g.rankedAt = t.Name, rendezvous.NewRanking(t.Hosts, ""), n
	}
	var b [9]byte
	binary.LittleEndian.PutUint64(b[:], t.Hash)
	if t.Request {
		b[8] = 1
	}
	if o, ok := g.ranked.Owner(string(b[:])); ok {
		return o
	}
	return g.name
}
