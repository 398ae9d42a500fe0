package distribution

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/base/group"
	"siskinrun/internal/config/hoststatus"
	"siskinrun/internal/config/spreadwire"
)

const (
	methodStatus = "spread/status"

	statusTimeout = time.Second
	statusWorkers = 32
)

// Hosts asks every host for its status and returns the answers sorted by host name.
func (s *Service) Hosts(ctx context.Context) []hoststatus.Status {
	s.mu.Lock()
	domains, control := s.Domains, s.Control
	s.mu.Unlock()
	var names []string
	for n := range domains {
		names = append(names, n)
	}
	slices.Sort(names)
	l := make([]hoststatus.Status, len(names))
	g := group.NewGroup(ctx)
	for w := range min(statusWorkers, len(names)) {
		g.Go("status", func(ctx context.Context) error {
			for i := w; i < len(names); i += statusWorkers {
				l[i] = s.queryStatus(ctx, hoststatus.Status{
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

// queryStatus asks one host for its status.
func (s *Service) queryStatus(ctx context.Context, t hoststatus.Status) hoststatus.Status {
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
	t.Age = duration.Duration(w.AgeNanoseconds)
	return t
}

func (s *Service) handleStatus(context.Context, string, []byte) ([]byte, error) {
	w := &spreadwire.StatusAnswer{Version: s.View().Version, Fresh: s.Fresh()}
	if a, ok := s.Age(); ok {
		w.AgeNanoseconds = int64(a)
	}
	return proto.Marshal(w)
}
