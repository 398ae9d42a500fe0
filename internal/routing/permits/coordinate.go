package permits

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/data/permit"
	"siskinrun/internal/data/upstreamlimit"
	"siskinrun/internal/routing/permitmessage"
	"siskinrun/pkg/refusal"
)

const (
	// askTimeout bounds the wait for a coordinator, which callers notice.
	askTimeout = 150 * time.Millisecond
	// silentTime is how long a host that did not answer is not asked.
	silentTime = 500 * time.Millisecond
	// withoutTime is how long a host whose software hands out no permits is passed over.
	withoutTime = 10 * time.Second
	// maxPassedOver is the number of coordinators that are asked in turn if the software of the first hands out no permits.
	maxPassedOver = 3

	methodAsk = "permits/ask"
	// codeUnknownMethod is the code with which a host refuses a method that its software does not have.
	codeUnknownMethod = "unknown-method"
)

var errNoCoordinator = errors.New("no coordinator decides on permits of the upstream")

// grant hands out a permit of an upstream that this host coordinates.
func (s *Service) grant(name string, r request) permit.Permit {
	s.lookAtHosts(s.Timer.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.Timer.Now()
	if _, rate, ok := s.cold.Get(n, name, 0); ok {
		l, _ := s.bound(name, 0)
		return s.grantCold(n, l, rate, r)
	}
	l, ok := s.view.Get(name, 0)
	if !ok {
		return permit.Permit{Granted: true}
	}
	m := s.meter(n, l)
	p := permit.Permit{Limit: l}
	if !r.batch || batchRoom(n, m, l) > 0 {
		p.Wait, p.Granted = m.Take(n, r.peak, r.wait)
	}
	p.CommittedIn, p.PeakIn = m.Delays(n)
	p.Saved = m.Saved(n)
	_, p.Room = m.Room(n)
	if !p.Granted {
		p.Wait = p.PeakIn
	}
	return p
}

// coordinator returns the host that hands out the permits of an upstream, "" if none is known, and the hosts before it that
// are passed over.
func (s *Service) coordinator(name string) (host string, passed []string) {
	l := s.Coordinators(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.Timer.Now()
	for i, h := range l {
		if !n.Before(s.without[h]) {
			return h, l[:i]
		}
	}
	return "", l
}

// coordinates reports whether this host is to hand out the permits of an upstream, if the hosts that the asking one passed
// over hand out none.
func (s *Service) coordinates(name string, passed []string) bool {
	l := s.Coordinators(name)
	i := slices.Index(l, s.Name)
	if i < 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.Timer.Now()
	return !slices.ContainsFunc(l[:i], func(h string) bool {
		return !n.Before(s.without[h]) && !slices.Contains(passed, h)
	})
}

// passOver keeps a host whose software hands out no permits from being asked for a while.
func (s *Service) passOver(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.without[host] = extend(s.without, s.Timer.Now(), withoutTime)
}

// extend drops what has passed from a map of times and returns the time d from now.
func extend(m map[string]time.Time, now time.Time, d time.Duration) time.Time {
	for h, t := range m {
		if !now.Before(t) {
			delete(m, h)
		}
	}
	return now.Add(d)
}

// ask asks a coordinator for a permit; an error means that it has not decided.
func (s *Service) ask(
	ctx context.Context, to string, passed []string, l upstreamlimit.Limit, r request,
) (permit.Permit, error) {
	if to == "" || s.isSilent(to) {
		return permit.Permit{}, errNoCoordinator
	}
	now := s.Timer.Now()
	k, cold := s.told(l.Upstream)
	q := &permitmessage.Ask{
		ColdNanoseconds: int64(cold),

		Limit: encodeLimit(now, k), Batch: r.batch, Peak: r.peak, WaitNanoseconds: int64(r.wait), Without: passed,
	}
	g, err := s.callCoordinator(ctx, to, q)
	s.observeAsk(s.Timer.Now().Sub(now))
	if ctx.Err() != nil {
		return permit.Permit{Limit: l}, nil // the caller has left
	}
	if err != nil {
		return permit.Permit{}, err
	}
	p := permit.Permit{
		Granted:     g.Granted,
		Wait:        time.Duration(g.WaitNanoseconds),
		CommittedIn: time.Duration(g.CommittedNanoseconds),
		PeakIn:      time.Duration(g.PeakNanoseconds),
		Saved:       g.Saved,
		Room:        int(g.Room),
		Limit:       l,
	}
	if k, ok := decodeLimit(s.Timer.Now(), g.Limit); ok {
		p.Limit = k
		s.merge([]upstreamlimit.Limit{k})
	}
	return p, nil
}

// callCoordinator calls a coordinator and returns at the timeout even if its session is stuck.
func (s *Service) callCoordinator(ctx context.Context, to string, q *permitmessage.Ask) (*permitmessage.Grant, error) {
	type result struct {
		body []byte
		err  error
	}
	b, err := proto.Marshal(q)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	w := s.group
	s.mu.Unlock()
	if w == nil {
		return nil, errNoCoordinator // this host has not started
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c := make(chan result, 1)
	w.Go("ask-permit", func(context.Context) error {
		a, err := s.Link.Call(ctx, to, methodAsk, b)
		c <- result{a, err}
		return nil
	})
	var r result
	select {
	case r = <-c:
	case <-ctx.Done():
		r.err = ctx.Err()
	}
	if r.err != nil {
		s.silence(to, r.err)
		return nil, r.err
	}
	g := &permitmessage.Grant{}
	if err := proto.Unmarshal(r.body, g); err != nil {
		return nil, err
	}
	if g.Elsewhere {
		return nil, errNoCoordinator
	}
	return g, nil
}

func (s *Service) handleAsk(_ context.Context, from string, body []byte) ([]byte, error) {
	q := &permitmessage.Ask{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-ask", err.Error())
	}
	l, ok := decodeLimit(s.Timer.Now(), q.Limit)
	if !ok {
		return nil, refusal.NewNotRun(400, "malformed-ask", "the ask names no upstream")
	}
	s.passOn(from, s.merge([]upstreamlimit.Limit{l}))
	s.hearCold(l, time.Duration(q.ColdNanoseconds))
	// A host that cannot take the upstream for cold as well, such as one that knows no rate yet, must not let it through.
	doubt := q.ColdNanoseconds > 0 && !s.isCold(l.Upstream)
	if doubt || !s.coordinates(l.Upstream, q.Without) {
		return proto.Marshal(&permitmessage.Grant{Elsewhere: true})
	}
	p := s.grant(l.Upstream, request{batch: q.Batch, peak: q.Peak, wait: min(time.Duration(q.WaitNanoseconds), maxWait)})
	g := &permitmessage.Grant{
		Granted:              p.Granted,
		WaitNanoseconds:      int64(p.Wait),
		CommittedNanoseconds: int64(p.CommittedIn),
		PeakNanoseconds:      int64(p.PeakIn),
		Saved:                p.Saved,
		Room:                 int64(p.Room),
	}
	if k, known := s.known(l.Upstream); known && k.Value != l.Value {
		g.Limit = encodeLimit(s.Timer.Now(), k)
	}
	return proto.Marshal(g)
}

// known returns what this host last heard of the limit of an upstream, also if that was its end.
func (s *Service) known(name string) (upstreamlimit.Limit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Last(name)
}

func (s *Service) isSilent(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Timer.Now().Before(s.silent[host])
}

// silence keeps this host from asking another one for a while, unless that answered that it hands out no permits.
func (s *Service) silence(host string, err error) {
	if refusal.Of(err).Code == codeUnknownMethod {
		return
	}
	s.count("coordinators-silent")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[host] = extend(s.silent, s.Timer.Now(), silentTime)
}
