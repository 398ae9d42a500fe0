package main

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/sse"
	"siskinrun/platform/wire"
)

// streamRequest is one attempt of a client at a stream.
type streamRequest struct {
	id string
	// path is the path of the request, empty for the usual one.
	path string
	// resumes is the attempt that received the first event, and after the number of the last event received, if any.
	resumes string
	after   int
	// prompt lists the parts of the prompt.
	prompt string
	// body is the body, empty for the usual one.
	body string
	// key is the key of the caller, empty for none.
	key string
	// patience is how long the client waits, zero for the usual time.
	patience time.Duration
}

// clientStream is an open answer to a streamRequest.
type clientStream struct {
	status int
	// retryAfter is the time to come back in seconds that a refusal names, zero for none.
	retryAfter float64
	body       io.ReadCloser
	events     *bufio.Reader
	// last is the number of the last event read, and data what the events hold.
	last int
	data []string
}

// open sends an attempt to an entry host and returns its answer once the headers have come.
func (f *platformFleet) open(ctx context.Context, host string, s streamRequest) (*clientStream, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+":7443"+cmp.Or(s.path, usualPath), strings.NewReader(cmp.Or(s.body, "x")))
	if err != nil {
		return nil, err
	}
	q.Host = streamHost
	q.Header.Set(wire.AttemptID, s.id)
	q.Header.Set(wire.Deadline, strconv.FormatInt(cmp.Or(s.patience, usualPatience).Milliseconds(), 10))
	if s.key != "" {
		q.Header.Set("Authorization", wire.Scheme+" "+s.key)
	}
	if s.prompt != "" {
		q.Header.Set(wire.PromptPrefix, s.prompt)
	}
	if s.resumes != "" {
		q.Header.Set(wire.Resumes, s.resumes)
		q.Header.Set(wire.LastEventID, strconv.Itoa(s.after))
	}
	r, err := f.http.Do(q)
	if err != nil {
		return nil, err
	}
	n, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	return &clientStream{status: r.StatusCode, retryAfter: n, body: r.Body, events: bufio.NewReader(r.Body), last: s.after}, nil
}

// read reads up to n events, and returns io.EOF at the end of the whole answer.
func (c *clientStream) read(n int) error {
	for range n {
		e, err := sse.Read(c.events)
		if err != nil {
			return err
		}
		if int(e.ID) != c.last+1 {
			return errors.Newf("event %d follows event %d", e.ID, c.last)
		}
		c.last = int(e.ID)
		c.data = append(c.data, string(e.Data()))
	}
	return nil
}
