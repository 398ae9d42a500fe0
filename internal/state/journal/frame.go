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
	formatVersion  = 1
	magic          = "siskinwl"
	headerBytes    = len(magic) + 2 + 8 + 4 // magic, format version, segment number, checksum
	frameHeadBytes = 8                      // length of the records, checksum
	maxFrameBytes  = 64 << 20

	recordBallot  byte = 1
	recordEntry   byte = 2
	recordReset   byte = 3 // a snapshot replaces the log
	maxRecordKind byte = 3
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeHeader returns the header of a segment.
func encodeHeader(segment uint64) []byte {
	b := make([]byte, 0, headerBytes)
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint16(b, formatVersion)
	b = binary.BigEndian.AppendUint64(b, segment)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// checkHeader checks that b starts with the header of a segment; torn reports that b is shorter than a header.
func checkHeader(b []byte, segment uint64) (torn bool, err error) {
	if len(b) < headerBytes {
		return true, nil
	}
	h := b[:headerBytes-4]
	if string(h[:len(magic)]) != magic || crc32.Checksum(h, castagnoli) != binary.BigEndian.Uint32(b[headerBytes-4:]) {
		return false, errors.New("segment header is damaged")
	}
	if v := binary.BigEndian.Uint16(h[len(magic):]); v != formatVersion {
		return false, errors.Newf("unsupported format version %d, want %d", v, formatVersion)
	}
	if n := binary.BigEndian.Uint64(h[len(magic)+2:]); n != segment {
		return false, errors.Newf("header belongs to segment %d", n)
	}
	return false, nil
}

// encodeFrame frames records with a checksum that covers the segment and the offset, so that a copy of the frame
// elsewhere in any segment is not valid.
func encodeFrame(segment uint64, offset int64, records []byte) []byte {
	b := make([]byte, frameHeadBytes, frameHeadBytes+len(records))
	binary.BigEndian.PutUint32(b, uint32(len(records)))
	binary.BigEndian.PutUint32(b[4:], checksum(segment, offset, records))
	return append(b, records...)
}

// decodeFrame returns the records of the frame at offset and reports whether the frame is valid.
func decodeFrame(segment uint64, offset int64, b []byte) ([]byte, bool) {
	if len(b) < frameHeadBytes {
		return nil, false
	}
	n := int(binary.BigEndian.Uint32(b))
	if n == 0 || n > maxFrameBytes || n > len(b)-frameHeadBytes {
		return nil, false
	}
	r := b[frameHeadBytes : frameHeadBytes+n]
	if r[0] == 0 || r[0] > maxRecordKind {
		return nil, false
	}
	return r, checksum(segment, offset, r) == binary.BigEndian.Uint32(b[4:])
}

func checksum(segment uint64, offset int64, records []byte) uint32 {
	var p [16]byte
	binary.BigEndian.PutUint64(p[:], segment)
	binary.BigEndian.PutUint64(p[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(p[:], castagnoli), castagnoli, records)
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

// recordReader decodes records. A failed read sets malformed and returns a zero value.
type recordReader struct {
	b         []byte
	malformed bool
}

func (r *recordReader) byte() byte {
	if len(r.b) == 0 {
		r.malformed = true
		return 0
	}
	c := r.b[0]
	r.b = r.b[1:]
	return c
}

func (r *recordReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.malformed = true
		r.b = nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *recordReader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.b)) {
		r.malformed = true
		r.b = nil
		return nil
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v
}

func (r *recordReader) ballot() ballot.Ballot {
	t := r.uvarint()
	h := string(r.bytes())
	return ballot.Ballot{Term: t, Vote: identity.Identity{Host: h, Disk: string(r.bytes())}}
}

func (r *recordReader) entry() logentry.Entry {
	i := r.uvarint()
	t := r.uvarint()
	k := logentry.Kind(r.byte())
	return logentry.Entry{Index: i, Term: t, Kind: k, Data: r.bytes()}
}
