package engine

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/completion"
	"siskinrun/internal/standin/fault"
	"siskinrun/internal/standin/text"
)

const (
	requestID    = "Siskin-Request-Id"
	lastEventID  = "Last-Event-Id"
	maxBodyBytes = 32 << 20
	lateness     = 2 * time.Second
	slowFactor   = 10
)

func (e *Engine) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/v1/chat/completions", "/v1/completions":
		e.complete(c)
	case "/v1/cancel":
		e.cancel(c)
	case "/v1/orders":
		e.order(c)
	case "/v1/state":
		reply(c, e.announcement())
	case "/v1/kv/export", "/v1/kv/import":
		e.transfer(c)
	case "/stand-in/runs":
		reply(c, e.Runs())
	case "/stand-in/fault":
		e.visits.SetFault(c, e.Fault)
	default:
		c.Error(`{"error":{"code":"not-found"}}`, fasthttp.StatusNotFound)
	}
}

func (e *Engine) complete(c *fasthttp.RequestCtx) {
	q, err := completion.Parse(c.PostBody())
	if err != nil {
		c.Error(`{"error":{"code":"bad-request"}}`, fasthttp.StatusBadRequest)
		return
	}
	p := string(q.Prompt)
	if strings.Contains(p, text.Impossible) {
		c.Error(`{"error":{"code":"impossible-prompt"}}`, fasthttp.StatusUnprocessableEntity)
		return
	}
	o := 0
	if n, err := strconv.Atoi(string(c.Request.Header.Peek(lastEventID))); err == nil {
		o = n + 1
	}
	id := string(c.Request.Header.Peek(requestID))
	e.visits.Note(c, o == 0)
	if err := e.enter(c); err != nil {
		c.Error(`{"error":{"code":"stopping"}}`, fasthttp.StatusServiceUnavailable)
		return
	}
	s := &stream{engine: e, id: id, model: q.Model, prompt: p, next: o, tokens: int(q.Tokens), slow: e.Fault.Take(fault.Slow)}
	s.prefill()
	if e.Fault.Take(fault.Late) {
		_ = e.Timer.Sleep(c, lateness)
	}
	echo := id
	if e.Fault.Take(fault.Crossed) {
		echo = "crossed-" + id
	}
	c.Response.Header.Set(requestID, echo)
	if q.Stream {
		s.fault = e.breakage()
		c.SetContentType("text/event-stream")
		c.SetBodyStream(s, -1)
		return
	}
	e.whole(c, s)
}

// breakage returns the fault that will hit a stream half way, if any.
func (e *Engine) breakage() string {
	for _, k := range []string{fault.Die, fault.Silent, fault.Short} {
		if e.Fault.Take(k) {
			return k
		}
	}
	return ""
}

// whole answers a request that is not streamed.
func (e *Engine) whole(c *fasthttp.RequestCtx, s *stream) {
	defer func() { _ = s.Close() }()
	for range s.tokens {
		s.wait()
		if e.Cancelled(s.id) {
			c.Error(`{"error":{"code":"cancelled"}}`, fasthttp.StatusConflict)
			return
		}
	}
	if e.Fault.Take(fault.Die) {
		_ = c.Conn().Close()
		return
	}
	reply(c, newWhole(s))
}

func (e *Engine) cancel(c *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled[string(c.Request.Header.Peek(requestID))] = true
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
