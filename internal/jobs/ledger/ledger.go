package ledger

import (
	"cmp"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/idempotency"
)

// storage keeps the contents of files and results by name.
type storage interface {
	// Create creates an empty file, replacing any existing one.
	Create(name string) error
	Append(name string, b []byte) error
	ReadAt(name string, b []byte, offset int64) error
	// Open returns a reader of the current contents, which stays readable after Remove.
	Open(name string) (io.ReadCloser, error)
	// Truncate shortens a file to size bytes and fails if the file is already shorter.
	Truncate(name string, size int64) error
	Remove(name string) error
	Names() ([]string, error)
	// Sync flushes all writes to stable storage.
	Sync() error
}

// teamKey is an idempotency key or a target, qualified by its team.
type teamKey struct {
	team string
	key  string
}

func (o teamKey) compare(p teamKey) int {
	return cmp.Or(cmp.Compare(o.team, p.team), cmp.Compare(o.key, p.key))
}

// Ledger is the state machine of one replica group; it implements machine.Machine.
type Ledger struct {
	// Storage keeps the contents of files and results.
	Storage storage

	mu    sync.Mutex
	index uint64
	term  uint64
	// now is the time of the last command by its leader's clock; it never goes back within a term.
	now         int64
	lastFence   uint64
	files       map[string]*file
	jobs        map[string]*job
	jobsByTeam  map[string][]string
	storedBytes map[string]int64
	queues      map[string]*queue
	sessions    map[string]*session
	leases      map[uint64]*lease
	deferred    []deferredItem
	keys        map[teamKey]*entry.Key
	records     *idempotency.Table
	// openTokens counts the tokens of open inline items by team and target.
	openTokens map[teamKey]int64
	// earliestDeadline is a lower bound on the deadlines of all sessions.
	earliestDeadline int64
}

// NewLedger returns an empty ledger over storage.
func NewLedger(s storage) *Ledger {
	l := &Ledger{Storage: s}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	l.index = 0
	l.term = 0
	l.now = 0
	l.lastFence = 0
	l.earliestDeadline = 0
	l.files = map[string]*file{}
	l.jobs = map[string]*job{}
	l.jobsByTeam = map[string][]string{}
	l.storedBytes = map[string]int64{}
	l.queues = map[string]*queue{}
	l.sessions = map[string]*session{}
	l.leases = map[uint64]*lease{}
	l.deferred = nil
	l.keys = map[teamKey]*entry.Key{}
	l.records = idempotency.NewTable()
	l.openTokens = map[teamKey]int64{}
}

// Apply implements machine.Machine.Apply.
func (l *Ledger) Apply(index uint64, command []byte) []byte {
	c := &entry.Command{}
	if err := proto.Unmarshal(command, c); err != nil {
		return encode(refused(400, "unreadable-command", "the command cannot be decoded"))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if index <= l.index {
		return encode(refused(409, "applied-before", "the command has already been applied"))
	}
	l.index = index
	l.advanceTime(c.Term, c.Now)
	return encode(l.dispatch(c))
}

// advanceTime advances the ledger's clock and expires the sessions whose deadline has passed.
func (l *Ledger) advanceTime(term uint64, now int64) {
	if term > l.term {
		l.term = term
		l.now = now
		l.rebaseDeadlines()
	}
	l.now = max(l.now, now)
	if len(l.sessions) > 0 && l.now > l.earliestDeadline {
		l.expireSessions()
	}
}

func (l *Ledger) dispatch(c *entry.Command) *entry.Answer {
	switch k := c.Kind.(type) {
	case *entry.Command_Begin:
		return l.begin(k.Begin)
	case *entry.Command_Chunk:
		return l.chunk(k.Chunk)
	case *entry.Command_Seal:
		return l.seal(k.Seal)
	case *entry.Command_Discard:
		return l.discard(k.Discard)
	case *entry.Command_Reserve:
		return l.reserve(k.Reserve)
	case *entry.Command_Accept:
		return l.accept(k.Accept)
	case *entry.Command_Take:
		return l.take(k.Take)
	case *entry.Command_Renew:
		return l.renew(k.Renew)
	case *entry.Command_Intend:
		return l.intend(k.Intend)
	case *entry.Command_Finish:
		return l.finish(k.Finish)
	case *entry.Command_Cancel:
		return l.cancel(k.Cancel)
	case *entry.Command_Sweep:
		return l.sweep()
	case *entry.Command_Open:
		return l.open(k.Open)
	case *entry.Command_Close:
		return l.close(k.Close)
	case *entry.Command_Submit:
		return l.submit(k.Submit)
	}
	return refused(400, "unknown-command", "the command has an unknown kind")
}

func refused(status int32, code, message string) *entry.Answer {
	return &entry.Answer{Refused: &entry.Refused{Status: status, Code: code, Message: message}}
}

func encode(a *entry.Answer) []byte {
	b, err := proto.Marshal(a)
	if err != nil {
		panic(errors.Wrap(err, "encode answer"))
	}
	return b
}

// must panics when storage fails, since a replica cannot continue without its state.
func must(err error) {
	if err != nil {
		panic(errors.Wrap(err, "ledger storage"))
	}
}
