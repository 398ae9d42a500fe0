package batch

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/leadership"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/signal"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/team"
	"siskinrun/internal/jobs/lease"
	"siskinrun/internal/jobs/ledger"
	"siskinrun/pkg/refusal"
)

const (
	// JobRetention is how long an ended job and its results are kept.
	JobRetention = 7 * 24 * time.Hour
	// DefaultWindow is the completion window of a job that sets none, and how long the idempotency key of a job
	// is kept.
	DefaultWindow = 24 * time.Hour
	// MaxWindow is the longest completion window of a job.
	MaxWindow = 6 * 24 * time.Hour
	// CallRetention is how long the answer of an online call that may not be repeated is kept.
	CallRetention = 24 * time.Hour
	// MaxClaimTTL is the longest lease on a claimed name: that of an upstream, which no build has asked for longer.
	MaxClaimTTL = 3 * time.Second

	// claimClockDrift allows for the clocks of former and new leaders running at different rates.
	claimClockDrift = 100 * time.Millisecond
)

// proposer calls the leaders of groups from any host.
type proposer interface {
	Propose(ctx context.Context, group uint32, command []byte) ([]byte, error)
	Confirm(ctx context.Context, group uint32) (time.Time, error)
	CallLeader(ctx context.Context, group uint32, method string, body []byte) ([]byte, error)
	Lead(group uint32) leadership.Status
}

// peers calls other hosts and registers the handlers of their calls.
type peers interface {
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
	Handle(method string, h rpc.Handler)
}

// directory looks up the configured teams and routes.
type directory interface {
	Team(name string) (team.Team, bool)
	// Target returns the target of an endpoint and model, by which their upstreams are found.
	Target(endpoint, model string) (target string, repeatable, ok bool)
}

// Service implements the batch API on one host.
type Service struct {
	// Groups is the number of groups that keep a ledger. Their numbers start at 1.
	Groups uint32
	// Replicas are the hosts that keep the ledgers.
	Replicas []string
	// Ledgers are the ledgers of this host by group.
	Ledgers map[uint32]*ledger.Ledger
	// Proposer calls the leaders of groups.
	Proposer proposer
	// Peers calls other hosts.
	Peers peers
	// Directory looks up teams and routes.
	Directory directory
	// CompletionTime returns the time from a job's creation to its deadline if the items of a target are leased by deadline, or
	// 0 if teams take turns. It is asked on the leader of the group; nil means that teams take turns.
	CompletionTime func(group uint32, target string) time.Duration
	// Timer provides the clock and sleeps.
	Timer *timer.Service
	// Random is the source of IDs.
	Random *rand.Rand
	// ClaimHosts, if set, returns the hosts that may hold claims. A new leader asks them which they hold and so need not wait for
	// leases of former leaders to end.
	ClaimHosts func() []string
	// Held, if set, returns the name under which this host claims, the names that it has claimed, and those that it has asked for.
	Held func() (holder string, names, asked []string)
	// Log receives the failures of background work.
	Log zerolog.Logger

	mu        sync.Mutex
	claims    map[uint32]*lease.Table
	lastSweep map[uint32]time.Time
	// waiting is signalled when a claim is refused since leases of former leaders may still be valid.
	waiting signal.Signal
	// starts counts the items that this host, as the leader, was asked to lease by deadline.
	starts map[groupTarget]uint64
}

// Register registers the handlers of calls from other hosts. It must be called before Run.
func (b *Service) Register() {
	b.claims = map[uint32]*lease.Table{}
	b.lastSweep = map[uint32]time.Time{}
	b.waiting = signal.NewSignal()
	b.starts = map[groupTarget]uint64{}
	for g := range b.Ledgers {
		b.claims[g] = lease.NewTable(MaxClaimTTL, claimClockDrift)
	}
	b.Peers.Handle(methodCommand, b.handleCommand)
	b.Peers.Handle(methodQuery, b.handleQuery)
	b.Peers.Handle(methodClaim, b.handleClaim)
	b.Peers.Handle(methodHeld, b.handleHeld)
}

// GroupOf returns the group of a name, by its hash.
func (b *Service) GroupOf(name string) uint32 {
	return 1 + uint32(xxhash.Sum64String(name)%uint64(b.Groups))
}

// keyGroup returns the group that keeps a team's idempotency key.
func (b *Service) keyGroup(team, key string) uint32 {
	return b.GroupOf(team + "\x00" + key)
}

// newID returns a random ID that contains its kind and group.
func (b *Service) newID(kind string, group uint32) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := strconv.FormatUint(b.Random.Uint64(), 36) + strconv.FormatUint(b.Random.Uint64(), 36)
	return kind + "-" + strconv.FormatUint(uint64(group), 10) + "-" + r
}

func (b *Service) randomGroup() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return 1 + b.Random.Uint32N(b.Groups)
}

// groupIn returns the group number that an ID made by newID contains, or a refusal if the ID is not of this kind.
func (b *Service) groupIn(kind, id string) (uint32, error) {
	p := strings.Split(id, "-")
	if len(p) != 3 || p[0] != kind {
		return 0, notFound(kind)
	}
	n, err := strconv.ParseUint(p[1], 10, 32)
	if err != nil || n < 1 || n > uint64(b.Groups) {
		return 0, notFound(kind)
	}
	return uint32(n), nil
}

func notFound(kind string) error {
	return refusal.NewNotRun(404, "no-such-"+kind, "the team has no such "+kind)
}
