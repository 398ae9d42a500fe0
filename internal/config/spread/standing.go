package spread

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/span"
	"siskinrun/internal/config/spreadwire"
	"siskinrun/internal/config/status"
)

const (
	methodStatus = "spread/status"

	statusTimeout = time.Second
	statusWorkers = 32
)

// Hosts asks every host how it stands and returns the answers in order of the hosts' names.
func (s *Spread) Hosts(ctx context.Context) []status.Status {
	s.mu.Lock()
	domains, control := s.Domains, s.Control
	s.mu.Unlock()
	var names []string
	for n := range domains {
		names = append(names, n)
	}
	slices.Sort(names)
	l := make([]status.Status, len(names))
	g := group.NewGroup(ctx)
	for w := range min(statusWorkers, len(names)) {
		g.Go("status", func(ctx context.Context) error {
			for i := w; i < len(names); i += statusWorkers {
				l[i] = s.host(ctx, status.Status{
					Host:          names[i],
					FailureDomain: domains[names[i]],
					Control:       slices.Contains(control, names[i]),
				})
			}
			return nil
		})
	}
	_ = g.Wait()
	return l
}

// host asks one host how it stands.
func (s *Spread) host(ctx context.Context, t status.Status) status.Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	b, err := s.Link.Call(ctx, t.Host, methodStatus, nil)
	if err != nil {
		return t
	}
	w := &spreadwire.StatusAnswer{}
	if proto.Unmarshal(b, w) != nil {
		return t
	}
	t.Reachable = true
	t.Version = w.Version
	t.Fresh = w.Fresh
	t.Age = span.Span(w.AgeNanoseconds)
	return t
}

func (s *Spread) answerStatus(context.Context, string, []byte) ([]byte, error) {
	w := &spreadwire.StatusAnswer{Version: s.View().Version, Fresh: s.Fresh()}
	if a, ok := s.Age(); ok {
		w.AgeNanoseconds = int64(a)
	}
	return proto.Marshal(w)
}
