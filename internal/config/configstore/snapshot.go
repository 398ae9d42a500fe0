package configstore

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/configuration"
)

const (
	snapshotFormat   = 1
	maxSnapshotBytes = 1 << 30
)

// snapshotState is the state as a snapshot stores it.
type snapshotState struct {
	Format        int                          `json:"format"`
	Configuration *configuration.Configuration `json:"configuration"`
	Events        []event                      `json:"events"`
	Outcomes      []decision                   `json:"outcomes"`
	IDHashes      []idHashEntry                `json:"marks"`
	Horizon       uint64                       `json:"horizon"`
	Document      []byte                       `json:"document,omitempty"`
}

type idHashEntry struct {
	Hash    []byte `json:"mark"`
	Version uint64 `json:"version"`
}

// Snapshot implements machine.Machine.Snapshot.
func (s *Store) Snapshot(w io.Writer) error {
	return errors.Wrap(json.NewEncoder(w).Encode(s.snapshotState()), "write configuration snapshot")
}

// Restore implements machine.Machine.Restore.
func (s *Store) Restore(from io.Reader) error {
	i := &snapshotState{}
	if err := json.NewDecoder(io.LimitReader(from, maxSnapshotBytes)).Decode(i); err != nil {
		return errors.Wrap(err, "read configuration snapshot")
	}
	if i.Format != snapshotFormat {
		return errors.Newf("configuration snapshot has format %d, not %d", i.Format, snapshotFormat)
	}
	if i.Configuration == nil {
		return errors.New("configuration snapshot has no configuration")
	}
	m, err := restoreDedup(i)
	if err != nil {
		return err
	}
	h := history{events: i.Events}
	for _, e := range i.Events {
		if e.Inverse == nil {
			return errors.New("configuration snapshot has a version without its inverse delta")
		}
		h.bytes += e.Size
	}
	if err := check(i.Configuration, &m, &h); err != nil {
		return err
	}
	s.replace(i, m, h)
	return nil
}

func (s *Store) replace(i *snapshotState, m dedupTable, h history) {
	c := i.Configuration
	s.mu.Lock()
	s.dedup = m
	s.history = h
	s.document = i.Document
	s.current.Store(c)
	l := s.subscribers
	s.mu.Unlock()
	for _, f := range l {
		f(c)
	}
}

func (s *Store) snapshotState() *snapshotState {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := &snapshotState{
		Format:        snapshotFormat,
		Configuration: s.View(),
		Events:        append([]event{}, s.history.events...),
		Horizon:       s.dedup.droppedVersion,
		Document:      s.document,
	}
	for _, id := range s.dedup.order {
		i.Outcomes = append(i.Outcomes, s.dedup.outcomes[id])
	}
	for _, k := range s.dedup.hashOrder {
		i.IDHashes = append(i.IDHashes, idHashEntry{Hash: k[:], Version: s.dedup.idHashes[k]})
	}
	return i
}

func restoreDedup(i *snapshotState) (dedupTable, error) {
	m := newDedupTable()
	m.droppedVersion = i.Horizon
	for _, p := range i.Outcomes {
		m.outcomes[p.ID] = p
		m.order = append(m.order, p.ID)
	}
	for _, w := range i.IDHashes {
		if len(w.Hash) != idHashBytes {
			return m, errors.New("configuration snapshot has a change ID hash of the wrong length")
		}
		k := idHash(w.Hash)
		m.idHashes[k] = w.Version
		m.hashOrder = append(m.hashOrder, k)
	}
	return m, nil
}
