package compression

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// minBytes is the shortest message that is worth the CPU time of compression.
	minBytes = 1024
	// A message is sent uncompressed if compression leaves more than maxRatioNumerator/maxRatioDenominator of it.
	maxRatioNumerator   = 3
	maxRatioDenominator = 4
)

// ErrTooLong is returned for a message that is longer than the limit of its reader.
var ErrTooLong = errors.New("decompressed message exceeds the limit")

// Compressor compresses and decompresses messages. Its zero value is ready for use, also by several goroutines.
type Compressor struct {
	writers sync.Pool
	readers sync.Pool
}

// Compress returns the compressed message and true, or b and false if compression would save little.
func (c *Compressor) Compress(b []byte) ([]byte, bool) {
	if len(b) < minBytes {
		return b, false
	}
	var out bytes.Buffer
	w, ok := c.writers.Get().(*flate.Writer)
	if ok {
		w.Reset(&out)
	} else {
		w, _ = flate.NewWriter(&out, flate.BestSpeed) // BestSpeed is a valid level
	}
	defer c.writers.Put(w)
	if _, err := w.Write(b); err != nil {
		return b, false
	}
	if err := w.Close(); err != nil {
		return b, false
	}
	if out.Len() > len(b)*maxRatioNumerator/maxRatioDenominator {
		return b, false
	}
	return out.Bytes(), true
}

// Decompress returns the decompressed message, or ErrTooLong if it has more than limit bytes.
func (c *Compressor) Decompress(b []byte, limit int) ([]byte, error) {
	r, ok := c.readers.Get().(io.ReadCloser)
	if !ok {
		r = flate.NewReader(nil)
	}
	defer c.readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(b), nil); err != nil {
		return nil, errors.Wrap(err, "decompress message")
	}
	out, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress message")
	}
	if len(out) > limit {
		return nil, ErrTooLong
	}
	return out, nil
}
