package callerapi

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/completion"
	"siskinrun/internal/wire/ingress"
	"siskinrun/internal/wire/transport"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	headerVerdict          = "Siskin-Verdict"
	headerRequestID        = "X-Request-Id"
	requestIDBytes         = 12
	maxIdempotencyKeyBytes = 256
)

// request holds the state of one HTTP request of a caller.
type request struct {
	server  *Server
	http    *fasthttp.RequestCtx
	id      string
	current *call.Call
}

func newID() string {
	b := make([]byte, 0, requestIDBytes+4)
	for len(b) < requestIDBytes {
		n := rand.Uint64()
		for range 8 {
			b = append(b, byte(n))
			n >>= 8
		}
	}
	return "req-" + hex.EncodeToString(b[:requestIDBytes])
}

func (q *request) authorization() string {
	return string(q.http.Request.Header.Peek(fasthttp.HeaderAuthorization))
}

// ready answers the readiness check of a load balancer.
func (q *request) ready() {
	if q.server.ingress.Draining() || !q.server.Ready() {
		q.http.SetStatusCode(fasthttp.StatusServiceUnavailable)
		q.http.SetBodyString("not ready\n")
		return
	}
	q.http.SetBodyString("ready\n")
}

// completion serves a completion request.
func (q *request) completion() {
	if !q.http.IsPost() {
		q.Refuse(refusal.NewNotRun(fasthttp.StatusMethodNotAllowed, "method-not-allowed", "the method must be POST"))
		return
	}
	c, err := q.readCall()
	if err != nil {
		q.Refuse(err)
		return
	}
	m, err := completion.Parse(c.Body)
	if err != nil {
		q.Refuse(refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-request", err.Error()))
		return
	}
	c.Model = m.Model
	c.Prompt = m.Prompt
	c.MaxTokens = m.MaxTokens
	c.Stream = m.Stream
	q.online(c)
}

// service serves a call to a service that is not a model engine.
func (q *request) service() {
	c, err := q.readCall()
	if err != nil {
		q.Refuse(err)
		return
	}
	q.online(c)
}

// readCall returns the request as a call.
func (q *request) readCall() (*call.Call, error) {
	x := q.http
	b, err := ingress.ReadBody(x, int64(q.server.MaxBodyBytes))
	if err != nil {
		return nil, err
	}
	k := string(x.Request.Header.Peek("Idempotency-Key"))
	if len(k) > maxIdempotencyKeyBytes {
		return nil, refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-idempotency-key", "the idempotency key is longer than 256 bytes")
	}
	c := &call.Call{
		ID:             q.id,
		Method:         string(x.Method()),
		Path:           string(x.URI().RequestURI()),
		Body:           b,
		IdempotencyKey: k,
		Arrived:        q.server.Timer.Now(),
		Memory:         ingress.Memory(x),
	}
	drop := ingress.ConnectionHeaders(x)
	for n, v := range x.Request.Header.All() {
		s := string(n)
		if transport.EndToEnd(s) && !drop[strings.ToLower(s)] {
			c.Headers = append(c.Headers, [2]string{s, string(v)})
		}
	}
	return c, nil
}

// online runs the call and forwards its answer.
func (q *request) online(c *call.Call) {
	q.current = c
	q.server.ingress.ServeCall(q.http, q)
}

// Run implements exchange.Run of package ingress.
func (q *request) Run(ctx context.Context) (*answer.Answer, error) {
	return q.server.Pipeline.Online(ctx, q.authorization(), q.current)
}

// SetHeaders implements exchange.SetHeaders of package ingress.
func (q *request) SetHeaders(*answer.Answer) {
	q.http.Response.Header.Set(headerVerdict, verdict.Ran.String())
	q.http.Response.Header.Set(headerRequestID, q.id)
}

// StreamError implements exchange.StreamError of package ingress.
func (q *request) StreamError(err error) []byte {
	return []byte("event: error\ndata: " + string(errorJSON(refusal.Of(err), q.id)) + "\n\n")
}

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      string          `json:"code"`
	Type      string          `json:"type"`
	Message   string          `json:"message"`
	RequestID string          `json:"request-id"`
	Verdict   verdict.Verdict `json:"verdict"`
}

func errorJSON(f *refusal.Refusal, id string) []byte {
	b, err := json.Marshal(errorBody{errorDetail{f.Code, "siskinrun-refusal", f.Message, id, f.Verdict}})
	if err != nil {
		return []byte(`{"error":{"code":"internal-error"}}`)
	}
	return b
}

// Refuse implements exchange.Refuse of package ingress: it answers with the refusal inside err.
func (q *request) Refuse(err error) {
	f := refusal.Of(err)
	x := q.http
	x.SetStatusCode(f.Status)
	x.SetContentType("application/json")
	x.Response.Header.Set(headerVerdict, f.Verdict.String())
	x.Response.Header.Set(headerRequestID, q.id)
	if f.RetryAfter > 0 {
		s := (f.RetryAfter + time.Second - 1) / time.Second
		x.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(s)))
	}
	x.SetBody(errorJSON(f, q.id))
}

// reply answers with v as JSON.
func (q *request) reply(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		q.Refuse(err)
		return
	}
	q.http.SetContentType("application/json")
	q.http.Response.Header.Set(headerRequestID, q.id)
	q.http.SetBody(b)
}

// models lists the models that have a route.
func (q *request) models() {
	l := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range q.server.Pipeline.Models() {
		l.Data = append(l.Data, modelEntry{ID: m, Object: "model"})
	}
	q.reply(l)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}
