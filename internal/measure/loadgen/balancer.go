package loadgen

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
	readyPath     = "/-/ready"
)

// balancer picks among the hosts that report ready, like the platform's load balancer.
type balancer struct {
	generator *Generator

	mu    sync.Mutex
	ready []string
}

// run checks the readiness of the hosts until ctx ends.
func (b *balancer) run(ctx context.Context) error {
	for {
		b.checkHosts(ctx)
		if err := b.generator.Timer.Sleep(ctx, checkInterval); err != nil {
			return err
		}
	}
}

// checkHosts queries the readiness of all hosts in parallel.
func (b *balancer) checkHosts(ctx context.Context) {
	up := make([]bool, len(b.generator.Hosts))
	g := group.NewGroup(ctx)
	for i, h := range b.generator.Hosts {
		g.Go("check", func(ctx context.Context) error {
			up[i] = b.isReady(ctx, h)
			return nil
		})
	}
	_ = g.Wait()
	var l []string
	for i, h := range b.generator.Hosts {
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
	c := b.generator.newCall("GET", readyPath, "", nil, b.generator.Timer.Now())
	c.RouteConfig.Repeatable = false
	a, err := b.generator.transport.Do(ctx, host, c)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.Status == fasthttp.StatusOK
}

// pick returns a random ready host, or a random host if none is ready.
func (b *balancer) pick(r *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ready
	if len(l) == 0 {
		l = b.generator.Hosts
	}
	return l[r.IntN(len(l))]
}
