package compression_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/base/compression"
)

const limit = 1 << 20

func TestRoundTrip(t *testing.T) {
	noise := make([]byte, 5000)
	r := rand.NewChaCha8([32]byte{1})
	_, _ = r.Read(noise)
	for _, c := range []struct {
		name   string
		b      []byte
		packed bool
	}{
		{"empty", nil, false},
		{"short", bytes.Repeat([]byte("a"), 1000), false},
		{"repetitive", bytes.Repeat([]byte("host-12 domain-b "), 300), true},
		{"noise", noise, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &compression.Compressor{}
			for range 3 { // also reuses the pooled readers and writers
				b, packed := p.Compress(c.b)
				is.Equal(packed, c.packed)
				if packed {
					is.True(len(b) < len(c.b)/2)
					var err error
					b, err = p.Decompress(b, limit)
					is.NoErr(err)
				}
				is.True(bytes.Equal(b, c.b))
			}
		})
	}
}

func TestLongMessagesAreRefused(t *testing.T) {
	is := is.New(t)
	p := &compression.Compressor{}
	b, _ := p.Compress(make([]byte, limit+1))
	_, err := p.Decompress(b, limit)
	is.True(errors.Is(err, compression.ErrTooLong))
	_, err = p.Decompress(b[:len(b)/2], 2*limit)
	is.True(err != nil)
}

func FuzzDecompress(f *testing.F) {
	p := &compression.Compressor{}
	b, _ := p.Compress(bytes.Repeat([]byte("x"), 2000))
	f.Add(b)
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		if out, err := p.Decompress(b, limit); err == nil && len(out) > limit {
			t.Fatal("the message exceeds the limit of its reader")
		}
	})
}
