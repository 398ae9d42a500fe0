package configstore

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
	"siskinrun/internal/config/validation"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
)

const (
	maxCommandBytes = 8 << 20
	// maxFields is the number of changed fields that a revision names.
	maxFields = 16
	// maxConflicts is the number of revisions that a conflict lists, each with up to maxConflictFields fields.
	maxConflicts      = 8
	maxConflictFields = 8
)

// Store applies changes to the configuration, each at most once.
type Store struct {
	current atomic.Pointer[configuration.Configuration]

	mu          sync.Mutex
	document    []byte
	dedup       dedupTable
	history     history
	subscribers []func(*configuration.Configuration)
}

// NewStore returns a store that holds version 0, the empty configuration.
func NewStore() *Store {
	r := &Store{dedup: newDedupTable()}
	r.current.Store(emptyConfiguration())
	return r
}

// View returns the version in force, which is the last one applied.
func (s *Store) View() *configuration.Configuration {
	return s.current.Load()
}

// Document returns the number of the version in force and the text of the last installed configuration, if any.
func (s *Store) Document() (version uint64, document []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.View().Version, s.document
}

// Subscribe calls f after each new version; it must be called before the first command.
func (s *Store) Subscribe(f func(*configuration.Configuration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// Versions returns the kept revisions, newest first, at most limit of them.
func (s *Store) Versions(limit int) []revision.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.newest(limit)
}

// Diff returns the fields in which version to differs from version from.
func (s *Store) Diff(from, to uint64) ([]difference.Difference, error) {
	s.mu.Lock()
	a, ok := s.version(from)
	b, found := s.version(to)
	s.mu.Unlock()
	if !ok {
		return nil, errors.Newf("version %d is not kept", from)
	}
	if !found {
		return nil, errors.Newf("version %d is not kept", to)
	}
	return difference.Between(a, b), nil
}

// Apply implements machine.Machine.Apply.
func (s *Store) Apply(_ uint64, command []byte) []byte {
	s.mu.Lock()
	old := s.View()
	o := s.applyOnce(command)
	now := s.View()
	l := s.subscribers
	s.mu.Unlock()
	if now != old {
		for _, f := range l {
			f(now)
		}
	}
	return o
}

// applyOnce decides a change, or returns the recorded outcome of a resent one.
func (s *Store) applyOnce(command []byte) []byte {
	if len(command) > maxCommandBytes {
		return encode(s.refuse(&change.Change{}, changeoutcome.Invalid, "the change is too large"))
	}
	c, err := change.Decode(command)
	if err != nil {
		return encode(s.refuse(&change.Change{}, changeoutcome.Invalid, err.Error()))
	}
	if c.Kind == change.Install {
		return encode(s.install(c))
	}
	d, err := c.Digest()
	if err != nil {
		return encode(s.refuse(c, changeoutcome.Invalid, err.Error()))
	}
	if p, ok := s.dedup.find(c.ID); ok {
		return s.answerResend(c, d, p)
	}
	if s.dedup.mayHaveApplied(c) {
		return encode(s.refuse(c, changeoutcome.Forgotten, "this change may have been applied long ago; compare the versions and use a new ID"))
	}
	b := encode(s.decide(c))
	s.dedup.add(decision{ID: c.ID, Digest: d[:], Outcome: b}, s.View().Version)
	return b
}

// install puts a whole configuration in force if its edition is higher than the current one; the first content of an edition wins.
func (s *Store) install(c *change.Change) *changeoutcome.Outcome {
	now := s.View()
	n, d, p := c.Apply(now, s.version)
	if len(p) > 0 {
		return s.refuseInvalid(c, p)
	}
	if c.Edition <= now.Edition {
		return s.refuse(c, changeoutcome.Superseded, fmt.Sprintf("edition %d is in force", now.Edition))
	}
	s.commit(c, now, n, d)
	s.document = c.Document
	return applied(c, n.Version)
}

// answerResend returns the recorded outcome of a resent change, or Reused if another change has taken its ID.
func (s *Store) answerResend(c *change.Change, digest [32]byte, p decision) []byte {
	if string(p.Digest) == string(digest[:]) {
		return p.Outcome
	}
	o := s.refuse(c, changeoutcome.Reused, "another change has used this ID")
	if f, err := changeoutcome.Decode(p.Outcome); err == nil {
		o.By = f.By
		o.Message = fmt.Sprintf("another change by %q has used this ID; it was %s at version %d", f.By, f.Status, f.Version)
	}
	return encode(o)
}

// decide applies the change if its base is the version in force.
func (s *Store) decide(c *change.Change) *changeoutcome.Outcome {
	now := s.View()
	switch c.Kind {
	case change.Retire, change.Form, change.BeginEvacuation, change.FinishEvacuation:
		// These do not depend on the rest of the configuration, so any base will do.
		c.Base = now.Version
	}
	if c.Base > now.Version {
		return s.refuse(c, changeoutcome.Invalid, fmt.Sprintf("the base is newer than version %d", now.Version))
	}
	if c.Base < now.Version {
		return s.conflict(c)
	}
	n, d, p := c.Apply(now, s.version)
	if len(p) > 0 {
		return s.refuseInvalid(c, p)
	}
	s.commit(c, now, n, d)
	o := applied(c, n.Version)
	o.Base = c.Base
	return o
}

// applied returns the outcome, without a base, of a change that made a version.
func applied(c *change.Change, version uint64) *changeoutcome.Outcome {
	return &changeoutcome.Outcome{
		Status:   changeoutcome.Applied,
		ChangeID: c.ID,
		Version:  version,
		By:       c.By,
		Message:  fmt.Sprintf("made version %d", version),
	}
}

// commit puts the next version in force and records the inverse delta.
func (s *Store) commit(c *change.Change, now, n *configuration.Configuration, d *delta.Delta) {
	l := difference.FromDelta(now, d)
	s.history.add(event{
		Revision: revision.Revision{
			Version:  n.Version,
			ChangeID: c.ID,
			By:       c.By,
			At:       c.At,
			Kind:     c.Kind,
			Fields:   difference.Fields(l, maxFields),
			Changed:  len(l),
		},
		Inverse: d.Inverse(now),
	})
	s.current.Store(n)
}

func (s *Store) conflict(c *change.Change) *changeoutcome.Outcome {
	v := s.View().Version
	o := s.refuse(c, changeoutcome.Conflict, fmt.Sprintf("version %d is in force, not %d", v, c.Base))
	o.Conflicts = s.history.since(c.Base)
	if n := len(o.Conflicts); n > 0 {
		l := o.Conflicts[0]
		o.Message = fmt.Sprintf("%s; version %d was made by %q with change %s", o.Message, l.Version, l.By, l.ChangeID)
	}
	return o
}

// refuseInvalid refuses a change that has at least one problem.
func (s *Store) refuseInvalid(c *change.Change, p []validation.Problem) *changeoutcome.Outcome {
	o := s.refuse(c, changeoutcome.Invalid, p[0].Field+" "+p[0].Message)
	o.Problems = p[:min(len(p), maxProblems)]
	return o
}

func (s *Store) refuse(c *change.Change, status, message string) *changeoutcome.Outcome {
	return &changeoutcome.Outcome{
		Status:   status,
		ChangeID: c.ID,
		Base:     c.Base,
		Version:  s.View().Version,
		By:       c.By,
		Message:  message,
	}
}

// version rebuilds a kept version by applying inverse deltas to the one in force.
func (s *Store) version(v uint64) (*configuration.Configuration, bool) {
	return s.history.version(s.View(), v)
}

func encode(o *changeoutcome.Outcome) []byte {
	b, err := o.Encode()
	if err != nil {
		return []byte(`{"status":"invalid","message":"the outcome cannot be written"}`)
	}
	return b
}

func emptyConfiguration() *configuration.Configuration {
	return &configuration.Configuration{
		Teams:  map[string]team.Team{},
		Keys:   map[string]key.Key{},
		Routes: map[string]route.Route{},
		Models: map[string]model.Model{},
	}
}
