package journal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
)

const (
	version        = 1
	magic          = "siskinwl"
	headerBytes    = len(magic) + 2 + 8 + 4
	frameHeadBytes = 8
	maxFrameBytes  = 64 << 20

	recordBallot byte = 1
	recordEntry  byte = 2
	recordReset  byte = 3
	recordKinds  byte = 3
)

var table = crc32.MakeTable(crc32.Castagnoli)

// encodeHeader returns the first bytes of a segment.
func encodeHeader(segment uint64) []byte {
	b := make([]byte, 0, headerBytes)
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint16(b, version)
	b = binary.BigEndian.AppendUint64(b, segment)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, table))
}

// checkHeader reports whether b opens with the header of a segment; torn says that it is cut short.
func checkHeader(b []byte, segment uint64) (torn bool, err error) {
	if len(b) < headerBytes {
		return true, nil
	}
	h := b[:headerBytes-4]
	if string(h[:len(magic)]) != magic || crc32.Checksum(h, table) != binary.BigEndian.Uint32(b[headerBytes-4:]) {
		return false, errors.New("the header is damaged")
	}
	if v := binary.BigEndian.Uint16(h[len(magic):]); v != version {
		return false, errors.Newf("the format has version %d, this program knows %d", v, version)
	}
	if n := binary.BigEndian.Uint64(h[len(magic)+2:]); n != segment {
		return false, errors.Newf("the header names segment %d", n)
	}
	return false, nil
}

// encodeFrame wraps records so that a copy elsewhere in any segment is not taken for a frame.
func encodeFrame(segment uint64, offset int64, records []byte) []byte {
	b := make([]byte, frameHeadBytes, frameHeadBytes+len(records))
	binary.BigEndian.PutUint32(b, uint32(len(records)))
	binary.BigEndian.PutUint32(b[4:], checksum(segment, offset, records))
	return append(b, records...)
}

// decodeFrame returns the records of the frame at offset, or false.
func decodeFrame(segment uint64, offset int64, b []byte) ([]byte, bool) {
	if len(b) < frameHeadBytes {
		return nil, false
	}
	n := int(binary.BigEndian.Uint32(b))
	if n == 0 || n > maxFrameBytes || n > len(b)-frameHeadBytes {
		return nil, false
	}
	r := b[frameHeadBytes : frameHeadBytes+n]
	if r[0] == 0 || r[0] > recordKinds {
		return nil, false
	}
	return r, checksum(segment, offset, r) == binary.BigEndian.Uint32(b[4:])
}

func checksum(segment uint64, offset int64, records []byte) uint32 {
	var p [16]byte
	binary.BigEndian.PutUint64(p[:], segment)
	binary.BigEndian.PutUint64(p[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(p[:], table), table, records)
}

func appendBallot(b []byte, t ballot.Ballot) []byte {
	b = append(b, recordBallot)
	b = binary.AppendUvarint(b, t.Term)
	b = appendBytes(b, []byte(t.Vote.Host))
	return appendBytes(b, []byte(t.Vote.Disk))
}

func appendEntry(b []byte, e logentry.Entry) []byte {
	b = append(b, recordEntry)
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	b = append(b, byte(e.Kind))
	return appendBytes(b, e.Data)
}

func appendReset(b []byte, index, term uint64) []byte {
	b = append(b, recordReset)
	b = binary.AppendUvarint(b, index)
	return binary.AppendUvarint(b, term)
}

func appendBytes(b, v []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(v)))
	return append(b, v...)
}

// reader takes records apart and remembers the first failure.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.bad = true
		return 0
	}
	c := r.b[0]
	r.b = r.b[1:]
	return c
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad = true
		r.b = nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.number()
	if n > uint64(len(r.b)) {
		r.bad = true
		r.b = nil
		return nil
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) ballot() ballot.Ballot {
	t := r.number()
	h := string(r.bytes())
	return ballot.Ballot{Term: t, Vote: identity.Identity{Host: h, Disk: string(r.bytes())}}
}

func (r *reader) entry() logentry.Entry {
	i := r.number()
	t := r.number()
	k := logentry.Kind(r.byte())
	return logentry.Entry{Index: i, Term: t, Kind: k, Data: r.bytes()}
}
