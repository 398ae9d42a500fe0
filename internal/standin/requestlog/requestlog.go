package requestlog

import (
	"maps"
	"strconv"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/standin/faultinjection"
)

// requestIDHeader is not recorded with the header values: its values are unique per request and not secret.
const requestIDHeader = "Siskin-Request-Id"

// Log counts how often each request ran and keeps all header values, so that tests can look for leaked secrets.
type Log struct {
	mu      sync.Mutex
	runs    map[string]int
	headers map[string]bool
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{runs: map[string]int{}, headers: map[string]bool{}}
}

// Record stores the header values of a request and, if run is set, counts a run of it.
func (v *Log) Record(c *fasthttp.RequestCtx, run bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if run {
		v.runs[string(c.Request.Header.Peek(requestIDHeader))]++
	}
	for n, h := range c.Request.Header.All() {
		if string(n) != requestIDHeader {
			v.headers[string(h)] = true
		}
	}
}

// Runs returns how often each request ran, by its ID.
func (v *Log) Runs() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.runs)
}

// SawInHeader reports whether any received header value contained the text.
func (v *Log) SawInHeader(text string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for h := range v.headers {
		if strings.Contains(h, text) {
			return true
		}
	}
	return false
}

// HandleFault handles a request to inject faults, with the kind and count in the query.
func (v *Log) HandleFault(c *fasthttp.RequestCtx, f *faultinjection.Injector) {
	n, err := strconv.Atoi(string(c.QueryArgs().Peek("count")))
	if err == nil {
		err = f.Set(string(c.QueryArgs().Peek("kind")), n)
	}
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}
