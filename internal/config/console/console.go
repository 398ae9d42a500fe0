package console

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/secret"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/config/listing"
)

const (
	attemptTimeout = 5 * time.Second
	firstPause     = 100 * time.Millisecond
	maxPause       = 2 * time.Second
	maxAnswerBytes = 64 << 20
	bearer         = "Bearer "
)

// Console sends requests of one operator to any host that answers.
type Console struct {
	// Addresses are the operators' addresses of the hosts, in the order in which they are tried.
	Addresses []string
	// Secret is what operators show.
	Secret secret.Secret
	// TLS, if set, secures the connections.
	TLS *tls.Config
	// Timer tells the time.
	Timer *timer.Service
	// Timeout is how long a request is tried again.
	Timeout time.Duration

	client fasthttp.Client
	next   int
}

// answer is what a host sent back.
type answer struct {
	status int
	body   []byte
}

// refused is the body of a refusal.
type refused struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// Get reads from a path.
func (c *Console) Get(ctx context.Context, path string) (*listing.Listing, error) {
	b, err := c.Raw(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	l := &listing.Listing{}
	return l, errors.Wrap(json.Unmarshal(b, l), "decode answer")
}

// Raw sends a request that may run twice and returns the body of a good answer.
func (c *Console) Raw(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	a, err := c.retry(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	if a.status != fasthttp.StatusOK {
		return nil, refusalOf(a)
	}
	return a.body, nil
}

// Change sends a change under its one ID until it has an outcome.
func (c *Console) Change(ctx context.Context, h *change.Change) (*changeoutcome.Outcome, error) {
	b, err := h.Encode()
	if err != nil {
		return nil, err
	}
	a, err := c.retry(ctx, fasthttp.MethodPost, "/v1/changes", b)
	if err != nil {
		return nil, errors.Wrapf(err, "change %s may have been applied; send it again under the same ID", h.ID)
	}
	o, err := changeoutcome.Decode(a.body)
	if err != nil || o.Status == "" {
		return nil, refusalOf(a)
	}
	return o, nil
}

// retry sends a request to one host after another until one gives a final answer.
func (c *Console) retry(ctx context.Context, method, path string, body []byte) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if len(c.Addresses) == 0 {
		return nil, errors.New("no address of a host is given")
	}
	pause := firstPause
	for {
		a, err := c.send(method, path, body)
		if err == nil && a.status < fasthttp.StatusInternalServerError {
			return a, nil
		}
		if err == nil {
			err = refusalOf(a)
		}
		c.next++
		if c.Timer.Sleep(ctx, pause) != nil {
			return nil, err
		}
		pause = min(2*pause, maxPause)
	}
}

func (c *Console) send(method, path string, body []byte) (*answer, error) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	c.client.TLSConfig = c.TLS
	c.client.MaxIdemponentCallAttempts = 1
	c.client.MaxResponseBodySize = maxAnswerBytes
	q.Header.SetMethod(method)
	q.SetRequestURI(c.scheme() + c.Addresses[c.next%len(c.Addresses)] + path)
	q.Header.Set(fasthttp.HeaderAuthorization, bearer+string(c.Secret))
	q.SetBody(body)
	if err := c.client.DoTimeout(q, p, attemptTimeout); err != nil {
		return nil, errors.Wrapf(err, "ask %s", c.Addresses[c.next%len(c.Addresses)])
	}
	return &answer{p.StatusCode(), append([]byte(nil), p.Body()...)}, nil
}

func (c *Console) scheme() string {
	if c.TLS != nil {
		return "https://"
	}
	return "http://"
}

func refusalOf(a *answer) error {
	r := &refused{}
	if json.Unmarshal(a.body, r) != nil || r.Error.Code == "" {
		return errors.Newf("the host answered with status %d", a.status)
	}
	return errors.Newf("%s: %s (%s)", r.Error.Code, r.Error.Message, r.Error.Verdict)
}
