package batch

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/leadership"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/team"
	"siskinrun/internal/jobs/filestore"
	"siskinrun/internal/jobs/ledger"
	"siskinrun/pkg/refusal"
)

const fakeGroups = 3

// fakeControl is a control host that leads all groups, and the connection of all hosts to it.
type fakeControl struct {
	mu       sync.Mutex
	ledgers  map[uint32]*ledger.Ledger
	index    map[uint32]uint64
	handlers map[string]rpc.Handler
	// dropAnswer, if set, reports whether to drop the answer of a call after it was handled.
	dropAnswer func(method string) bool
	// unreachable makes the leaders unreachable.
	unreachable bool
	// ledSince, if set, is when the host became the leader of all groups.
	ledSince time.Time
	// silent is the host that answers no calls of peers.
	silent string
}

func newControl(t *testing.T) *fakeControl {
	c := &fakeControl{
		ledgers:  map[uint32]*ledger.Ledger{},
		index:    map[uint32]uint64{},
		handlers: map[string]rpc.Handler{},
	}
	for g := uint32(1); g <= fakeGroups; g++ {
		f, err := filestore.NewStore(t.TempDir())
		is.New(t).NoErr(err)
		t.Cleanup(f.Close)
		c.ledgers[g] = ledger.NewLedger(f)
	}
	return c
}

func (c *fakeControl) Propose(_ context.Context, g uint32, b []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index[g]++
	return c.ledgers[g].Apply(c.index[g], b), nil
}

func (c *fakeControl) Confirm(context.Context, uint32) (time.Time, error) {
	return time.Now(), nil
}

func (c *fakeControl) CallLeader(ctx context.Context, _ uint32, method string, body []byte) ([]byte, error) {
	if c.unreachable {
		return nil, refusal.NewNotRun(503, "peer-unreachable", "")
	}
	a, err := c.handlers[method](ctx, "", body)
	if c.dropAnswer != nil && c.dropAnswer(method) {
		return nil, refusal.NewMayHaveRun(504, "peer-lost", "")
	}
	return a, err
}

func (c *fakeControl) Lead(uint32) leadership.Status {
	since := time.Now().Add(-time.Hour)
	if !c.ledSince.IsZero() {
		since = c.ledSince
	}
	return leadership.Status{Leading: true, Term: 1, Since: since, Until: time.Now().Add(time.Hour)}
}

func (c *fakeControl) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	if to != "" && to == c.silent {
		return nil, refusal.NewNotRun(503, "peer-unreachable", "")
	}
	return c.handlers[method](ctx, "", body)
}

func (c *fakeControl) Handle(method string, h rpc.Handler) {
	c.handlers[method] = h
}

// fakeDirectory has three teams and two routes.
type fakeDirectory struct{}

func (fakeDirectory) Team(name string) (team.Team, bool) {
	switch name {
	case "small":
		return team.Team{MaxStoredBytes: 400}, true
	case "large", "other":
		return team.Team{}, true
	}
	return team.Team{}, false
}

func (fakeDirectory) Target(endpoint, model string) (string, bool, bool) {
	switch endpoint {
	case "/v1/chat/completions":
		return model, true, model != ""
	case "/invoice":
		return endpoint, false, true
	}
	return "", false, false
}

// newHosts returns a control, the service of its host and that of a host without ledgers.
func newHosts(t *testing.T) (*fakeControl, *Service, *Service) {
	c := newControl(t)
	s := timer.NewService()
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("timer", s.Run)
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	b := make([]*Service, 2)
	for i := range b {
		b[i] = &Service{
			Groups:    fakeGroups,
			Replicas:  []string{"control"},
			Proposer:  c,
			Peers:     c,
			Directory: fakeDirectory{},
			Timer:     s,
			Random:    rand.New(rand.NewPCG(uint64(i), 7)),
		}
	}
	b[0].Ledgers = c.ledgers
	b[0].Register()
	return c, b[0], b[1]
}
