package journal

import (
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/recovered"
)

const (
	// SegmentBytes is the size after which a segment is closed and the next one opened.
	SegmentBytes = 4 << 20

	suffix = ".wal"
)

// Journal is the write-ahead log of one replica group.
type Journal struct {
	// Disk holds the segments.
	Disk files
	// SegmentBytes, if set, replaces the usual size of a segment.
	SegmentBytes int64

	segments []segment
	size     int64
	ballot   ballot.Ballot
	syncs    atomic.Uint64
	failed   error
}

// segment is one file and the last place that it names.
type segment struct {
	number uint64
	last   uint64
}

// files is what a journal needs of a data folder.
type files interface {
	Read(name string) ([]byte, error)
	List() ([]string, error)
	Append(name string, b []byte) error
	Sync(name string) error
	Truncate(name string, size int64) error
	Remove(name string) error
	SyncFolder() error
}

// Open reads all segments and returns what they hold; damage before the torn end is an error.
func (j *Journal) Open() (recovered.State, error) {
	if j.SegmentBytes == 0 {
		j.SegmentBytes = SegmentBytes
	}
	n, err := j.list()
	if err != nil {
		return recovered.State{}, err
	}
	p := &replay{}
	for i, s := range n {
		if err := j.load(p, s, i == len(n)-1); err != nil {
			return recovered.State{}, errors.Wrapf(err, "journal segment %s", name(s))
		}
	}
	j.ballot = p.Ballot
	return p.State, nil
}

// Append makes a ballot, if set, and entries durable with one sync; a failure is final.
func (j *Journal) Append(b *ballot.Ballot, entries []logentry.Entry) error {
	var r []byte
	if b != nil {
		j.ballot = *b
		r = appendBallot(r, *b)
	}
	last := uint64(0)
	for _, e := range entries {
		r = appendEntry(r, e)
		last = max(last, e.Index)
		if len(r) > maxFrameBytes/2 {
			if err := j.write(r, last); err != nil {
				return err
			}
			r = nil
		}
	}
	if len(r) == 0 {
		return nil
	}
	return j.write(r, last)
}

// Reset makes durable that a snapshot up to index, whose entry has term, replaces the log.
func (j *Journal) Reset(index, term uint64) error {
	return j.write(appendReset(nil, index, term), index)
}

// Compact removes the segments that hold nothing after index.
func (j *Journal) Compact(index uint64) error {
	removed := false
	for len(j.segments) > 1 && j.segments[0].last <= index {
		if err := j.Disk.Remove(name(j.segments[0].number)); err != nil {
			return j.fail(err)
		}
		j.segments = j.segments[1:]
		removed = true
	}
	if !removed {
		return nil
	}
	return j.fail(j.Disk.SyncFolder())
}

// Syncs returns how often the journal has synced a segment.
func (j *Journal) Syncs() uint64 {
	return j.syncs.Load()
}

// write puts records in one frame and syncs it.
func (j *Journal) write(records []byte, last uint64) error {
	if j.failed != nil {
		return j.failed
	}
	if len(j.segments) == 0 || j.size >= j.SegmentBytes {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	if err := j.frame(records); err != nil {
		return err
	}
	s := &j.segments[len(j.segments)-1]
	s.last = max(s.last, last)
	return nil
}

func (j *Journal) frame(records []byte) error {
	s := j.segments[len(j.segments)-1].number
	f := encodeFrame(s, j.size, records)
	if err := j.Disk.Append(name(s), f); err != nil {
		return j.fail(err)
	}
	j.size += int64(len(f))
	j.syncs.Add(1)
	return j.fail(j.Disk.Sync(name(s)))
}

// rotate opens the next segment, which starts with the ballot so that older ones can go.
func (j *Journal) rotate() error {
	n := uint64(1)
	last := uint64(0)
	if len(j.segments) > 0 {
		s := j.segments[len(j.segments)-1]
		n = s.number + 1
		last = s.last
	}
	h := encodeHeader(n)
	if err := j.Disk.Append(name(n), h); err != nil {
		return j.fail(err)
	}
	j.segments = append(j.segments, segment{number: n, last: last})
	j.size = int64(len(h))
	if err := j.frame(appendBallot(nil, j.ballot)); err != nil {
		return err
	}
	return j.fail(j.Disk.SyncFolder())
}

// fail keeps the first failure, since what a failed sync left on the disk is unknown.
func (j *Journal) fail(err error) error {
	if err == nil {
		return nil
	}
	if j.failed == nil {
		j.failed = errors.Wrap(err, "the journal can't be written")
	}
	return j.failed
}

func (j *Journal) list() ([]uint64, error) {
	all, err := j.Disk.List()
	if err != nil {
		return nil, errors.Wrap(err, "list the journal")
	}
	var n []uint64
	for _, f := range all {
		if !strings.HasSuffix(f, suffix) {
			continue
		}
		var s uint64
		if _, err := fmt.Sscanf(f, "%d"+suffix, &s); err != nil || name(s) != f {
			return nil, errors.Newf("the journal has a file with the odd name %s", f)
		}
		if len(n) > 0 && s != n[len(n)-1]+1 {
			return nil, errors.Newf("the journal lacks segment %s", name(n[len(n)-1]+1))
		}
		n = append(n, s)
	}
	return n, nil
}

// load reads one segment; only the end of the final one may be torn.
func (j *Journal) load(p *replay, s uint64, final bool) error {
	b, err := j.Disk.Read(name(s))
	if err != nil {
		return err
	}
	torn, err := checkHeader(b, s)
	if err != nil && !(final && isBlank(b)) {
		return err
	}
	if torn || err != nil {
		return j.drop(s, final)
	}
	end := int64(headerBytes)
	for end < int64(len(b)) {
		r, ok := decodeFrame(s, end, b[end:])
		if !ok {
			break
		}
		if err := p.take(r); err != nil {
			return errors.Wrapf(err, "at byte %d", end)
		}
		end += int64(frameHeadBytes + len(r))
	}
	if end < int64(len(b)) {
		if err := j.cut(s, b, end, final); err != nil {
			return err
		}
	}
	if end == int64(headerBytes) {
		return j.drop(s, final)
	}
	j.segments = append(j.segments, segment{number: s, last: p.last()})
	j.size = end
	return nil
}

// cut removes a torn end, unless whole frames after it show that it is damage.
func (j *Journal) cut(s uint64, b []byte, end int64, final bool) error {
	if !final {
		return errors.Newf("damage at byte %d, and later segments follow", end)
	}
	for o := end + 1; o < int64(len(b)); o++ {
		if _, ok := decodeFrame(s, o, b[o:]); ok {
			return errors.Newf("damage at byte %d, and a whole frame follows at %d", end, o)
		}
	}
	if err := j.Disk.Truncate(name(s), end); err != nil {
		return err
	}
	return j.Disk.Sync(name(s))
}

// drop removes a segment that was being made when the host stopped.
func (j *Journal) drop(s uint64, final bool) error {
	if !final {
		return errors.New("the header is cut short, and later segments follow")
	}
	if err := j.Disk.Remove(name(s)); err != nil {
		return err
	}
	return j.Disk.SyncFolder()
}

// isBlank reports whether b holds nothing but zeros, as a file does whose bytes never reached the disk.
func isBlank(b []byte) bool {
	return strings.Trim(string(b), "\x00") == ""
}

func name(segment uint64) string {
	return fmt.Sprintf("%016d%s", segment, suffix)
}
