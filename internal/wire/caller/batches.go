package caller

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
	listDefault = 20
	listMost    = 100
)

// batchRequest is the body that creates a job.
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

// batchObject is a job as callers see it.
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
			q.create(team)
			return
		}
	case "GET ":
		if id == "" {
			q.list(team)
			return
		}
		q.job(q.caller.Batch.GetJob(q.caller.ingress.Context(), team, id))
		return
	case "POST cancel":
		q.job(q.caller.Batch.CancelJob(q.caller.ingress.Context(), team, id))
		return
	case "GET results":
		q.results(team, id)
		return
	case "GET errors":
		q.errors(team, id)
		return
	}
	q.Refuse(noEndpoint())
}

func (q *request) job(j job.Job, err error) {
	if err != nil {
		q.Refuse(err)
		return
	}
	q.reply(newBatchObject(j))
}

func (q *request) create(team string) {
	b, err := ingress.Body(q.http, int64(q.caller.BodyBytes))
	if err != nil {
		q.Refuse(err)
		return
	}
	r := &batchRequest{}
	if err := json.Unmarshal(b, r); err != nil {
		q.Refuse(refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-request", "the body is not a JSON object of a batch: "+err.Error()))
		return
	}
	w, err := window(r.CompletionWindow)
	if err != nil {
		q.Refuse(err)
		return
	}
	q.job(q.caller.Batch.CreateJob(q.caller.ingress.Context(), team, submission.Submission{
		File:     r.InputFileID,
		Endpoint: r.Endpoint,
		Key:      string(q.http.Request.Header.Peek("Idempotency-Key")),
		Window:   w,
		Metadata: r.Metadata,
	}))
}

func window(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		return 0, refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-window", "the completion window is no duration such as 24h")
	}
	return d, nil
}

func (q *request) list(team string) {
	a := q.http.QueryArgs()
	n := listDefault
	if s := string(a.Peek("limit")); s != "" {
		v, err := strconv.Atoi(s)
		if err != nil || v < 1 || v > listMost {
			q.Refuse(refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-limit", "the limit must lie between 1 and 100"))
			return
		}
		n = v
	}
	l, err := q.caller.Batch.ListJobs(q.caller.ingress.Context(), team, string(a.Peek("after")), n+1)
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
	if _, err := q.caller.Batch.GetJob(q.caller.ingress.Context(), team, id); err != nil {
		q.Refuse(err)
		return
	}
	q.stream(func(ctx context.Context, w io.Writer) error {
		return q.caller.Batch.Results(ctx, team, id, w)
	})
}

func (q *request) errors(team, id string) {
	if _, err := q.caller.Batch.GetJob(q.caller.ingress.Context(), team, id); err != nil {
		q.Refuse(err)
		return
	}
	q.stream(func(ctx context.Context, w io.Writer) error {
		return q.caller.Batch.Errors(ctx, team, id, w)
	})
}
