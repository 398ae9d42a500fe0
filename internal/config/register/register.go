package register

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/config/delta"
	"siskinrun/internal/config/difference"
	"siskinrun/internal/config/revision"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
)

const (
	maxCommandBytes   = 8 << 20
	maxFields         = 16
	maxConflicts      = 8
	maxConflictFields = 8
)

// Register applies changes to the configuration, each once.
type Register struct {
	view atomic.Pointer[configuration.Configuration]

	mu          sync.Mutex
	document    []byte
	memory      memory
	history     history
	subscribers []func(*configuration.Configuration)
}

// NewRegister returns a register that holds version 0, which is empty.
func NewRegister() *Register {
	r := &Register{memory: newMemory()}
	r.view.Store(empty())
	return r
}

// View returns the version that was applied last.
func (r *Register) View() *configuration.Configuration {
	return r.view.Load()
}

// Document returns the version that was applied last as its operator wrote it, or nothing.
func (r *Register) Document() (version uint64, document []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.View().Version, r.document
}

// Subscribe calls f after each new version, and must be called before the first command.
func (r *Register) Subscribe(f func(*configuration.Configuration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// Versions returns the kept revisions, newest first, up to most of them.
func (r *Register) Versions(most int) []revision.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.newest(most)
}

// Diff returns the fields in which version to differs from version from.
func (r *Register) Diff(from, to uint64) ([]difference.Difference, error) {
	r.mu.Lock()
	a, ok := r.version(from)
	b, found := r.version(to)
	r.mu.Unlock()
	if !ok {
		return nil, errors.Newf("version %d is not kept", from)
	}
	if !found {
		return nil, errors.Newf("version %d is not kept", to)
	}
	return difference.Between(a, b), nil
}

// Apply implements machine.Machine.Apply.
func (r *Register) Apply(_ uint64, command []byte) []byte {
	r.mu.Lock()
	old := r.View()
	o := r.take(command)
	now := r.View()
	s := r.subscribers
	r.mu.Unlock()
	if now != old {
		for _, f := range s {
			f(now)
		}
	}
	return o
}

// take returns the first outcome of a change, making it if there is none yet.
func (r *Register) take(command []byte) []byte {
	if len(command) > maxCommandBytes {
		return encode(r.refuse(&change.Change{}, changeoutcome.Invalid, "the change is too large"))
	}
	c, err := change.Decode(command)
	if err != nil {
		return encode(r.refuse(&change.Change{}, changeoutcome.Invalid, err.Error()))
	}
	if c.Kind == change.Install {
		return encode(r.install(c))
	}
	d, err := c.Digest()
	if err != nil {
		return encode(r.refuse(c, changeoutcome.Invalid, err.Error()))
	}
	if p, ok := r.memory.find(c.ID); ok {
		return r.resent(c, d, p)
	}
	if r.memory.doubtful(c) {
		return encode(r.refuse(c, changeoutcome.Forgotten, "this change may have been applied long ago; compare the versions and use a new ID"))
	}
	b := encode(r.decide(c))
	r.memory.keep(past{ID: c.ID, Digest: d[:], Outcome: b}, r.View().Version)
	return b
}

// install puts a whole configuration in force if its edition is the highest; the first content of an edition stays.
func (r *Register) install(c *change.Change) *changeoutcome.Outcome {
	now := r.View()
	n, d, p := c.Apply(now, r.version)
	if len(p) > 0 {
		o := r.refuse(c, changeoutcome.Invalid, p[0].Field+" "+p[0].Message)
		o.Problems = p[:min(len(p), maxProblems)]
		return o
	}
	if c.Edition <= now.Edition {
		return r.refuse(c, changeoutcome.Superseded, fmt.Sprintf("edition %d is in force", now.Edition))
	}
	r.advance(c, now, n, d)
	r.document = c.Document
	return &changeoutcome.Outcome{
		Status:   changeoutcome.Applied,
		ChangeID: c.ID,
		Version:  n.Version,
		By:       c.By,
		Message:  fmt.Sprintf("made version %d", n.Version),
	}
}

// resent answers an ID that was seen before.
func (r *Register) resent(c *change.Change, digest [32]byte, p past) []byte {
	if string(p.Digest) == string(digest[:]) {
		return p.Outcome
	}
	o := r.refuse(c, changeoutcome.Reused, "another change has used this ID")
	if f, err := changeoutcome.Decode(p.Outcome); err == nil {
		o.By = f.By
		o.Message = fmt.Sprintf("another change by %q has used this ID; it was %s at version %d", f.By, f.Status, f.Version)
	}
	return encode(o)
}

// decide compares the version and applies the change.
func (r *Register) decide(c *change.Change) *changeoutcome.Outcome {
	now := r.View()
	if c.Kind == change.Retire || c.Kind == change.Form {
		// These do not depend on what else is in force.
		c.Base = now.Version
	}
	if c.Base > now.Version {
		return r.refuse(c, changeoutcome.Invalid, fmt.Sprintf("the base is newer than version %d", now.Version))
	}
	if c.Base < now.Version {
		return r.conflict(c)
	}
	n, d, p := c.Apply(now, r.version)
	if len(p) > 0 {
		o := r.refuse(c, changeoutcome.Invalid, p[0].Field+" "+p[0].Message)
		o.Problems = p[:min(len(p), maxProblems)]
		return o
	}
	r.advance(c, now, n, d)
	return &changeoutcome.Outcome{
		Status:   changeoutcome.Applied,
		ChangeID: c.ID,
		Base:     c.Base,
		Version:  n.Version,
		By:       c.By,
		Message:  fmt.Sprintf("made version %d", n.Version),
	}
}

// advance puts the next version in force and notes the way back.
func (r *Register) advance(c *change.Change, now, n *configuration.Configuration, d *delta.Delta) {
	l := difference.Of(now, d)
	r.history.add(event{
		Revision: revision.Revision{
			Version:  n.Version,
			ChangeID: c.ID,
			By:       c.By,
			At:       c.At,
			Kind:     c.Kind,
			Fields:   difference.Fields(l, maxFields),
			Changed:  len(l),
		},
		Back: d.Back(now),
	})
	r.view.Store(n)
}

func (r *Register) conflict(c *change.Change) *changeoutcome.Outcome {
	v := r.View().Version
	o := r.refuse(c, changeoutcome.Conflict, fmt.Sprintf("version %d is in force, not %d", v, c.Base))
	o.Conflicts = r.history.since(c.Base)
	if n := len(o.Conflicts); n > 0 {
		l := o.Conflicts[0]
		o.Message = fmt.Sprintf("%s; version %d was made by %q with change %s", o.Message, l.Version, l.By, l.ChangeID)
	}
	return o
}

func (r *Register) refuse(c *change.Change, status, message string) *changeoutcome.Outcome {
	return &changeoutcome.Outcome{
		Status:   status,
		ChangeID: c.ID,
		Base:     c.Base,
		Version:  r.View().Version,
		By:       c.By,
		Message:  message,
	}
}

// version returns a kept version by walking back from the one in force.
func (r *Register) version(v uint64) (*configuration.Configuration, bool) {
	return r.history.version(r.View(), v)
}

func encode(o *changeoutcome.Outcome) []byte {
	b, err := o.Encode()
	if err != nil {
		return []byte(`{"status":"invalid","message":"the outcome cannot be written"}`)
	}
	return b
}

func empty() *configuration.Configuration {
	return &configuration.Configuration{
		Teams:  map[string]team.Team{},
		Keys:   map[string]key.Key{},
		Routes: map[string]route.Route{},
		Models: map[string]model.Model{},
	}
}
