package engine

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// orderBody is an order to load or unload a model or to change the role.
type orderBody struct {
	FencingToken uint64 `json:"fencing-number"`
	Action       string `json:"action"`
	Model        string `json:"model"`
	Role         string `json:"role"`
}

// handleOrder executes an order. An engine with fencing rejects a token older than the newest it has seen.
func (e *Engine) handleOrder(c *fasthttp.RequestCtx) {
	o := &orderBody{}
	if err := json.Unmarshal(c.PostBody(), o); err != nil {
		c.Error(`{"error":{"code":"bad-json"}}`, fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Upstream.Fencing && o.FencingToken < e.fencingToken {
		c.Error(`{"error":{"code":"old-fencing-number"}}`, fasthttp.StatusConflict)
		return
	}
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	switch o.Action {
	case "load":
		if !slices.Contains(e.Upstream.Models, o.Model) {
			e.Upstream.Models = append(slices.Clone(e.Upstream.Models), o.Model)
		}
	case "unload":
		e.Upstream.Models = slices.DeleteFunc(slices.Clone(e.Upstream.Models), func(m string) bool { return m == o.Model })
	case "role":
		e.Upstream.Role = o.Role
	default:
		c.Error(`{"error":{"code":"unknown-action"}}`, fasthttp.StatusBadRequest)
	}
}

// handleTransfer exports the cached blocks as text, or imports such a text.
func (e *Engine) handleTransfer(c *fasthttp.RequestCtx) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	if string(c.Path()) == "/v1/kv/export" {
		for h := range e.cache.lastUsed {
			fmt.Fprintf(c, "%x\n", h)
		}
		return
	}
	for _, f := range strings.Fields(string(c.PostBody())) {
		h, err := strconv.ParseUint(f, 16, 64)
		if err != nil {
			c.Error(`{"error":{"code":"bad-block"}}`, fasthttp.StatusBadRequest)
			return
		}
		e.cache.evict()
		e.cache.clock++
		e.cache.lastUsed[h] = e.cache.clock
	}
}

func newEvent(id int, data []byte) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", id, data)
}
