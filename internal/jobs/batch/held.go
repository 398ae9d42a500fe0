package batch

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/group"
	"siskinrun/internal/jobs/entry"
)

const (
	methodHeld = "batch/held-claims"
	// heldTimeout is the time in which a host says which names it holds.
	heldTimeout = 300 * time.Millisecond
	// heldInterval is the time between two rounds of questions.
	heldInterval = 300 * time.Millisecond
	// nobody is the holder of a name that several hosts have asked for: which one got it is not known.
	nobody = ""
)

// runHeldClaims asks all hosts which names they hold each time a claim is refused since leases of former leaders may still be
// valid. After a loss of power of all hosts nobody holds any, and batch work need not stand still until the leases would have ended.
func (b *Service) runHeldClaims(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.waiting:
		}
		b.completeClaims(ctx)
		if err := b.Timer.Sleep(ctx, heldInterval); err != nil {
			return err
		}
	}
}

// completeClaims ends the wait of the groups that this host leads if all hosts have said which names they hold.
func (b *Service) completeClaims(ctx context.Context) {
	terms := b.waitingTerms()
	if len(terms) == 0 {
		return
	}
	holders, ok := b.askHeld(ctx)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.Timer.Now()
	for g, term := range terms {
		mine := map[string]string{}
		for name, h := range holders {
			if b.GroupOf(name) == g {
				mine[name] = h
			}
		}
		b.claims[g].Complete(n, term, mine)
		b.Log.Info().Uint32("group", g).Uint64("term", term).Int("held", len(mine)).Msg("claims of earlier terms known")
	}
}

// waitingTerms returns the terms of the groups that this host leads and in which claims wait.
func (b *Service) waitingTerms() map[uint32]uint64 {
	terms := map[uint32]uint64{}
	for g, t := range b.claims {
		d := b.lead(g)
		b.mu.Lock()
		if d.Leading && t.Waiting(b.Timer.Now()) {
			terms[g] = d.Term
		}
		b.mu.Unlock()
	}
	return terms
}

// askHeld returns the holders of all names that hosts have claimed or are about to claim, and whether all hosts have answered.
func (b *Service) askHeld(ctx context.Context) (holders map[string]string, all bool) {
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	var mu sync.Mutex
	holders, all = map[string]string{}, true
	asked := map[string]string{}
	g := group.NewGroup(ctx)
	hosts := b.ClaimHosts()
	for _, h := range hosts {
		g.Go("held-claims", func(ctx context.Context) error {
			m, err := b.Peers.Call(ctx, h, methodHeld, nil)
			a := &entry.HeldClaims{}
			if err == nil {
				err = proto.Unmarshal(m, a)
			}
			mu.Lock()
			defer mu.Unlock()
			all = all && err == nil
			for _, n := range a.Names {
				holders[n] = a.Holder
			}
			for _, n := range a.Asked {
				if _, ok := asked[n]; ok {
					asked[n] = nobody
					continue
				}
				asked[n] = a.Holder
			}
			return nil
		})
	}
	_ = g.Wait()
	for n, h := range asked {
		if _, ok := holders[n]; !ok {
			holders[n] = h
		}
	}
	return holders, all && len(hosts) > 0
}

// handleHeld says which names this host holds.
func (b *Service) handleHeld(context.Context, string, []byte) ([]byte, error) {
	a := &entry.HeldClaims{}
	if b.Held != nil {
		a.Holder, a.Names, a.Asked = b.Held()
	}
	return proto.Marshal(a)
}
