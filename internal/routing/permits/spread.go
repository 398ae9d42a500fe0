package permits

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/group"
	"siskinrun/internal/data/upstreamlimit"
	"siskinrun/internal/routing/permitmessage"
	"siskinrun/pkg/refusal"
)

const (
	// compareInterval is the time between two comparisons with another host, which reach a host that missed the news.
	compareInterval = 2 * time.Second
	// firstCompareInterval is the same time on a host that has just started and knows nothing.
	firstCompareInterval = 100 * time.Millisecond
	// callTimeout bounds a message to another host.
	callTimeout = 500 * time.Millisecond
	// comparedHosts is the number of hosts of one comparison.
	comparedHosts = 2
	// comparedLimits is the number of limits in the answer to a comparison, but for the first of a host.
	comparedLimits = 64

	methodTell    = "permits/tell"
	methodCompare = "permits/compare"
)

// Run compares the known limits with other hosts until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	w := group.NewGroup(ctx)
	s.mu.Lock()
	s.group = w
	s.mu.Unlock()
	w.Go("watch-hosts", s.watch)
	w.Go("compare-limits", func(ctx context.Context) error {
		for {
			s.compare(ctx)
			if err := s.Timer.Sleep(ctx, s.pause()); err != nil {
				return err
			}
		}
	})
	return w.Wait()
}

// pause returns the time until the next comparison, which is short until another host has answered one.
func (s *Service) pause() time.Duration {
	if !s.compared.Load() {
		return firstCompareInterval
	}
	return compareInterval
}

// compare learns from a few random other hosts which limits they know.
func (s *Service) compare(ctx context.Context) {
	t := s.Topology()
	l := t.Compare()
	if !t.TakesPart() {
		return
	}
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	for _, h := range l[:min(len(l), comparedHosts)] {
		s.compareWith(ctx, h)
	}
}

func (s *Service) compareWith(ctx context.Context, host string) {
	b, err := proto.Marshal(&permitmessage.Compare{Fingerprint: s.fingerprint(), All: !s.compared.Load()})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := s.Link.Call(ctx, host, methodCompare, b)
	if err != nil {
		return
	}
	s.compared.Store(true)
	s.mergeNews(a)
}

func (s *Service) handleCompare(_ context.Context, _ string, body []byte) ([]byte, error) {
	q := &permitmessage.Compare{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-comparison", err.Error())
	}
	if s.fingerprint() == q.Fingerprint {
		return nil, nil
	}
	s.mu.Lock()
	l := s.view.Named()
	s.mu.Unlock()
	if !q.All && len(l) > comparedLimits {
		rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
		l = l[:comparedLimits]
	}
	return encodeNews(s.Timer.Now(), l)
}

// fingerprint returns a hash of the incarnations of upstreams that name a limit.
func (s *Service) fingerprint() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := uint64(1)
	for _, l := range s.view.Named() {
		f ^= xxhash.Sum64String(l.Upstream + "\x00" + strconv.FormatUint(l.Incarnation, 10))
	}
	return f
}

// broadcast tells all hosts of a limit that has begun or ended, and its coordinator directly.
func (s *Service) broadcast(l upstreamlimit.Limit) {
	to := s.Topology().Tell()
	if c, _ := s.coordinator(l.Upstream); !slices.Contains(to, c) {
		to = append(to, c)
	}
	s.tell([]upstreamlimit.Limit{l}, to)
}

// passOn tells other hosts of limits that another one told.
func (s *Service) passOn(from string, l []upstreamlimit.Limit) {
	if len(l) > 0 {
		s.tell(l, s.Topology().PassOn(from))
	}
}

// tell sends limits to hosts without waiting for an answer.
func (s *Service) tell(l []upstreamlimit.Limit, to []string) {
	s.mu.Lock()
	w := s.group
	s.mu.Unlock()
	b, err := encodeNews(s.Timer.Now(), l)
	if w == nil || err != nil {
		return
	}
	for _, h := range to {
		if h == s.Name || h == "" {
			continue
		}
		s.count("news-sent")
		w.Go("tell-limit", func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, _ = s.Link.Call(ctx, h, methodTell, b) // a host that misses it hears of it from an ask or a comparison
			return nil
		})
	}
}

func (s *Service) handleTell(_ context.Context, from string, body []byte) ([]byte, error) {
	m := &permitmessage.News{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-news", err.Error())
	}
	s.passOn(from, s.merge(decodeLimits(s.Timer.Now(), m.Limits)))
	return nil, nil
}

func (s *Service) mergeNews(b []byte) {
	m := &permitmessage.News{}
	if err := proto.Unmarshal(b, m); err != nil {
		return
	}
	s.merge(decodeLimits(s.Timer.Now(), m.Limits))
}

// merge records what another host told and returns the limits that began or ended with it.
func (s *Service) merge(l []upstreamlimit.Limit) []upstreamlimit.Limit {
	var flipped []upstreamlimit.Limit
	s.mu.Lock()
	for _, k := range l {
		before, taken := s.view.Merge(k)
		if taken && flips(before, k) {
			flipped = append(flipped, k)
		}
	}
	s.publish()
	s.mu.Unlock()
	for _, k := range flipped {
		s.logFlip(k)
	}
	return flipped
}

func (s *Service) observeAsk(d time.Duration) {
	metrics.GetOrRegisterTimer("ask", s.Metrics).Update(d)
}
