package ledger

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
)

const (
	// openKeep is how long a file may stay without its end.
	openKeep = time.Hour
	// fileKeep is how long a file stays that no job reads.
	fileKeep = 30 * 24 * time.Hour

	// maxIDBytes is the longest ID of a file or job.
	maxIDBytes = 64

	filePrefix   = "file-"
	resultPrefix = "result-"
)

type file struct {
	facts *entry.File
	// starts are the offsets of the lines.
	starts []int64
}

func (f *file) name() string {
	return filePrefix + f.facts.Id
}

// line returns where a line starts and ends, without its newline.
func (f *file) line(i int) (start, end int64) {
	if i+1 < len(f.starts) {
		return f.starts[i], f.starts[i+1] - 1
	}
	return f.starts[i], f.facts.Bytes - 1
}

func (l *Ledger) begin(b *entry.Begin) *entry.Answer {
	f := l.files[b.File]
	if f != nil {
		return &entry.Answer{File: view(f)}
	}
	if !validID(b.File) {
		return badID()
	}
	if b.Limit > 0 && l.used[b.Team]+b.Elsewhere >= b.Limit {
		return overQuota()
	}
	f = &file{facts: &entry.File{
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
	return &entry.Answer{File: view(f)}
}

func (l *Ledger) chunk(c *entry.Chunk) *entry.Answer {
	f := l.files[c.File]
	if f == nil {
		return noFile()
	}
	s := f.facts
	if c.Offset+int64(len(c.Data)) <= s.Bytes {
		return &entry.Answer{File: view(f)}
	}
	if s.Sealed || c.Offset != s.Bytes {
		return refused(409, "out-of-order", "the chunk does not follow the last one")
	}
	if c.Data[len(c.Data)-1] != '\n' {
		return refused(400, "broken-line", "the chunk does not end with a line")
	}
	if s.Limit > 0 && l.used[s.Team]+s.Elsewhere+int64(len(c.Data)) > s.Limit {
		return overQuota()
	}
	must(l.Storage.Append(f.name(), c.Data))
	f.addLines(c.Data)
	l.use(s.Team, int64(len(c.Data)))
	return &entry.Answer{File: view(f)}
}

func (f *file) addLines(b []byte) {
	o := f.facts.Bytes
	f.facts.Bytes += int64(len(b))
	for len(b) > 0 {
		n := bytes.IndexByte(b, '\n') + 1
		f.starts = append(f.starts, o)
		o += int64(n)
		b = b[n:]
	}
	f.facts.Lines = uint32(len(f.starts))
}

func (l *Ledger) seal(c *entry.Seal) *entry.Answer {
	f := l.files[c.File]
	if f == nil {
		return noFile()
	}
	s := f.facts
	if s.Bytes != c.Bytes {
		return refused(409, "out-of-order", "the file is not whole")
	}
	if !s.Sealed {
		s.Sealed = true
		s.Hash = c.Hash
		s.Model = c.Model
		s.Endpoint = c.Endpoint
		f.starts = append(make([]int64, 0, len(f.starts)), f.starts...)
	}
	return &entry.Answer{File: view(f)}
}

func (l *Ledger) discard(d *entry.Discard) *entry.Answer {
	f := l.files[d.File]
	if f == nil || f.facts.Hidden || f.facts.Team != d.Team {
		return noFile()
	}
	f.facts.Hidden = true
	a := &entry.Answer{File: view(f)}
	l.dropHidden(f)
	return a
}

// dropHidden deletes a file that its owner deleted and that no job reads.
func (l *Ledger) dropHidden(f *file) {
	if !f.facts.Hidden || f.facts.Uses > 0 {
		return
	}
	must(l.Storage.Remove(f.name()))
	delete(l.files, f.facts.Id)
	l.use(f.facts.Team, -f.facts.Bytes)
}

// use changes what a team stores.
func (l *Ledger) use(team string, bytes int64) {
	l.used[team] += bytes
	if l.used[team] == 0 {
		delete(l.used, team)
	}
}

func view(f *file) *entry.File {
	return proto.Clone(f.facts).(*entry.File)
}

func noFile() *entry.Answer {
	return refused(404, "no-such-file", "the team has no such file")
}

func overQuota() *entry.Answer {
	return refused(413, "quota-exceeded", "the team's stored files and results would exceed its quota")
}

// validID reports whether an ID may name a stored file.
func validID(id string) bool {
	for _, c := range id {
		if c != '-' && (c < '0' || c > '9') && (c < 'a' || c > 'z') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= maxIDBytes
}

func badID() *entry.Answer {
	return refused(400, "bad-id", "an ID consists of digits, small letters and dashes")
}
