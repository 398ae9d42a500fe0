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
func (l *Log) Record(c *fasthttp.RequestCtx, run bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run {
		l.runs[string(c.Request.Header.Peek(requestIDHeader))]++
	}
	for n, h := range c.Request.Header.All() {
		if string(n) != requestIDHeader {
			l.headers[string(h)] = true
		}
	}
}

// Runs returns how often each request ran, by its ID.
func (l *Log) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// SawInHeader reports whether any received header value contained the text.
func (l *Log) SawInHeader(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for h := range l.headers {
		if strings.Contains(h, text) {
			return true
		}
	}
	return false
}

// HandleFault handles a request to inject faults, with the kind and count in the query.
func (l *Log) HandleFault(c *fasthttp.RequestCtx, f *faultinjection.Injector) {
	n, err := strconv.Atoi(string(c.QueryArgs().Peek("count")))
	if err == nil {
		err = f.Set(string(c.QueryArgs().Peek("kind")), n)
	}
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}
