package ledger

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
)

const (
	// unsealedRetention is how long an unsealed file is kept.
	unsealedRetention = time.Hour
	// fileRetention is how long a file is kept that no job reads.
	fileRetention = 30 * 24 * time.Hour

	// maxIDBytes is the maximum length of the ID of a file or job.
	maxIDBytes = 64

	filePrefix   = "file-"
	resultPrefix = "result-"
)

type file struct {
	info *entry.File
	// lineStarts are the byte offsets of the lines.
	lineStarts []int64
}

func (f *file) name() string {
	return filePrefix + f.info.Id
}

// lineBounds returns the offsets at which a line starts and ends, without its newline.
func (f *file) lineBounds(i int) (start, end int64) {
	if i+1 < len(f.lineStarts) {
		return f.lineStarts[i], f.lineStarts[i+1] - 1
	}
	return f.lineStarts[i], f.info.Bytes - 1
}

func (l *Ledger) begin(b *entry.Begin) *entry.Answer {
	f := l.files[b.File]
	if f != nil {
		return &entry.Answer{File: fileView(f)}
	}
	if !validID(b.File) {
		return invalidID()
	}
	if b.Limit > 0 && l.storedBytes[b.Team]+b.Elsewhere >= b.Limit {
		return overQuota()
	}
	f = &file{info: &entry.File{
		Id:        b.File,
		Team:      b.Team,
		Name:      b.Name,
		Purpose:   b.Purpose,
		Created:   l.now,
		Limit:     b.Limit,
		Elsewhere: b.Elsewhere,
	}}
	must(l.Storage.Create(f.name()))
	l.files[b.File] = f
	return &entry.Answer{File: fileView(f)}
}

func (l *Ledger) chunk(c *entry.Chunk) *entry.Answer {
	f := l.files[c.File]
	if f == nil {
		return noSuchFile()
	}
	s := f.info
	if c.Offset+int64(len(c.Data)) <= s.Bytes {
		return &entry.Answer{File: fileView(f)}
	}
	if s.Sealed || c.Offset != s.Bytes {
		return refused(409, "out-of-order", "the offset of the chunk is not the end of the file, or the file is sealed")
	}
	if c.Data[len(c.Data)-1] != '\n' {
		return refused(400, "broken-line", "the chunk does not end with a newline")
	}
	if s.Limit > 0 && l.storedBytes[s.Team]+s.Elsewhere+int64(len(c.Data)) > s.Limit {
		return overQuota()
	}
	must(l.Storage.Append(f.name(), c.Data))
	f.addLines(c.Data)
	l.addStoredBytes(s.Team, int64(len(c.Data)))
	return &entry.Answer{File: fileView(f)}
}

func (f *file) addLines(b []byte) {
	o := f.info.Bytes
	f.info.Bytes += int64(len(b))
	for len(b) > 0 {
		n := bytes.IndexByte(b, '\n') + 1
		f.lineStarts = append(f.lineStarts, o)
		o += int64(n)
		b = b[n:]
	}
	f.info.Lines = uint32(len(f.lineStarts))
}

func (l *Ledger) seal(c *entry.Seal) *entry.Answer {
	f := l.files[c.File]
	if f == nil {
		return noSuchFile()
	}
	s := f.info
	if s.Bytes != c.Bytes {
		return refused(409, "out-of-order", "the size of the file differs from the stored bytes")
	}
	if !s.Sealed {
		s.Sealed = true
		s.Hash = c.Hash
		s.Model = c.Model
		s.Endpoint = c.Endpoint
		f.lineStarts = append(make([]int64, 0, len(f.lineStarts)), f.lineStarts...)
	}
	return &entry.Answer{File: fileView(f)}
}

func (l *Ledger) discard(d *entry.Discard) *entry.Answer {
	f := l.files[d.File]
	if f == nil || f.info.Hidden || f.info.Team != d.Team {
		return noSuchFile()
	}
	f.info.Hidden = true
	a := &entry.Answer{File: fileView(f)}
	l.deleteUnused(f)
	return a
}

// deleteUnused removes a hidden file once no job reads it.
func (l *Ledger) deleteUnused(f *file) {
	if !f.info.Hidden || f.info.Uses > 0 {
		return
	}
	must(l.Storage.Remove(f.name()))
	delete(l.files, f.info.Id)
	l.addStoredBytes(f.info.Team, -f.info.Bytes)
}

// addStoredBytes adds to a team's stored bytes.
func (l *Ledger) addStoredBytes(team string, bytes int64) {
	l.storedBytes[team] += bytes
	if l.storedBytes[team] == 0 {
		delete(l.storedBytes, team)
	}
}

func fileView(f *file) *entry.File {
	return proto.Clone(f.info).(*entry.File)
}

func noSuchFile() *entry.Answer {
	return refused(404, "no-such-file", "the team has no such file")
}

func overQuota() *entry.Answer {
	return refused(413, "quota-exceeded", "the team's stored files and results would exceed its quota")
}

// validID reports whether an ID is safe to use in a file name.
func validID(id string) bool {
	for _, c := range id {
		if c != '-' && (c < '0' || c > '9') && (c < 'a' || c > 'z') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= maxIDBytes
}

func invalidID() *entry.Answer {
	return refused(400, "bad-id", "an ID must be 1 to 64 lower-case letters, digits and dashes")
}
