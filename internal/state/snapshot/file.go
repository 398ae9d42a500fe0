package snapshot

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/memberset"
)

// ErrCorrupt marks a received snapshot that does not match its checksum or the announced index and term.
var ErrCorrupt = errors.New("snapshot: damaged in transfer")

const (
	formatVersion    = 1
	magic            = "siskinsn"
	fixedHeaderBytes = len(magic) + 2 + 8 + 8 + 4 // magic, format version, index, term, length of the members
	trailerBytes     = 4                          // checksum
	bufferBytes      = 64 << 10
	maxMembersBytes  = 1 << 16
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header is the header of a snapshot file.
type header struct {
	index   uint64
	term    uint64
	members memberset.Set
}

// writer appends to a file and keeps the checksum of the bytes written.
type writer struct {
	disk     files
	name     string
	checksum uint32
	b        *bufio.Writer
}

func newWriter(d files, name string) *writer {
	w := &writer{disk: d, name: name}
	w.b = bufio.NewWriterSize(appender{d, name}, bufferBytes)
	return w
}

// Write implements io.Writer.Write.
func (w *writer) Write(b []byte) (int, error) {
	w.checksum = crc32.Update(w.checksum, castagnoli, b)
	return w.b.Write(b)
}

func (w *writer) writeHeader(h header) {
	q := h.members.Encode()
	b := append([]byte(nil), magic...)
	b = binary.BigEndian.AppendUint16(b, formatVersion)
	b = binary.BigEndian.AppendUint64(b, h.index)
	b = binary.BigEndian.AppendUint64(b, h.term)
	b = binary.BigEndian.AppendUint32(b, uint32(len(q)))
	_, _ = w.Write(append(b, q...))
}

func (w *writer) finish() error {
	if err := binary.Write(w.b, binary.BigEndian, w.checksum); err != nil {
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

// section reads a file from an offset to an end.
type section struct {
	disk   files
	name   string
	offset int64
	end    int64
}

func newReader(d files, name string, start, end int64) io.Reader {
	return bufio.NewReaderSize(&section{d, name, start, end}, bufferBytes)
}

// Read implements io.Reader.Read.
func (s *section) Read(b []byte) (int, error) {
	if s.offset >= s.end {
		return 0, io.EOF
	}
	b = b[:min(int64(len(b)), s.end-s.offset)]
	n, err := s.disk.ReadAt(s.name, b, s.offset)
	s.offset += int64(n)
	if err == nil && n == 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// readHeader returns the header of a file and the offset of its data.
func readHeader(d files, name string) (header, int64, error) {
	size, err := d.Size(name)
	if err != nil {
		return header{}, 0, err
	}
	h, n, err := decodeHeader(newReader(d, name, 0, size))
	return h, int64(n), err
}

func decodeHeader(r io.Reader) (header, int, error) {
	b := make([]byte, fixedHeaderBytes)
	if _, err := io.ReadFull(r, b); err != nil {
		return header{}, 0, errors.Wrap(err, "read the header")
	}
	if string(b[:len(magic)]) != magic {
		return header{}, 0, errors.New("snapshot header is damaged")
	}
	b = b[len(magic):]
	if v := binary.BigEndian.Uint16(b); v != formatVersion {
		return header{}, 0, errors.Newf("unsupported format version %d, want %d", v, formatVersion)
	}
	h := header{index: binary.BigEndian.Uint64(b[2:]), term: binary.BigEndian.Uint64(b[10:])}
	n := binary.BigEndian.Uint32(b[18:])
	if n > maxMembersBytes {
		return header{}, 0, errors.New("snapshot header is damaged")
	}
	q := make([]byte, n)
	if _, err := io.ReadFull(r, q); err != nil {
		return header{}, 0, errors.Wrap(err, "read the header")
	}
	var err error
	h.members, err = memberset.NewSet(q)
	return h, fixedHeaderBytes + int(n), err
}

// verify checks a file against its checksum and returns its header.
func (s *Store) verify(name string) (header, error) {
	size, err := s.Disk.Size(name)
	if err != nil {
		return header{}, err
	}
	if size < int64(fixedHeaderBytes+trailerBytes) {
		return header{}, errors.New("snapshot is cut short")
	}
	sum := crc32.New(castagnoli)
	if _, err := io.Copy(sum, newReader(s.Disk, name, 0, size-trailerBytes)); err != nil {
		return header{}, err
	}
	var t [trailerBytes]byte
	if _, err := s.Disk.ReadAt(name, t[:], size-trailerBytes); err != nil {
		return header{}, err
	}
	if binary.BigEndian.Uint32(t[:]) != sum.Sum32() {
		return header{}, errors.New("snapshot does not match its checksum")
	}
	h, _, err := readHeader(s.Disk, name)
	return h, err
}
