package group

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Group runs named goroutines under one context and cancels all of them when one fails.
type Group struct {
	errs *errgroup.Group
	ctx  context.Context

	mu sync.Mutex
	// running is the number of goroutines that have not returned.
	running int
	// waiting says that Wait was called.
	waiting bool
}

// NewGroup returns a group whose context ends with ctx or with the first failure.
func NewGroup(ctx context.Context) *Group {
	e, c := errgroup.WithContext(ctx)
	return &Group{errs: e, ctx: c}
}

// Context returns the context that the goroutines of the group share.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Go runs f in a goroutine and wraps its error with name. It drops context.Canceled once the group has ended.
//
// Go may be called while the group ends. A goroutine that starts after all others have returned to Wait runs under the ended
// context, and its error is dropped.
func (g *Group) Go(name string, f func(ctx context.Context) error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting && g.running == 0 {
		go g.runLate(f)
		return
	}
	g.running++
	g.errs.Go(func() error {
		defer g.leave()
		return g.run(name, f)
	})
}

// Wait blocks until every goroutine has returned, and returns the first error.
func (g *Group) Wait() error {
	g.mu.Lock()
	g.waiting = true
	g.mu.Unlock()
	return g.errs.Wait()
}

// run runs f and returns its error.
func (g *Group) run(name string, f func(ctx context.Context) error) error {
	err := f(g.ctx)
	if err == nil {
		return nil
	}
	if errors.Is(err, context.Canceled) && g.ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, name)
}

// runLate runs f for nobody, once the group has ended.
func (g *Group) runLate(f func(ctx context.Context) error) {
	<-g.ctx.Done()
	_ = f(g.ctx)
}

// leave notes that a goroutine has returned.
func (g *Group) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
}
