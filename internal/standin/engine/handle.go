package engine

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/completion"
	"siskinrun/internal/standin/answertext"
	"siskinrun/internal/standin/faultinjection"
)

const (
	requestIDHeader   = "Siskin-Request-Id"
	lastEventIDHeader = "Last-Event-Id"
	maxBodyBytes      = 32 << 20
	lateDelay         = 2 * time.Second
	slowFactor        = 10
)

func (e *Engine) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/v1/chat/completions", "/v1/completions":
		e.handleCompletion(c)
	case "/v1/cancel":
		e.handleCancel(c)
	case "/v1/orders":
		e.handleOrder(c)
	case "/v1/state":
		reply(c, e.announcement())
	case "/v1/kv/export", "/v1/kv/import":
		e.handleTransfer(c)
	case "/stand-in/runs":
		reply(c, e.Runs())
	case "/stand-in/fault":
		e.requests.HandleFault(c, e.Faults)
	default:
		c.Error(`{"error":{"code":"not-found"}}`, fasthttp.StatusNotFound)
	}
}

func (e *Engine) handleCompletion(c *fasthttp.RequestCtx) {
	q, err := completion.Parse(c.PostBody())
	if err != nil {
		c.Error(`{"error":{"code":"bad-request"}}`, fasthttp.StatusBadRequest)
		return
	}
	p := string(q.Prompt)
	if strings.Contains(p, answertext.Impossible) {
		c.Error(`{"error":{"code":"impossible-prompt"}}`, fasthttp.StatusUnprocessableEntity)
		return
	}
	o := 0
	if n, err := strconv.Atoi(string(c.Request.Header.Peek(lastEventIDHeader))); err == nil {
		o = n + 1
	}
	id := string(c.Request.Header.Peek(requestIDHeader))
	e.requests.Record(c, o == 0)
	if err := e.acquireSlot(c); err != nil {
		c.Error(`{"error":{"code":"stopping"}}`, fasthttp.StatusServiceUnavailable)
		return
	}
	s := &stream{engine: e, id: id, model: q.Model, prompt: p, next: o, tokens: int(q.MaxTokens), slow: e.Faults.Take(faultinjection.Slow)}
	s.prefill()
	if e.Faults.Take(faultinjection.Late) {
		_ = e.Timer.Sleep(c, lateDelay)
	}
	echoedID := id
	if e.Faults.Take(faultinjection.Crossed) {
		echoedID = "crossed-" + id
	}
	c.Response.Header.Set(requestIDHeader, echoedID)
	if q.Stream {
		s.fault = e.takeStreamFault()
		c.SetContentType("text/event-stream")
		c.SetBodyStream(s, -1)
		return
	}
	e.answerWhole(c, s)
}

// takeStreamFault returns the fault to inject halfway through a stream, or "".
func (e *Engine) takeStreamFault() string {
	for _, k := range []string{faultinjection.Die, faultinjection.Silent, faultinjection.Short} {
		if e.Faults.Take(k) {
			return k
		}
	}
	return ""
}

// answerWhole answers a request without streaming.
func (e *Engine) answerWhole(c *fasthttp.RequestCtx, s *stream) {
	defer func() { _ = s.Close() }()
	for range s.tokens {
		s.waitStep()
		if e.Cancelled(s.id) {
			c.Error(`{"error":{"code":"cancelled"}}`, fasthttp.StatusConflict)
			return
		}
	}
	if e.Faults.Take(faultinjection.Die) {
		_ = c.Conn().Close()
		return
	}
	reply(c, newAnswerBody(s))
}

func (e *Engine) handleCancel(c *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled[string(c.Request.Header.Peek(requestIDHeader))] = true
}

// Cancelled reports whether a request was cancelled.
func (e *Engine) Cancelled(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled[id]
}

func reply(c *fasthttp.RequestCtx, v any) {
	c.SetContentType("application/json")
	b, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetBody(b)
}
