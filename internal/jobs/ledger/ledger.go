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
	// Create makes an empty file in place of any former one.
	Create(name string) error
	Append(name string, b []byte) error
	ReadAt(name string, b []byte, offset int64) error
	// Open returns the contents at this moment, readable also after Remove.
	Open(name string) (io.ReadCloser, error)
	// Cut shortens a file to size bytes and fails if it is shorter.
	Cut(name string, size int64) error
	Remove(name string) error
	Names() ([]string, error)
	// Sync makes all that was written durable.
	Sync() error
}

type owner struct {
	team string
	key  string
}

func (o owner) compare(p owner) int {
	return cmp.Or(cmp.Compare(o.team, p.team), cmp.Compare(o.key, p.key))
}

// Ledger is the state of one group of jobs; it implements machine.Machine.
type Ledger struct {
	// Storage keeps the contents of files and results.
	Storage storage

	mu       sync.Mutex
	index    uint64
	term     uint64
	now      int64
	fence    uint64
	files    map[string]*file
	jobs     map[string]*work
	owned    map[string][]string
	used     map[string]int64
	queues   map[string]*queue
	sessions map[string]*session
	leases   map[uint64]*lease
	deferred []deferral
	keys     map[owner]*entry.Key
	records  *idempotency.Table
	// tokens are those of the open inline items of each team and target.
	tokens map[owner]int64
	// soonest is a lower bound of the deadlines of all sessions.
	soonest int64
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
	l.fence = 0
	l.soonest = 0
	l.files = map[string]*file{}
	l.jobs = map[string]*work{}
	l.owned = map[string][]string{}
	l.used = map[string]int64{}
	l.queues = map[string]*queue{}
	l.sessions = map[string]*session{}
	l.leases = map[uint64]*lease{}
	l.deferred = nil
	l.keys = map[owner]*entry.Key{}
	l.records = idempotency.NewTable()
	l.tokens = map[owner]int64{}
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
		return encode(refused(409, "applied-before", "the command was applied before"))
	}
	l.index = index
	l.pass(c.Term, c.Now)
	return encode(l.dispatch(c))
}

// pass moves the ledger's time forward and ends the leases whose time has passed.
func (l *Ledger) pass(term uint64, now int64) {
	if term > l.term {
		l.term = term
		l.now = now
		l.rebase()
	}
	l.now = max(l.now, now)
	if len(l.sessions) > 0 && l.now > l.soonest {
		l.expire()
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
	return refused(400, "unknown-command", "the command is of an unknown kind")
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

// must ends the process when storage fails, since a replica may not go on without its state.
func must(err error) {
	if err != nil {
		panic(errors.Wrap(err, "ledger storage"))
	}
}
