package snapshot

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/memberset"
)

// ErrDamaged marks a received snapshot that does not match its checksum.
var ErrDamaged = errors.New("snapshot: damaged on its way")

const (
	version        = 1
	magic          = "siskinsn"
	fixedBytes     = len(magic) + 2 + 8 + 8 + 4
	trailerBytes   = 4
	bufferBytes    = 64 << 10
	maxQuorumBytes = 1 << 16
)

var table = crc32.MakeTable(crc32.Castagnoli)

// header opens a snapshot's file.
type header struct {
	index  uint64
	term   uint64
	quorum memberset.Set
}

// writer appends to a file and sums what it writes.
type writer struct {
	disk files
	name string
	sum  uint32
	b    *bufio.Writer
}

func newWriter(d files, name string) *writer {
	w := &writer{disk: d, name: name}
	w.b = bufio.NewWriterSize(appender{d, name}, bufferBytes)
	return w
}

// Write implements io.Writer.Write.
func (w *writer) Write(b []byte) (int, error) {
	w.sum = crc32.Update(w.sum, table, b)
	return w.b.Write(b)
}

func (w *writer) header(h header) {
	q := h.quorum.Encode()
	b := append([]byte(nil), magic...)
	b = binary.BigEndian.AppendUint16(b, version)
	b = binary.BigEndian.AppendUint64(b, h.index)
	b = binary.BigEndian.AppendUint64(b, h.term)
	b = binary.BigEndian.AppendUint32(b, uint32(len(q)))
	_, _ = w.Write(append(b, q...))
}

func (w *writer) finish() error {
	if err := binary.Write(w.b, binary.BigEndian, w.sum); err != nil {
		return errors.Wrap(err, "write a snapshot")
	}
	if err := w.b.Flush(); err != nil {
		return errors.Wrap(err, "write a snapshot")
	}
	return errors.Wrap(w.disk.Sync(w.name), "sync a snapshot")
}

type appender struct {
	disk files
	name string
}

// Write implements io.Writer.Write.
func (a appender) Write(b []byte) (int, error) {
	if err := a.disk.Append(a.name, b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// section reads a file from a place to an end.
type section struct {
	disk files
	name string
	at   int64
	end  int64
}

func newReader(d files, name string, start, end int64) io.Reader {
	return bufio.NewReaderSize(&section{d, name, start, end}, bufferBytes)
}

// Read implements io.Reader.Read.
func (s *section) Read(b []byte) (int, error) {
	if s.at >= s.end {
		return 0, io.EOF
	}
	b = b[:min(int64(len(b)), s.end-s.at)]
	n, err := s.disk.ReadAt(s.name, b, s.at)
	s.at += int64(n)
	if err == nil && n == 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// readHeader returns the header of a file and the place where its data starts.
func readHeader(d files, name string) (header, int64, error) {
	size, err := d.Size(name)
	if err != nil {
		return header{}, 0, err
	}
	h, n, err := decodeHeader(newReader(d, name, 0, size))
	return h, int64(n), err
}

func decodeHeader(r io.Reader) (header, int, error) {
	b := make([]byte, fixedBytes)
	if _, err := io.ReadFull(r, b); err != nil {
		return header{}, 0, errors.Wrap(err, "read the header")
	}
	if string(b[:len(magic)]) != magic {
		return header{}, 0, errors.New("the header is damaged")
	}
	b = b[len(magic):]
	if v := binary.BigEndian.Uint16(b); v != version {
		return header{}, 0, errors.Newf("the format has version %d, this program knows %d", v, version)
	}
	h := header{index: binary.BigEndian.Uint64(b[2:]), term: binary.BigEndian.Uint64(b[10:])}
	n := binary.BigEndian.Uint32(b[18:])
	if n > maxQuorumBytes {
		return header{}, 0, errors.New("the header is damaged")
	}
	q := make([]byte, n)
	if _, err := io.ReadFull(r, q); err != nil {
		return header{}, 0, errors.Wrap(err, "read the header")
	}
	var err error
	h.quorum, err = memberset.NewSet(q)
	return h, fixedBytes + int(n), err
}

// verify compares a file with its checksum and returns its header.
func (s *Snapshot) verify(name string) (header, error) {
	size, err := s.Disk.Size(name)
	if err != nil {
		return header{}, err
	}
	if size < int64(fixedBytes+trailerBytes) {
		return header{}, errors.New("the snapshot is cut short")
	}
	sum := crc32.New(table)
	if _, err := io.Copy(sum, newReader(s.Disk, name, 0, size-trailerBytes)); err != nil {
		return header{}, err
	}
	var t [trailerBytes]byte
	if _, err := s.Disk.ReadAt(name, t[:], size-trailerBytes); err != nil {
		return header{}, err
	}
	if binary.BigEndian.Uint32(t[:]) != sum.Sum32() {
		return header{}, errors.New("the snapshot does not match its checksum")
	}
	h, _, err := readHeader(s.Disk, name)
	return h, err
}
