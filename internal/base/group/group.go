package group

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Group runs named goroutines under one context and cancels all of them when one fails.
type Group struct {
	errs *errgroup.Group
	ctx  context.Context
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
func (g *Group) Go(name string, f func(ctx context.Context) error) {
	g.errs.Go(func() error {
		err := f(g.ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, context.Canceled) && g.ctx.Err() != nil {
			return nil
		}
		return errors.Wrap(err, name)
	})
}

// Wait blocks until every goroutine has returned, and returns the first error.
func (g *Group) Wait() error {
	return g.errs.Wait()
}
