package command

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/group"
	"siskinrun/internal/config/operatorclient"
)

const (
	gatherTimeout = 3 * time.Second
	gatherWorkers = 16
)

// gathered is what the hosts answered, and the addresses of those that did not.
type gathered[T any] struct {
	mu      sync.Mutex
	answers []T
	missing []string
	last    error
}

// gather reads a path from every host.
func gather[T any](ctx context.Context, k *operatorclient.Client, path string) (*gathered[T], error) {
	r := &gathered[T]{}
	todo := make(chan string, len(k.Addresses))
	for _, a := range k.Addresses {
		todo <- a
	}
	close(todo)
	g := group.NewGroup(ctx)
	for range min(gatherWorkers, len(k.Addresses)) {
		g.Go("gather", func(ctx context.Context) error {
			for a := range todo {
				r.ask(ctx, k, a, path)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	if len(r.answers) == 0 {
		return nil, errors.Wrap(r.last, "no host answered")
	}
	return r, nil
}

func (r *gathered[T]) ask(ctx context.Context, k *operatorclient.Client, address, path string) {
	one := &operatorclient.Client{
		Addresses: []string{address},
		Secret:    k.Secret,
		TLS:       k.TLS,
		Timer:     k.Timer,
		Timeout:   gatherTimeout,
	}
	var v T
	b, err := one.Do(ctx, "GET", path, nil)
	if err == nil {
		err = json.Unmarshal(b, &v)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.missing = append(r.missing, address)
		r.last = err
		return
	}
	r.answers = append(r.answers, v)
}
