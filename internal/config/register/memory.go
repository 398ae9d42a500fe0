package register

import (
	"crypto/sha256"

	"siskinrun/internal/config/change"
)

const (
	// maxOutcomes is the number of changes whose outcome is told again in full.
	maxOutcomes = 4096
	// maxForgotten is the number of older changes whose IDs are still refused.
	maxForgotten = 65536

	markBytes = 16
)

// mark is a shortened hash of a change's ID.
type mark [markBytes]byte

// past is a change that was decided, with its outcome.
type past struct {
	ID      string `json:"id"`
	Digest  []byte `json:"digest"`
	Outcome []byte `json:"outcome"`
	// Version is the version in force after the change.
	Version uint64 `json:"version"`
}

// memory remembers outcomes of changes: the newest in full, older ones by a mark.
type memory struct {
	outcomes map[string]past
	order    []string
	marks    map[mark]uint64
	worn     []mark
	// horizon is the version in force after the newest change of which nothing is left.
	horizon uint64
}

func newMemory() memory {
	return memory{outcomes: map[string]past{}, marks: map[mark]uint64{}}
}

func (m *memory) find(id string) (past, bool) {
	p, ok := m.outcomes[id]
	return p, ok
}

// doubtful reports whether a change without an outcome may have been applied nevertheless.
func (m *memory) doubtful(c *change.Change) bool {
	_, ok := m.marks[markOf(c.ID)]
	return ok || c.Base < m.horizon
}

func (m *memory) keep(p past, version uint64) {
	p.Version = version
	m.outcomes[p.ID] = p
	m.order = append(m.order, p.ID)
	for len(m.order) > maxOutcomes {
		o := m.outcomes[m.order[0]]
		delete(m.outcomes, o.ID)
		m.order[0] = ""
		m.order = m.order[1:]
		m.wear(markOf(o.ID), o.Version)
	}
}

func (m *memory) wear(k mark, version uint64) {
	m.marks[k] = version
	m.worn = append(m.worn, k)
	for len(m.worn) > maxForgotten {
		m.horizon = max(m.horizon, m.marks[m.worn[0]])
		delete(m.marks, m.worn[0])
		m.worn = m.worn[1:]
	}
}

func markOf(id string) mark {
	h := sha256.Sum256([]byte(id))
	return mark(h[:markBytes])
}
