package operatorclient

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/answerdialer"
	"siskinrun/internal/base/secret"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/config/listing"
)

const (
	attemptTimeout   = 5 * time.Second
	connectTimeout   = 3 * time.Second
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 2 * time.Second
	maxResponseBytes = 64 << 20
	bearerPrefix     = "Bearer "
)

// Client sends the requests of one operator to the first host that answers.
type Client struct {
	// Addresses are the operators' API addresses of the hosts, in the order in which they are tried.
	Addresses []string
	// Secret is the shared secret of the operators.
	Secret secret.Secret
	// TLS, if set, secures the connections.
	TLS *tls.Config
	// Timer is the clock.
	Timer *timer.Service
	// Timeout limits how long a request is retried.
	Timeout time.Duration

	client fasthttp.Client
	// rejected is the error in place of the last answer, if its head broke the grammar of HTTP.
	rejected error
	current  int // index of the host in use, modulo the number of addresses
}

// response is the HTTP response of a host.
type response struct {
	status int
	body   []byte
}

// errorBody is the body of a refusal.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// Get reads the listing at a path.
func (c *Client) Get(ctx context.Context, path string) (*listing.Listing, error) {
	b, err := c.Do(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	l := &listing.Listing{}
	return l, errors.Wrap(json.Unmarshal(b, l), "decode listing")
}

// Do sends a request that may run more than once and returns the body of a response with status 200.
func (c *Client) Do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	a, err := c.retry(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	if a.status != fasthttp.StatusOK {
		return nil, responseError(a)
	}
	return a.body, nil
}

// SendChange sends a change, always under the same ID, until it has an outcome or the timeout passes.
func (c *Client) SendChange(ctx context.Context, h *change.Change) (*changeoutcome.Outcome, error) {
	b, err := h.Encode()
	if err != nil {
		return nil, err
	}
	a, err := c.retry(ctx, fasthttp.MethodPost, "/v1/changes", b)
	if err != nil {
		return nil, errors.Wrapf(err, "change %s may have been applied; resend it under the same ID", h.ID)
	}
	o, err := changeoutcome.Decode(a.body)
	if err != nil || o.Status == "" {
		return nil, responseError(a)
	}
	return o, nil
}

// retry sends a request to one host after another, with exponential backoff, until one responds with a status below 500.
func (c *Client) retry(ctx context.Context, method, path string, body []byte) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if len(c.Addresses) == 0 {
		return nil, errors.New("no host address is given")
	}
	backoff := minBackoff
	for {
		a, err := c.send(method, path, body)
		if err == nil && a.status < fasthttp.StatusInternalServerError {
			return a, nil
		}
		if err == nil {
			err = responseError(a)
		}
		c.current++
		if c.Timer.Sleep(ctx, backoff) != nil {
			return nil, err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Client) send(method, path string, body []byte) (*response, error) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	c.client.Dial = c.dial
	c.rejected = nil
	c.client.MaxIdemponentCallAttempts = 1
	c.client.MaxResponseBodySize = maxResponseBytes
	q.Header.SetMethod(method)
	q.SetRequestURI(c.scheme() + c.Addresses[c.current%len(c.Addresses)] + path)
	q.Header.Set(fasthttp.HeaderAuthorization, bearerPrefix+string(c.Secret))
	q.SetBody(body)
	if err := c.client.DoTimeout(q, p, attemptTimeout); err != nil {
		return nil, errors.Wrapf(cmp.Or(c.rejected, err), "send request to %s", c.Addresses[c.current%len(c.Addresses)])
	}
	return &response{p.StatusCode(), append([]byte(nil), p.Body()...)}, nil
}

// dial opens a connection to a host.
func (c *Client) dial(address string) (net.Conn, error) {
	d := &answerdialer.Dialer{TLS: c.TLS, Timeout: connectTimeout, Rejected: func(err error) { c.rejected = err }}
	return d.Dial(context.Background(), address)
}

func (c *Client) scheme() string {
	if c.TLS != nil {
		return "https://"
	}
	return "http://"
}

func responseError(a *response) error {
	r := &errorBody{}
	if json.Unmarshal(a.body, r) != nil || r.Error.Code == "" {
		return errors.Newf("the host responded with status %d", a.status)
	}
	return errors.Newf("%s: %s (%s)", r.Error.Code, r.Error.Message, r.Error.Verdict)
}
