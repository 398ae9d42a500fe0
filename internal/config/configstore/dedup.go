package configstore

import (
	"crypto/sha256"

	"siskinrun/internal/config/change"
)

const (
	// maxOutcomes is the number of latest changes whose outcome is kept and returned to a resend.
	maxOutcomes = 4096
	// maxIDHashes is the number of older changes of which only a hash of the ID is kept, to refuse a resend.
	maxIDHashes = 65536

	idHashBytes = 16
)

// idHash is a truncated SHA-256 of a change's ID.
type idHash [idHashBytes]byte

// decision is a decided change and its outcome.
type decision struct {
	ID      string `json:"id"`
	Digest  []byte `json:"digest"`
	Outcome []byte `json:"outcome"`
	// Version is the version in force after the change.
	Version uint64 `json:"version"`
}

// dedupTable records decided changes: the latest with their outcomes, older ones by a hash of the ID.
type dedupTable struct {
	outcomes  map[string]decision
	order     []string
	idHashes  map[idHash]uint64
	hashOrder []idHash
	// droppedVersion is the version in force after the latest change of which not even the hash is kept.
	droppedVersion uint64
}

func newDedupTable() dedupTable {
	return dedupTable{outcomes: map[string]decision{}, idHashes: map[idHash]uint64{}}
}

func (t *dedupTable) find(id string) (decision, bool) {
	p, ok := t.outcomes[id]
	return p, ok
}

// mayHaveApplied reports whether a change without a recorded outcome may have been applied long ago.
func (t *dedupTable) mayHaveApplied(c *change.Change) bool {
	_, ok := t.idHashes[hashID(c.ID)]
	return ok || c.Base < t.droppedVersion
}

func (t *dedupTable) add(p decision, version uint64) {
	p.Version = version
	t.outcomes[p.ID] = p
	t.order = append(t.order, p.ID)
	for len(t.order) > maxOutcomes {
		o := t.outcomes[t.order[0]]
		delete(t.outcomes, o.ID)
		t.order[0] = ""
		t.order = t.order[1:]
		t.addHash(hashID(o.ID), o.Version)
	}
}

func (t *dedupTable) addHash(k idHash, version uint64) {
	t.idHashes[k] = version
	t.hashOrder = append(t.hashOrder, k)
	for len(t.hashOrder) > maxIDHashes {
		t.droppedVersion = max(t.droppedVersion, t.idHashes[t.hashOrder[0]])
		delete(t.idHashes, t.hashOrder[0])
		t.hashOrder = t.hashOrder[1:]
	}
}

func hashID(id string) idHash {
	h := sha256.Sum256([]byte(id))
	return idHash(h[:idHashBytes])
}
