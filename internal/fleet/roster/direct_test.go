package roster

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/link"
	"siskinrun/internal/base/timer"
)

// sends notes to whom news goes.
type sends struct {
	names []string
	mu    sync.Mutex
	to    []string
}

func (s *sends) Handle(string, link.Handler) {}
func (s *sends) Names() []string             { return s.names }

func (s *sends) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, context.Canceled
}

func (s *sends) Send(_ context.Context, to, _ string, _ []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.to = append(s.to, to)
	return true
}

// TestDriverHearsOfCallsAtOnce plays online calls in a fleet that is too large to tell every host: the host that
// drives the batch work of the upstream makes room only if it hears of them.
func TestDriverHearsOfCallsAtOnce(t *testing.T) {
	for _, c := range []struct {
		hosts int
		least int
		most  int
	}{{9, 8, 8}, {60, 1, 1}} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			is := is.New(t)
			s := &sends{}
			for i := range c.hosts {
				s.names = append(s.names, fmt.Sprint("h", i))
			}
			r := &Roster{
				Link: s, Name: "h0", FailureDomain: "d", Timer: timer.NewService(),
				Driver: func(string) string { return "h7" },
			}
			r.Busy("u", 1)
			r.group = group.NewGroup(t.Context())
			r.flush(t.Context())
			is.NoErr(r.group.Wait())
			is.True(slices.Contains(s.to, "h7"))
			is.True(len(s.to) >= c.least && len(s.to) <= c.most)
		})
	}
}
