package packing

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// least is the length in bytes from which a message is worth the processor time.
	least = 1024
	// worthParts of worthWhole is the length that a packed message may have, else it goes out as it is.
	worthParts = 3
	worthWhole = 4
)

// ErrTooLong says that a message is longer than its reader takes.
var ErrTooLong = errors.New("packing: the message is too long")

// Packing packs and unpacks messages; its zero value is ready and safe for concurrent use.
type Packing struct {
	writers sync.Pool
	readers sync.Pool
}

// Pack returns the message packed and true, or as it is if that would save little.
func (p *Packing) Pack(b []byte) ([]byte, bool) {
	if len(b) < least {
		return b, false
	}
	var out bytes.Buffer
	w, ok := p.writers.Get().(*flate.Writer)
	if ok {
		w.Reset(&out)
	} else {
		w, _ = flate.NewWriter(&out, flate.BestSpeed) // the level is a valid one
	}
	defer p.writers.Put(w)
	if _, err := w.Write(b); err != nil {
		return b, false
	}
	if err := w.Close(); err != nil {
		return b, false
	}
	if out.Len() > len(b)*worthParts/worthWhole {
		return b, false
	}
	return out.Bytes(), true
}

// Unpack returns the message that was packed, which may have up to most bytes.
func (p *Packing) Unpack(b []byte, most int) ([]byte, error) {
	r, ok := p.readers.Get().(io.ReadCloser)
	if !ok {
		r = flate.NewReader(nil)
	}
	defer p.readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(b), nil); err != nil {
		return nil, errors.Wrap(err, "unpack a message")
	}
	out, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack a message")
	}
	if len(out) > most {
		return nil, ErrTooLong
	}
	return out, nil
}
