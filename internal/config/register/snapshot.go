package register

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/configuration"
)

const (
	format           = 1
	maxSnapshotBytes = 1 << 30
)

// image is the whole state as a snapshot holds it.
type image struct {
	Format        int                          `json:"format"`
	Configuration *configuration.Configuration `json:"configuration"`
	Events        []event                      `json:"events"`
	Outcomes      []past                       `json:"outcomes"`
	Marks         []wornMark                   `json:"marks"`
	Horizon       uint64                       `json:"horizon"`
	Document      []byte                       `json:"document,omitempty"`
}

type wornMark struct {
	Mark    []byte `json:"mark"`
	Version uint64 `json:"version"`
}

// Snapshot implements machine.Machine.Snapshot.
func (r *Register) Snapshot(w io.Writer) error {
	return errors.Wrap(json.NewEncoder(w).Encode(r.image()), "write register")
}

// Restore implements machine.Machine.Restore.
func (r *Register) Restore(from io.Reader) error {
	i := &image{}
	if err := json.NewDecoder(io.LimitReader(from, maxSnapshotBytes)).Decode(i); err != nil {
		return errors.Wrap(err, "read register")
	}
	if i.Format != format {
		return errors.Newf("register has format %d, not %d", i.Format, format)
	}
	if i.Configuration == nil {
		return errors.New("register has no configuration")
	}
	m, err := remember(i)
	if err != nil {
		return err
	}
	h := history{events: i.Events}
	for _, e := range i.Events {
		if e.Back == nil {
			return errors.New("register has a version without its way back")
		}
		h.bytes += e.Size
	}
	if err := check(i.Configuration, &m, &h); err != nil {
		return err
	}
	r.replace(i, m, h)
	return nil
}

func (r *Register) replace(i *image, m memory, h history) {
	c := i.Configuration
	r.mu.Lock()
	r.memory = m
	r.history = h
	r.document = i.Document
	r.view.Store(c)
	s := r.subscribers
	r.mu.Unlock()
	for _, f := range s {
		f(c)
	}
}

func (r *Register) image() *image {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := &image{
		Format:        format,
		Configuration: r.View(),
		Events:        append([]event{}, r.history.events...),
		Horizon:       r.memory.horizon,
		Document:      r.document,
	}
	for _, id := range r.memory.order {
		i.Outcomes = append(i.Outcomes, r.memory.outcomes[id])
	}
	for _, k := range r.memory.worn {
		i.Marks = append(i.Marks, wornMark{Mark: k[:], Version: r.memory.marks[k]})
	}
	return i
}

func remember(i *image) (memory, error) {
	m := newMemory()
	m.horizon = i.Horizon
	for _, p := range i.Outcomes {
		m.outcomes[p.ID] = p
		m.order = append(m.order, p.ID)
	}
	for _, w := range i.Marks {
		if len(w.Mark) != markBytes {
			return m, errors.New("register has a mark of a wrong length")
		}
		k := mark(w.Mark)
		m.marks[k] = w.Version
		m.worn = append(m.worn, k)
	}
	return m, nil
}
