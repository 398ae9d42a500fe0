package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/group"
)

const (
	checkInterval = 200 * time.Millisecond
	checkTimeout  = time.Second
	pathReady     = "/-/ready"
)

// balancer picks among the hosts that say that they are ready, as the platform's does.
type balancer struct {
	load *Load

	mu    sync.Mutex
	ready []string
}

// run checks the hosts until ctx ends.
func (b *balancer) run(ctx context.Context) error {
	for {
		b.check(ctx)
		if err := b.load.Timer.Sleep(ctx, checkInterval); err != nil {
			return err
		}
	}
}

// check asks all hosts at once.
func (b *balancer) check(ctx context.Context) {
	up := make([]bool, len(b.load.Hosts))
	g := group.NewGroup(ctx)
	for i, h := range b.load.Hosts {
		g.Go("check", func(ctx context.Context) error {
			up[i] = b.isReady(ctx, h)
			return nil
		})
	}
	_ = g.Wait()
	var l []string
	for i, h := range b.load.Hosts {
		if up[i] {
			l = append(l, h)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = l
}

func (b *balancer) isReady(ctx context.Context, host string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	c := b.load.newCall("GET", pathReady, "", nil, b.load.Timer.Now())
	c.Rule.Repeatable = false
	a, err := b.load.exchange.Do(ctx, host, c)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.Status == fasthttp.StatusOK
}

// pick returns a ready host, or any host if none is.
func (b *balancer) pick(r *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ready
	if len(l) == 0 {
		l = b.load.Hosts
	}
	return l[r.IntN(len(l))]
}
