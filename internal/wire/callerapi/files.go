package callerapi

import (
	"cmp"
	"context"
	"io"
	"mime"
	"mime/multipart"
	"strings"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/file"
	"siskinrun/internal/data/job"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/submission"
	"siskinrun/internal/wire/ingress"
	"siskinrun/pkg/refusal"
)

const (
	resultsSuffix = "-results"
	errorsSuffix  = "-errors"
	jsonLines     = "application/jsonl"
	maxFieldBytes = 4096
)

// identifier finds the team of a credential.
type identifier interface {
	Key(authorization []byte) (key.Key, error)
}

// batchService stores files and runs batch jobs.
type batchService interface {
	UploadFile(ctx context.Context, team, name, purpose string, r io.Reader) (file.File, error)
	GetFile(ctx context.Context, team, id string) (file.File, error)
	FileContent(ctx context.Context, team, id string, w io.Writer) error
	DeleteFile(ctx context.Context, team, id string) error
	CreateJob(ctx context.Context, team string, s submission.Submission) (job.Job, error)
	GetJob(ctx context.Context, team, id string) (job.Job, error)
	ListJobs(ctx context.Context, team, after string, limit int) ([]job.Job, error)
	CancelJob(ctx context.Context, team, id string) (job.Job, error)
	Results(ctx context.Context, team, id string, w io.Writer) error
	Errors(ctx context.Context, team, id string, w io.Writer) error
}

// fileObject is the JSON form of a file.
type fileObject struct {
	ID       string `json:"id"`
	Object   string `json:"object"`
	Bytes    int64  `json:"bytes"`
	Lines    int    `json:"lines"`
	Created  int64  `json:"created_at"`
	Filename string `json:"filename"`
	Purpose  string `json:"purpose"`
}

type deletedObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newFileObject(f file.File) fileObject {
	return fileObject{
		ID:       f.ID,
		Object:   "file",
		Bytes:    f.Bytes,
		Lines:    f.Lines,
		Created:  f.Created.Unix(),
		Filename: f.Name,
		Purpose:  f.Purpose,
	}
}

// files serves the paths under /v1/files.
func (q *request) files(team, rest string) {
	id, action, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
	m := string(q.http.Method())
	switch {
	case id == "" && m == fasthttp.MethodPost:
		q.upload(team)
	case id != "" && action == "" && m == fasthttp.MethodGet:
		q.file(team, id)
	case id != "" && action == "" && m == fasthttp.MethodDelete:
		q.deleteFile(team, id)
	case id != "" && action == "content" && m == fasthttp.MethodGet:
		q.content(team, id)
	default:
		q.Refuse(errUnknownEndpoint())
	}
}

// authenticated serves a request for the team of its key.
func (q *request) authenticated(rest string, serve func(team, rest string)) {
	k, err := q.server.Identifier.Key([]byte(q.authorization()))
	if err != nil {
		q.http.SetConnectionClose()
		q.Refuse(err)
		return
	}
	serve(k.Team, rest)
}

func errUnknownEndpoint() error {
	return refusal.NewNotRun(fasthttp.StatusNotFound, "unknown-endpoint", "no endpoint at this path accepts this method")
}

// upload stores a file sent as a multipart form or as the plain body.
func (q *request) upload(team string) {
	x := q.http
	if int64(x.Request.Header.ContentLength()) > q.server.MaxFileBytes {
		x.SetConnectionClose()
		q.Refuse(ingress.TooLarge(q.server.MaxFileBytes))
		return
	}
	l := &limitedReader{reader: ingress.Body(x), remaining: q.server.MaxFileBytes, limit: q.server.MaxFileBytes}
	h := &heldReader{
		reader:   l,
		reserve:  func(n int64) error { return ingress.Reserve(x, n) },
		complete: func() { ingress.Complete(x) },
	}
	name, purpose, r, err := q.parseForm(h)
	if err != nil {
		x.SetConnectionClose()
		q.Refuse(cmp.Or(h.refused, err))
		return
	}
	f, err := q.server.Batch.UploadFile(q.server.ingress.Context(), team, name, purpose, r)
	if err != nil {
		x.SetConnectionClose()
		q.Refuse(cmp.Or(h.refused, err))
		return
	}
	q.reply(newFileObject(f))
}

// parseForm returns the name, the purpose and the contents of an uploaded file.
func (q *request) parseForm(r io.Reader) (name, purpose string, contents io.Reader, err error) {
	t, p, err := mime.ParseMediaType(string(q.http.Request.Header.ContentType()))
	if err != nil || t != "multipart/form-data" {
		return "upload.jsonl", file.Purpose, r, nil
	}
	m := multipart.NewReader(r, p["boundary"])
	purpose = file.Purpose
	for {
		part, err := m.NextPart()
		if err != nil {
			return "", "", nil, refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-form", "the form has no field named file")
		}
		switch part.FormName() {
		case "purpose":
			b, err := io.ReadAll(io.LimitReader(part, maxFieldBytes))
			if err != nil {
				return "", "", nil, refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-form", "the field purpose cannot be read")
			}
			purpose = string(b)
		case "file":
			return part.FileName(), purpose, part, nil
		}
	}
}

// limitedReader fails once more than limit bytes have been read.
type limitedReader struct {
	reader    io.Reader
	remaining int64
	limit     int64
}

// Read implements io.Reader.Read.
func (r *limitedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.remaining -= int64(n)
	if r.remaining < 0 {
		return 0, ingress.TooLarge(r.limit)
	}
	return n, err
}

func (q *request) file(team, id string) {
	f, err := q.server.Batch.GetFile(q.server.ingress.Context(), team, id)
	if err != nil {
		q.Refuse(err)
		return
	}
	q.reply(newFileObject(f))
}

func (q *request) deleteFile(team, id string) {
	if err := q.server.Batch.DeleteFile(q.server.ingress.Context(), team, id); err != nil {
		q.Refuse(err)
		return
	}
	q.reply(deletedObject{id, "file", true})
}

// content sends a file, or the results or errors of a job by the file IDs in its batch object.
func (q *request) content(team, id string) {
	if j, ok := strings.CutSuffix(id, resultsSuffix); ok {
		q.results(team, j)
		return
	}
	if j, ok := strings.CutSuffix(id, errorsSuffix); ok {
		q.errors(team, j)
		return
	}
	if _, err := q.server.Batch.GetFile(q.server.ingress.Context(), team, id); err != nil {
		q.Refuse(err)
		return
	}
	q.stream(func(ctx context.Context, w io.Writer) error {
		return q.server.Batch.FileContent(ctx, team, id, w)
	})
}

// stream sends the output of write. If write fails, the connection closes without the end of the body, so that the
// caller does not take it for complete.
func (q *request) stream(write func(ctx context.Context, w io.Writer) error) {
	x := q.http
	if err := ingress.Reserve(x, contentBytes); err != nil {
		q.Refuse(err)
		return
	}
	x.SetContentType(jsonLines)
	x.Response.Header.Set(headerRequestID, q.id)
	q.server.ingress.Stream(x, write, func(err error) {
		q.server.Log.Warn().Err(err).Str("request-id", q.id).Msg("result stream aborted")
	})
}
