package batch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/itemline"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
)

const (
	// MaxLineBytes is the longest line of a file.
	MaxLineBytes = 1 << 20
	// MaxLines is the most lines of a file.
	MaxLines = 1_000_000
)

// named is the part of a body that leads to an engine.
type named struct {
	Model string `json:"model"`
}

// upload sends the lines of one file to its group.
type upload struct {
	batch *Batch
	group uint32
	id    string
	hash  hash.Hash

	chunk    []byte
	offset   int64
	lines    int
	seen     map[uint64]struct{}
	endpoint string
	model    string
}

func (u *upload) run(ctx context.Context, r io.Reader) (*entry.File, error) {
	u.seen = map[uint64]struct{}{}
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), MaxLineBytes)
	n := 0
	for s.Scan() {
		n++
		b := bytes.TrimSpace(s.Bytes())
		if len(b) == 0 {
			continue
		}
		if err := u.add(ctx, n, b); err != nil {
			return nil, err
		}
	}
	if errors.Is(s.Err(), bufio.ErrTooLong) {
		return nil, bad(413, n+1, "is longer than 1 MiB")
	}
	if s.Err() != nil {
		return nil, refusal.NewNotRun(400, "broken-upload", "the upload ended early")
	}
	if u.lines == 0 {
		return nil, refusal.NewNotRun(400, "empty-file", "the file holds no line")
	}
	if err := u.flush(ctx); err != nil {
		return nil, err
	}
	return u.seal(ctx)
}

// add checks one line and sends the chunk when it is full.
func (u *upload) add(ctx context.Context, n int, b []byte) error {
	if err := u.check(n, b); err != nil {
		return err
	}
	u.lines++
	if u.lines > MaxLines {
		return refusal.NewNotRun(413, "too-many-lines", "the file holds more lines than a job may have")
	}
	u.chunk = append(u.chunk, b...)
	u.chunk = append(u.chunk, '\n')
	if len(u.chunk) < chunkBytes {
		return nil
	}
	return u.flush(ctx)
}

func (u *upload) check(n int, b []byte) error {
	i := itemline.Line{}
	if err := json.Unmarshal(b, &i); err != nil {
		return bad(400, n, "is not a JSON object of an item")
	}
	if i.CustomID == "" || i.URL == "" {
		return bad(400, n, "lacks custom_id or url")
	}
	if i.Inline || i.Host != "" || len(i.Headers)+len(i.Raw) > 0 {
		return bad(400, n, "has fields that only items of inline jobs may have")
	}
	if i.Method != "POST" {
		return bad(400, n, "has a method other than POST")
	}
	m := named{}
	if len(i.Body) == 0 || json.Unmarshal(i.Body, &m) != nil {
		return bad(400, n, "lacks a JSON object as its body")
	}
	if u.lines == 0 {
		u.endpoint = i.URL
		u.model = m.Model
	}
	if i.URL != u.endpoint || m.Model != u.model {
		return bad(400, n, "names another url or model than the first")
	}
	h := xxhash.Sum64String(i.CustomID)
	if _, ok := u.seen[h]; ok {
		return bad(400, n, "repeats a custom_id")
	}
	u.seen[h] = struct{}{}
	return nil
}

func bad(status, n int, message string) error {
	return refusal.NewNotRun(status, "bad-line", fmt.Sprintf("line %d %s", n, message))
}

func (u *upload) flush(ctx context.Context) error {
	if len(u.chunk) == 0 {
		return nil
	}
	c := &entry.Chunk{File: u.id, Offset: u.offset, Data: u.chunk}
	_, err := u.batch.Command(ctx, u.group, &entry.Command{Kind: &entry.Command_Chunk{Chunk: c}})
	if err != nil {
		return err
	}
	u.hash.Write(u.chunk)
	u.offset += int64(len(u.chunk))
	u.chunk = u.chunk[:0]
	return nil
}

func (u *upload) seal(ctx context.Context) (*entry.File, error) {
	s := &entry.Seal{
		File:     u.id,
		Bytes:    u.offset,
		Hash:     u.hash.Sum(nil),
		Model:    u.model,
		Endpoint: u.endpoint,
	}
	a, err := u.batch.Command(ctx, u.group, &entry.Command{Kind: &entry.Command_Seal{Seal: s}})
	if err != nil {
		return nil, err
	}
	return a.File, nil
}

// discard deletes what an upload that failed has stored; what it misses is swept later.
func (u *upload) discard(ctx context.Context, team string) {
	d := &entry.Discard{File: u.id, Team: team}
	c := &entry.Command{Kind: &entry.Command_Discard{Discard: d}}
	_, err := u.batch.Command(context.WithoutCancel(ctx), u.group, c)
	if err != nil {
		u.batch.Log.Warn().Err(err).Str("file", u.id).Msg("discard failed")
	}
}
