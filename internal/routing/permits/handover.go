package permits

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/host"
	"siskinrun/internal/data/upstreamlimit"
	"siskinrun/internal/limits/meter"
	"siskinrun/internal/routing/permitmessage"
	"siskinrun/pkg/refusal"
)

const (
	// watchInterval is the time between two looks at the hosts, and maxStandstill the longest that is not a standstill.
	watchInterval = 100 * time.Millisecond
	maxStandstill = 500 * time.Millisecond
	// handOverTime is the time in which a host that has joined, maybe after a cut, hands over what it coordinated meanwhile.
	handOverTime = 300 * time.Millisecond

	methodHandOver = "permits/hand-over"
)

// watch follows the hosts until ctx ends. It hands over the upstreams that other hosts coordinate from now on, and blocks
// all meters after a standstill of this host, in which others may have coordinated its upstreams.
func (s *Service) watch(ctx context.Context) error {
	last := s.Timer.Now()
	for {
		if err := s.Timer.Sleep(ctx, watchInterval); err != nil {
			return err
		}
		n := s.Timer.Now()
		if n.Sub(last) > maxStandstill {
			s.blockMeters(n.Add(meter.Span))
		}
		s.mu.Lock()
		s.watched = n
		s.mu.Unlock()
		last = n
		s.lookAtHosts(n)
		s.countLostHosts()
		s.handOver(n)
	}
}

// lookAtHosts notices a change of the hosts among which coordinators are chosen.
func (s *Service) lookAtHosts(now time.Time) {
	l := s.Hosts()
	slices.SortFunc(l, func(a, b host.Host) int { return strings.Compare(a.Name, b.Name) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(l, s.hosts) {
		return
	}
	s.countHosts(l)
	joined := slices.ContainsFunc(l, func(h host.Host) bool { return !slices.Contains(s.hosts, h) })
	s.hosts = l
	s.settled = now.Add(meter.Span)
	if !joined {
		return
	}
	for _, m := range s.meters {
		m.Block(now.Add(handOverTime))
	}
}

// blockMeters drops the meters of all upstreams; new ones are blocked until the given time.
func (s *Service) blockMeters(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.meters)
	s.settled = until
	clear(s.coldMeters)
	s.resumed = s.Timer.Now().Add(resumeTime)
}

// handOver tells the new coordinators of upstreams what this host has let through.
func (s *Service) handOver(now time.Time) {
	s.mu.Lock()
	var names, cold []string
	for n := range s.meters {
		names = append(names, n)
	}
	for n := range s.coldMeters {
		cold = append(cold, n)
	}
	s.mu.Unlock()
	s.dropCold(cold)
	for _, n := range names {
		c, _ := s.coordinator(n)
		if c == s.Name || c == "" {
			continue
		}
		if l, starts, ok := s.giveUp(now, n); ok {
			s.sendHandOver(now, c, l, starts)
		}
	}
}

// dropCold drops the meters of cold upstreams that other hosts coordinate from now on. Those wait until the window is past.
func (s *Service) dropCold(names []string) {
	for _, n := range names {
		if c, _ := s.coordinator(n); c != s.Name {
			s.mu.Lock()
			delete(s.coldMeters, n)
			s.mu.Unlock()
		}
	}
}

// giveUp drops the meter of an upstream and returns what it has let through, if there still is one.
func (s *Service) giveUp(now time.Time, name string) (upstreamlimit.Limit, []time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.meters[name]
	if m == nil {
		return upstreamlimit.Limit{}, nil, false
	}
	delete(s.meters, name)
	l, known := s.view.Last(name)
	return l, m.Starts(now), known
}

func (s *Service) sendHandOver(now time.Time, to string, l upstreamlimit.Limit, starts []time.Time) {
	m := &permitmessage.HandOver{Limit: encodeLimit(now, l)}
	for _, t := range starts {
		m.StartAgesNanoseconds = append(m.StartAgesNanoseconds, int64(now.Sub(t)))
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return
	}
	s.count("hand-overs")
	s.group.Go("hand-over-permits", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, _ = s.Link.Call(ctx, to, methodHandOver, b) // without it the new coordinator waits until the span is past
		return nil
	})
}

func (s *Service) handleHandOver(_ context.Context, _ string, body []byte) ([]byte, error) {
	m := &permitmessage.HandOver{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-hand-over", err.Error())
	}
	n := s.Timer.Now()
	l, ok := decodeLimit(n, m.Limit)
	if !ok {
		return nil, refusal.NewNotRun(400, "malformed-hand-over", "the message names no upstream")
	}
	s.merge([]upstreamlimit.Limit{l})
	var starts []time.Time
	for _, a := range m.StartAgesNanoseconds[:min(len(m.StartAgesNanoseconds), maxHandedOver)] {
		starts = append(starts, n.Add(-time.Duration(a)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k, named := s.view.Get(l.Upstream, 0)
	if named {
		s.meter(n, k).Resume(n, starts)
	}
	return nil, nil
}

// maxHandedOver bounds the requests that a message hands over.
const maxHandedOver = 1 << 13
