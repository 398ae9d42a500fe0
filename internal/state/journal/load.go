package journal

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

func (j *Journal) listSegments() ([]uint64, error) {
	all, err := j.Disk.List()
	if err != nil {
		return nil, errors.Wrap(err, "list the journal")
	}
	var n []uint64
	for _, f := range all {
		if !strings.HasSuffix(f, segmentSuffix) {
			continue
		}
		var s uint64
		if _, err := fmt.Sscanf(f, "%d"+segmentSuffix, &s); err != nil || segmentName(s) != f {
			return nil, errors.Newf("journal segment %s has a malformed name", f)
		}
		if len(n) > 0 && s != n[len(n)-1]+1 {
			return nil, errors.Newf("journal lacks segment %s", segmentName(n[len(n)-1]+1))
		}
		n = append(n, s)
	}
	return n, nil
}

// loadSegment replays one segment; only the final one may have a torn end.
func (j *Journal) loadSegment(p *replay, s uint64, final bool) error {
	b, err := j.Disk.Read(segmentName(s))
	if err != nil {
		return err
	}
	torn, err := checkHeader(b, s)
	if err != nil && !(final && isBlank(b)) {
		return err
	}
	if torn || err != nil {
		return j.removeUnfinished(s, final)
	}
	end := int64(headerBytes)
	for end < int64(len(b)) {
		r, ok := decodeFrame(s, end, b[end:])
		if !ok {
			break
		}
		if err := p.apply(r); err != nil {
			return errors.Wrapf(err, "at byte %d", end)
		}
		end += int64(frameHeadBytes + len(r))
	}
	if end < int64(len(b)) {
		if err := j.truncateTornEnd(s, b, end, final); err != nil {
			return err
		}
	}
	if end == int64(headerBytes) {
		return j.removeUnfinished(s, final)
	}
	j.segments = append(j.segments, segment{number: s, lastIndex: p.lastIndex()})
	j.size = end
	return nil
}

// truncateTornEnd removes a torn end. A valid frame after it shows that the bytes were damaged, not torn, and is an error.
func (j *Journal) truncateTornEnd(s uint64, b []byte, end int64, final bool) error {
	if !final {
		return errors.Newf("damage at byte %d of a segment that is not the last", end)
	}
	for o := end + 1; o < int64(len(b)); o++ {
		if _, ok := decodeFrame(s, o, b[o:]); ok {
			return errors.Newf("damage at byte %d before a valid frame at byte %d", end, o)
		}
	}
	if err := j.Disk.Truncate(segmentName(s), end); err != nil {
		return err
	}
	return j.Disk.Sync(segmentName(s))
}

// removeUnfinished removes a final segment that was being created when the host stopped.
func (j *Journal) removeUnfinished(s uint64, final bool) error {
	if !final {
		return errors.New("segment is cut short but is not the last")
	}
	if err := j.Disk.Remove(segmentName(s)); err != nil {
		return err
	}
	return j.Disk.SyncFolder()
}

// isBlank reports whether b holds only zeros, as does a file whose bytes never reached the disk.
func isBlank(b []byte) bool {
	return strings.Trim(string(b), "\x00") == ""
}
