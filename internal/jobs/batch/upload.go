package batch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash"
	"hash/maphash"
	"io"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/hashset"
	"siskinrun/internal/data/itemline"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
)

const (
	// MaxLineBytes is the maximum size of a line in a file.
	MaxLineBytes = 1 << 20
	// MaxLines is the maximum number of lines in a file.
	MaxLines = 1_000_000
)

// modelField decodes the model in the body of an item.
type modelField struct {
	Model string `json:"model"`
}

// upload validates the lines of a file and sends them to its group in chunks.
type upload struct {
	service *Service
	group   uint32
	id      string
	hash    hash.Hash

	chunk  []byte
	offset int64
	lines  int
	// seed keeps callers from choosing IDs whose hashes collide.
	seed      maphash.Seed
	customIDs hashset.Set
	endpoint  string
	model     string
}

func (u *upload) run(ctx context.Context, r io.Reader) (*entry.File, error) {
	u.seed = maphash.MakeSeed()
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), MaxLineBytes)
	n := 0
	for s.Scan() {
		n++
		b := bytes.TrimSpace(s.Bytes())
		if len(b) == 0 {
			continue
		}
		if err := u.addLine(ctx, n, b); err != nil {
			return nil, err
		}
	}
	if errors.Is(s.Err(), bufio.ErrTooLong) {
		return nil, badLine(413, n+1, "is longer than 1 MiB")
	}
	if s.Err() != nil {
		return nil, refusal.NewNotRun(400, "broken-upload", "the upload ended early")
	}
	if u.lines == 0 {
		return nil, refusal.NewNotRun(400, "empty-file", "the file has no lines")
	}
	if err := u.flush(ctx); err != nil {
		return nil, err
	}
	return u.seal(ctx)
}

// addLine validates a line, adds it to the chunk and sends the chunk when it is full.
func (u *upload) addLine(ctx context.Context, n int, b []byte) error {
	if err := u.checkLine(n, b); err != nil {
		return err
	}
	u.lines++
	if u.lines > MaxLines {
		return refusal.NewNotRun(413, "too-many-lines", "the file has more than 1,000,000 lines")
	}
	u.chunk = append(u.chunk, b...)
	u.chunk = append(u.chunk, '\n')
	if len(u.chunk) < minChunkBytes {
		return nil
	}
	return u.flush(ctx)
}

func (u *upload) checkLine(n int, b []byte) error {
	i := itemline.Line{}
	if err := json.Unmarshal(b, &i); err != nil {
		return badLine(400, n, "is not a JSON object that describes an item")
	}
	if i.CustomID == "" || i.URL == "" {
		return badLine(400, n, "has no custom_id or no url")
	}
	if i.Inline || i.Host != "" || len(i.Headers)+len(i.Raw) > 0 {
		return badLine(400, n, "has fields that only items of inline jobs may have")
	}
	if i.Method != "POST" {
		return badLine(400, n, "has a method other than POST")
	}
	m := modelField{}
	if len(i.Body) == 0 || json.Unmarshal(i.Body, &m) != nil {
		return badLine(400, n, "has no JSON object as its body")
	}
	if u.lines == 0 {
		u.endpoint = i.URL
		u.model = m.Model
	}
	if i.URL != u.endpoint || m.Model != u.model {
		return badLine(400, n, "has another url or model than the first line")
	}
	if !u.customIDs.Add(maphash.String(u.seed, i.CustomID)) {
		return badLine(400, n, "repeats the custom_id of an earlier line")
	}
	return nil
}

func badLine(status, n int, message string) error {
	return refusal.NewNotRun(status, "bad-line", fmt.Sprintf("line %d %s", n, message))
}

func (u *upload) flush(ctx context.Context) error {
	if len(u.chunk) == 0 {
		return nil
	}
	c := &entry.Chunk{File: u.id, Offset: u.offset, Data: u.chunk}
	_, err := u.service.Command(ctx, u.group, &entry.Command{Kind: &entry.Command_Chunk{Chunk: c}})
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
	a, err := u.service.Command(ctx, u.group, &entry.Command{Kind: &entry.Command_Seal{Seal: s}})
	if err != nil {
		return nil, err
	}
	return a.File, nil
}

// discard deletes the file of a failed upload. If that fails, a later sweep deletes it.
func (u *upload) discard(ctx context.Context, team string) {
	d := &entry.Discard{File: u.id, Team: team}
	c := &entry.Command{Kind: &entry.Command_Discard{Discard: d}}
	_, err := u.service.Command(context.WithoutCancel(ctx), u.group, c)
	if err != nil {
		u.service.Log.Warn().Err(err).Str("file", u.id).Msg("failed upload not deleted, a later sweep deletes it")
	}
}
