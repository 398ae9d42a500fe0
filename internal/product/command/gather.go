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
	hostTimeout      = 3 * time.Second
	maxParallelHosts = 16
)

// hostAnswers holds the decoded answers of the hosts, and the addresses of those without a valid answer.
type hostAnswers[T any] struct {
	mu      sync.Mutex
	answers []T
	missing []string
	lastErr error
}

// askHosts gets a path from every host at the same time and decodes the answers. It fails if no host answers.
func askHosts[T any](ctx context.Context, k *operatorclient.Client, path string) (*hostAnswers[T], error) {
	r := &hostAnswers[T]{}
	addresses := make(chan string, len(k.Addresses))
	for _, a := range k.Addresses {
		addresses <- a
	}
	close(addresses)
	g := group.NewGroup(ctx)
	for range min(maxParallelHosts, len(k.Addresses)) {
		g.Go("gather", func(ctx context.Context) error {
			for a := range addresses {
				r.ask(ctx, k, a, path)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	if len(r.answers) == 0 {
		return nil, errors.Wrap(r.lastErr, "no host answered")
	}
	return r, nil
}

func (r *hostAnswers[T]) ask(ctx context.Context, k *operatorclient.Client, address, path string) {
	one := &operatorclient.Client{
		Addresses: []string{address},
		Secret:    k.Secret,
		TLS:       k.TLS,
		Timer:     k.Timer,
		Timeout:   hostTimeout,
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
		r.lastErr = err
		return
	}
	r.answers = append(r.answers, v)
}
