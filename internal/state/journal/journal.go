package journal

import (
	"fmt"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/recovered"
)

const (
	// SegmentBytes is the size from which the next write opens a new segment.
	SegmentBytes = 4 << 20

	segmentSuffix = ".wal"
)

// Journal is the write-ahead log of one replica group.
type Journal struct {
	// Disk holds the segments.
	Disk files
	// SegmentBytes, if set, replaces the default segment size.
	SegmentBytes int64

	segments []segment
	size     int64
	ballot   ballot.Ballot
	syncs    atomic.Uint64
	failed   error
}

// segment is one file and the highest log index written up to its end.
type segment struct {
	number    uint64
	lastIndex uint64
}

// files is the part of a data folder that a journal uses.
type files interface {
	Read(name string) ([]byte, error)
	List() ([]string, error)
	Append(name string, b []byte) error
	Sync(name string) error
	Truncate(name string, size int64) error
	Remove(name string) error
	SyncFolder() error
}

// Open reads all segments and returns their contents. It truncates a torn end; corruption before that is an error.
func (j *Journal) Open() (recovered.State, error) {
	if j.SegmentBytes == 0 {
		j.SegmentBytes = SegmentBytes
	}
	n, err := j.listSegments()
	if err != nil {
		return recovered.State{}, err
	}
	p := &replay{}
	for i, s := range n {
		if err := j.loadSegment(p, s, i == len(n)-1); err != nil {
			return recovered.State{}, errors.Wrapf(err, "journal segment %s", segmentName(s))
		}
	}
	j.ballot = p.Ballot
	return p.State, nil
}

// Append writes a ballot, if set, and entries and makes them durable, with one sync unless they fill more than half of
// the largest frame. After a failure, all later writes fail.
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
			if err := j.writeRecords(r, last); err != nil {
				return err
			}
			r = nil
		}
	}
	if len(r) == 0 {
		return nil
	}
	return j.writeRecords(r, last)
}

// Reset durably records that a snapshot up to index, whose entry has term, replaces the log.
func (j *Journal) Reset(index, term uint64) error {
	return j.writeRecords(appendReset(nil, index, term), index)
}

// Compact removes the oldest segments while they hold no entry after index; the current segment stays.
func (j *Journal) Compact(index uint64) error {
	removed := false
	for len(j.segments) > 1 && j.segments[0].lastIndex <= index {
		if err := j.Disk.Remove(segmentName(j.segments[0].number)); err != nil {
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

// Syncs returns the number of segment syncs since the start.
func (j *Journal) Syncs() uint64 {
	return j.syncs.Load()
}

// writeRecords writes records as one frame and syncs it.
func (j *Journal) writeRecords(records []byte, last uint64) error {
	if j.failed != nil {
		return j.failed
	}
	if len(j.segments) == 0 || j.size >= j.SegmentBytes {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	if err := j.writeFrame(records); err != nil {
		return err
	}
	s := &j.segments[len(j.segments)-1]
	s.lastIndex = max(s.lastIndex, last)
	return nil
}

func (j *Journal) writeFrame(records []byte) error {
	s := j.segments[len(j.segments)-1].number
	f := encodeFrame(s, j.size, records)
	if err := j.Disk.Append(segmentName(s), f); err != nil {
		return j.fail(err)
	}
	j.size += int64(len(f))
	j.syncs.Add(1)
	return j.fail(j.Disk.Sync(segmentName(s)))
}

// rotate opens the next segment, which starts with the ballot so that older segments can be removed.
func (j *Journal) rotate() error {
	n := uint64(1)
	last := uint64(0)
	if len(j.segments) > 0 {
		s := j.segments[len(j.segments)-1]
		n = s.number + 1
		last = s.lastIndex
	}
	h := encodeHeader(n)
	if err := j.Disk.Append(segmentName(n), h); err != nil {
		return j.fail(err)
	}
	j.segments = append(j.segments, segment{number: n, lastIndex: last})
	j.size = int64(len(h))
	if err := j.writeFrame(appendBallot(nil, j.ballot)); err != nil {
		return err
	}
	return j.fail(j.Disk.SyncFolder())
}

// fail keeps the first failure, because it is unknown what a failed sync left on the disk.
func (j *Journal) fail(err error) error {
	if err == nil {
		return nil
	}
	if j.failed == nil {
		j.failed = errors.Wrap(err, "write the journal")
	}
	return j.failed
}

func segmentName(segment uint64) string {
	return fmt.Sprintf("%016d%s", segment, segmentSuffix)
}
