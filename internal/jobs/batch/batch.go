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

	"siskinrun/internal/base/lead"
	"siskinrun/internal/base/link"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/team"
	"siskinrun/internal/jobs/lease"
	"siskinrun/internal/jobs/ledger"
	"siskinrun/pkg/refusal"
)

const (
	// JobKeep is how long a job and its results stay after its end.
	JobKeep = 7 * 24 * time.Hour
	// DefaultWindow is the window of a job that names none, and how long its key is remembered.
	DefaultWindow = 24 * time.Hour
	// MaxWindow is the longest window of a job.
	MaxWindow = 6 * 24 * time.Hour
	// CallKeep is how long the answer of an online call that may not be repeated is kept.
	CallKeep = 24 * time.Hour
	// LongestClaim is the longest lease on a name.
	LongestClaim = 5 * time.Second

	claimDrift = 100 * time.Millisecond
)

// proposer reaches the leaders of groups from any host.
type proposer interface {
	Propose(ctx context.Context, group uint32, command []byte) ([]byte, error)
	Confirm(ctx context.Context, group uint32) (time.Time, error)
	CallLeader(ctx context.Context, group uint32, method string, body []byte) ([]byte, error)
	Lead(group uint32) lead.Lead
}

// peers calls single hosts and registers what they may call here.
type peers interface {
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
	Handle(method string, h link.Handler)
}

// directory knows the teams and routes in force.
type directory interface {
	Team(name string) (team.Team, bool)
	// Target returns what leads to the upstreams of an endpoint and model.
	Target(endpoint, model string) (target string, repeatable, ok bool)
}

// Batch is the batch API of one host.
type Batch struct {
	// Groups is the number of groups that keep ledgers; their numbers start at 1.
	Groups uint32
	// Replicas are the hosts that keep the ledgers.
	Replicas []string
	// Ledgers are the ledgers that this host keeps, by group.
	Ledgers map[uint32]*ledger.Ledger
	// Proposer reaches the leaders of groups.
	Proposer proposer
	// Peers calls single hosts.
	Peers peers
	// Directory knows teams and routes.
	Directory directory
	// Timer tells the time.
	Timer *timer.Service
	// Random makes IDs.
	Random *rand.Rand
	// Log takes what goes wrong in the background.
	Log zerolog.Logger

	mu     sync.Mutex
	claims map[uint32]*lease.Table
	swept  map[uint32]time.Time
}

// Register offers this host's ledgers to the other hosts and must be called before Run.
func (b *Batch) Register() {
	b.claims = map[uint32]*lease.Table{}
	b.swept = map[uint32]time.Time{}
	for g := range b.Ledgers {
		b.claims[g] = lease.NewTable(LongestClaim, claimDrift)
	}
	b.Peers.Handle(methodCommand, b.handleCommand)
	b.Peers.Handle(methodQuery, b.handleQuery)
	b.Peers.Handle(methodClaim, b.handleClaim)
}

// GroupOf returns the group that keeps what is known by name only.
func (b *Batch) GroupOf(name string) uint32 {
	return 1 + uint32(xxhash.Sum64String(name)%uint64(b.Groups))
}

// keyGroup returns the group that keeps a team's idempotency key.
func (b *Batch) keyGroup(team, key string) uint32 {
	return b.GroupOf(team + "\x00" + key)
}

// newID returns an ID that names its group.
func (b *Batch) newID(kind string, group uint32) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := strconv.FormatUint(b.Random.Uint64(), 36) + strconv.FormatUint(b.Random.Uint64(), 36)
	return kind + "-" + strconv.FormatUint(uint64(group), 10) + "-" + r
}

func (b *Batch) randomGroup() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return 1 + b.Random.Uint32N(b.Groups)
}

// groupIn returns the group that an ID of a kind names.
func (b *Batch) groupIn(kind, id string) (uint32, error) {
	p := strings.Split(id, "-")
	if len(p) != 3 || p[0] != kind {
		return 0, noSuch(kind)
	}
	n, err := strconv.ParseUint(p[1], 10, 32)
	if err != nil || n < 1 || n > uint64(b.Groups) {
		return 0, noSuch(kind)
	}
	return uint32(n), nil
}

func noSuch(kind string) error {
	return refusal.NewNotRun(404, "no-such-"+kind, "the team has no such "+kind)
}
