package callerapi

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/job"
	"siskinrun/internal/data/submission"
	"siskinrun/internal/wire/ingress"
	"siskinrun/pkg/refusal"
)

const (
	defaultListLimit = 20
	maxListLimit     = 100
)

// batchRequest is the request body that creates a job.
type batchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

type requestCounts struct {
	Total      int `json:"total"`
	Completed  int `json:"completed"`
	Failed     int `json:"failed"`
	MayHaveRun int `json:"may-have-run"`
	Cancelled  int `json:"cancelled"`
}

// batchObject is the JSON form of a job.
type batchObject struct {
	ID           string            `json:"id"`
	Object       string            `json:"object"`
	Endpoint     string            `json:"endpoint"`
	InputFileID  string            `json:"input_file_id"`
	Status       string            `json:"status"`
	OutputFileID string            `json:"output_file_id,omitempty"`
	ErrorFileID  string            `json:"error_file_id,omitempty"`
	Created      int64             `json:"created_at"`
	Expires      int64             `json:"expires_at,omitempty"`
	Finished     int64             `json:"finished_at,omitempty"`
	Counts       requestCounts     `json:"request_counts"`
	Metadata     map[string]string `json:"metadata,omitempty"`
}

type batchList struct {
	Object  string        `json:"object"`
	Data    []batchObject `json:"data"`
	HasMore bool          `json:"has_more"`
}

func newBatchObject(j job.Job) batchObject {
	o := batchObject{
		ID:          j.ID,
		Object:      "batch",
		Endpoint:    j.Endpoint,
		InputFileID: j.File,
		Status:      strings.ReplaceAll(j.State, "-", "_"),
		Created:     j.Created.Unix(),
		Metadata:    j.Metadata,
		Counts: requestCounts{
			Total:      j.Total,
			Completed:  j.Completed,
			Failed:     j.Failed,
			MayHaveRun: j.MayHaveRun,
			Cancelled:  j.Cancelled,
		},
	}
	if !j.Deadline.IsZero() {
		o.Expires = j.Deadline.Unix()
	}
	if j.Ended() {
		o.Finished = j.Finished.Unix()
		o.OutputFileID = j.ID + resultsSuffix
		o.ErrorFileID = j.ID + errorsSuffix
	}
	return o
}

// batches serves the paths under /v1/batches.
func (q *request) batches(team, rest string) {
	id, action, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
	switch string(q.http.Method()) + " " + action {
	case "POST ":
		if id == "" {
			q.createJob(team)
			return
		}
	case "GET ":
		if id == "" {
			q.listJobs(team)
			return
		}
		q.job(q.server.Batch.GetJob(q.server.ingress.Context(), team, id))
		return
	case "POST cancel":
		q.job(q.server.Batch.CancelJob(q.server.ingress.Context(), team, id))
		return
	case "GET results":
		q.results(team, id)
		return
	case "GET errors":
		q.errors(team, id)
		return
	}
	q.Refuse(errUnknownEndpoint())
}

func (q *request) job(j job.Job, err error) {
	if err != nil {
		q.Refuse(err)
		return
	}
	q.reply(newBatchObject(j))
}

func (q *request) createJob(team string) {
	b, err := ingress.ReadBody(q.http, int64(q.server.MaxBodyBytes))
	if err != nil {
		q.Refuse(err)
		return
	}
	r := &batchRequest{}
	if err := json.Unmarshal(b, r); err != nil {
		q.Refuse(refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-request", "the body is not a valid batch object: "+err.Error()))
		return
	}
	w, err := parseWindow(r.CompletionWindow)
	if err != nil {
		q.Refuse(err)
		return
	}
	q.job(q.server.Batch.CreateJob(q.server.ingress.Context(), team, submission.Submission{
		File:     r.InputFileID,
		Endpoint: r.Endpoint,
		Key:      string(q.http.Request.Header.Peek("Idempotency-Key")),
		Window:   w,
		Metadata: r.Metadata,
	}))
}

func parseWindow(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		return 0, refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-window", "the completion window is not a positive duration such as 24h")
	}
	return d, nil
}

func (q *request) listJobs(team string) {
	a := q.http.QueryArgs()
	n := defaultListLimit
	if s := string(a.Peek("limit")); s != "" {
		v, err := strconv.Atoi(s)
		if err != nil || v < 1 || v > maxListLimit {
			q.Refuse(refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-limit", "the limit must be between 1 and 100"))
			return
		}
		n = v
	}
	l, err := q.server.Batch.ListJobs(q.server.ingress.Context(), team, string(a.Peek("after")), n+1)
	if err != nil {
		q.Refuse(err)
		return
	}
	o := batchList{Object: "list", Data: []batchObject{}, HasMore: len(l) > n}
	for _, j := range l[:min(len(l), n)] {
		o.Data = append(o.Data, newBatchObject(j))
	}
	q.reply(o)
}

func (q *request) results(team, id string) {
	q.streamJob(team, id, q.server.Batch.Results)
}

func (q *request) errors(team, id string) {
	q.streamJob(team, id, q.server.Batch.Errors)
}

// streamJob streams what write writes of a job of the team.
func (q *request) streamJob(team, id string, write func(ctx context.Context, team, id string, w io.Writer) error) {
	if _, err := q.server.Batch.GetJob(q.server.ingress.Context(), team, id); err != nil {
		q.Refuse(err)
		return
	}
	q.stream(func(ctx context.Context, w io.Writer) error { return write(ctx, team, id, w) })
}
