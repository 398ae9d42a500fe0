package batchclient

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/answerdialer"
	"siskinrun/internal/base/secret"
	"siskinrun/internal/data/submission"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	pathFiles   = "/v1/files"
	pathBatches = "/v1/batches"
	// schemeTLS is the begin of addresses whose connections use TLS.
	schemeTLS = "https://"

	// maxRefusalBytes bounds the bytes that are read of a refusal.
	maxRefusalBytes = 64 << 10
	// minRefusalStatus is the lowest status of a refusal. Redirects count as refusals, since they are not followed.
	minRefusalStatus = 300
)

// Client sends requests to one address. It does not retry.
type Client struct {
	// Address is the URL of the API on a host or on a load balancer.
	Address string
	// Key is the team's API key.
	Key secret.Secret
	// Timeout bounds each request.
	Timeout time.Duration
}

// batchRequest is the body that creates a job.
type batchRequest struct {
	File     string            `json:"input_file_id"`
	Endpoint string            `json:"endpoint"`
	Window   string            `json:"completion_window,omitempty"`
	Metadata map[string]string `json:"metadata,omitempty"`
}

// errorBody is the body of a refusal.
type errorBody struct {
	Error struct {
		Code    string          `json:"code"`
		Message string          `json:"message"`
		Verdict verdict.Verdict `json:"verdict"`
	} `json:"error"`
}

// Upload stores a file of items and returns its ID.
func (c *Client) Upload(ctx context.Context, r io.Reader) (string, error) {
	q := c.request(fasthttp.MethodPost, pathFiles)
	defer fasthttp.ReleaseRequest(q)
	q.Header.SetContentType("application/jsonl")
	q.SetBodyStream(r, -1)
	var b strings.Builder
	if err := c.do(ctx, q, &b); err != nil {
		return "", err
	}
	var f struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal([]byte(b.String()), &f); err != nil || f.ID == "" {
		return "", errors.New("the answer has no file ID")
	}
	return f.ID, nil
}

// Create creates a job and writes its JSON description to w.
func (c *Client) Create(ctx context.Context, s submission.Submission, w io.Writer) error {
	r := batchRequest{File: s.File, Endpoint: s.Endpoint, Metadata: s.Metadata}
	if s.Window > 0 {
		r.Window = s.Window.String()
	}
	b, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	q := c.request(fasthttp.MethodPost, pathBatches)
	defer fasthttp.ReleaseRequest(q)
	q.Header.SetContentType("application/json")
	if s.Key != "" {
		q.Header.Set("Idempotency-Key", s.Key)
	}
	q.SetBody(b)
	return c.do(ctx, q, w)
}

// Get writes the JSON description of a job to w.
func (c *Client) Get(ctx context.Context, id string, w io.Writer) error {
	return c.send(ctx, fasthttp.MethodGet, pathBatches+"/"+url.PathEscape(id), w)
}

// Cancel cancels a job and writes its JSON description to w.
func (c *Client) Cancel(ctx context.Context, id string, w io.Writer) error {
	return c.send(ctx, fasthttp.MethodPost, pathBatches+"/"+url.PathEscape(id)+"/cancel", w)
}

// Results writes the results of a job as JSON lines to w, or only those that failed.
func (c *Client) Results(ctx context.Context, id string, errors bool, w io.Writer) error {
	part := "/results"
	if errors {
		part = "/errors"
	}
	return c.send(ctx, fasthttp.MethodGet, pathBatches+"/"+url.PathEscape(id)+part, w)
}

// List writes the JSON descriptions of up to limit jobs to w, newest first, starting behind the job with the ID
// after if one is given.
func (c *Client) List(ctx context.Context, after string, limit int, w io.Writer) error {
	v := url.Values{"limit": {strconv.Itoa(limit)}}
	if after != "" {
		v.Set("after", after)
	}
	return c.send(ctx, fasthttp.MethodGet, pathBatches+"?"+v.Encode(), w)
}

func (c *Client) send(ctx context.Context, method, path string, w io.Writer) error {
	q := c.request(method, path)
	defer fasthttp.ReleaseRequest(q)
	return c.do(ctx, q, w)
}

func (c *Client) request(method, path string) *fasthttp.Request {
	q := fasthttp.AcquireRequest()
	q.Header.SetMethod(method)
	q.SetRequestURI(strings.TrimSuffix(c.Address, "/") + path)
	q.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+string(c.Key))
	return q
}

// do sends a request once and copies the body of a successful answer to w.
func (c *Client) do(ctx context.Context, q *fasthttp.Request, w io.Writer) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	var connected atomic.Bool
	var rejected error
	h := &fasthttp.Client{
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      c.dialer(ctx, &connected, &rejected),
	}
	defer h.CloseIdleConnections()
	p := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(p)
	err := h.DoTimeout(q, p, c.Timeout)
	if err != nil && !connected.Load() {
		return refusal.NewNotRun(fasthttp.StatusServiceUnavailable, "unreachable", err.Error())
	}
	if rejected != nil {
		return refusal.NewMayHaveRun(fasthttp.StatusBadGateway, refusal.CodeSpuriousAnswer, rejected.Error())
	}
	if err != nil {
		return refusal.NewMayHaveRun(fasthttp.StatusGatewayTimeout, "no-answer", err.Error())
	}
	if p.StatusCode() >= minRefusalStatus {
		return refusalFromResponse(p)
	}
	_, err = io.Copy(w, p.BodyStream())
	return errors.Wrap(err, "read answer")
}

// dialer returns a dialer that sets connected on success and closes its connections when ctx ends. They set rejected if they reject
// the answer.
func (c *Client) dialer(ctx context.Context, connected *atomic.Bool, rejected *error) fasthttp.DialFunc {
	d := &answerdialer.Dialer{Timeout: c.Timeout, Rejected: func(err error) { *rejected = err }}
	if strings.HasPrefix(c.Address, schemeTLS) {
		d.TLS = &tls.Config{}
	}
	return func(address string) (net.Conn, error) {
		n, err := d.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		connected.Store(true)
		context.AfterFunc(ctx, func() { _ = n.Close() })
		return n, nil
	}
}

func refusalFromResponse(p *fasthttp.Response) error {
	b, err := io.ReadAll(io.LimitReader(p.BodyStream(), maxRefusalBytes))
	if err != nil {
		return errors.Wrap(err, "read refusal")
	}
	m := errorBody{}
	m.Error.Verdict = verdict.MayHaveRun
	if json.Unmarshal(b, &m) != nil || m.Error.Code == "" {
		m.Error.Code = "status-" + strconv.Itoa(p.StatusCode())
	}
	return &refusal.Refusal{
		Status:  p.StatusCode(),
		Code:    m.Error.Code,
		Message: m.Error.Message,
		Verdict: m.Error.Verdict,
	}
}
