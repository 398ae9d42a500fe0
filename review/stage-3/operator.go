package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// streamPatience is the time in milliseconds that a client of a stream has.
	streamPatience = 5000

	callTimeout   = time.Second
	clientHost    = "desk.example"
	clientKey     = "key-of-the-desk"
	clientTenant  = "desk"
	batchPrefix   = "/lots/"
	streamPrefix  = "/ask/"
	engineService = "bend-assist"
	healthPath    = "/healthz"
)

// streamRoute is a route for streams that may run once, as that of the drawing quote checks.
const streamRoute = `{"name":"r-ask","host":"` + clientHost + `","path_prefix":"` + streamPrefix + `","route_type":"streaming",` +
	`"timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"` + engineService + `","max_attempts":1,"public":false,` +
	`"sticky":true,"resumable":false,"gap_target_ms":400},`

// batchLimits are the limits of the route for batch jobs: max_wait_s, and max_queued_tokens or zero for no limit.
type batchLimits struct{ waitSeconds, queuedTokens int }

// siteLimits are those of the small sites.
var siteLimits = batchLimits{60, 1100000}

// configuration returns the operator's first configuration, with one route for batch jobs.
func configuration(l batchLimits) string {
	return fmt.Sprintf(configurationText, l.waitSeconds, l.queuedTokens)
}

const configurationText = `{"version":7,"routes":[` + streamRoute + `{"name":"r-lots","host":"` + clientHost + `","path_prefix":"` + batchPrefix + `",` +
	`"route_type":"batch","timeout_ms":15000,"target_latency_ms":400,"priority":2,"service":"` + engineService + `","max_attempts":3,` +
	`"public":false,"sticky":true,"completion_target_ms":18000,"max_wait_s":%d,"max_queued_tokens":%d}],` +
	`"services":[{"name":"` + engineService + `","health_path":"` + healthPath + `","max_conns":250,"protocol":"h1","tls":false,` +
	`"engine":{"slots":8,"kv_capacity":147261,"models":[{"name":"m"}]}}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},` +
	`"tenants":[{"name":"` + clientTenant + `","api_keys":["` + clientKey + `"],"priority":1,"rate_per_s":58,"burst":58}]}`

// post sends a call of a worker or of the operator to one address and returns the status of the answer, zero without one.
func (s *stage) post(ctx context.Context, address, path, body string) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := s.http.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = a.Body.Close() }()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode
}

// postControl sends a call to the machines that serve control, one after the other, until one answers with 200.
func (s *stage) postControl(ctx context.Context, path, body string) bool {
	for _, m := range s.of(classCore) {
		if s.post(ctx, s.address(m, portControl), path, body) == http.StatusOK {
			return true
		}
	}
	return false
}

// configure sends a configuration until it is accepted.
func (s *stage) configure(ctx context.Context, text string) error {
	err := await(ctx, func() bool { return s.postControl(ctx, "/siskinrun/Config.Replace", text) })
	if err != nil {
		return fmt.Errorf("the configuration isn't accepted: %w", err)
	}
	s.note("the configuration is acknowledged")
	return nil
}

// batchItem is an item of a batch job.
type batchItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// listed is a result of a batch job.
type listed struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// clientCall sends a call about a batch job to a front machine and returns the status and the body of the answer.
func (s *stage) clientCall(ctx context.Context, m *machine, method, path, id, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+s.address(m, portCallers)+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	q.Host = clientHost
	q.Header.Set("Authorization", "Token "+clientKey)
	q.Header.Set("Content-Type", "application/json")
	if id != "" {
		q.Header.Set("X-Attempt-Id", id)
	}
	a, err := s.http.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, b
}

// streamRequest returns a request for a stream with a prompt.
func (s *stage) streamRequest(ctx context.Context, m *machine, id, prompt string) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address(m, portCallers)+streamPrefix+id, strings.NewReader(id))
	if err != nil {
		return nil, err
	}
	q.Host = clientHost
	q.Header.Set("Authorization", "Token "+clientKey)
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Model", "m")
	q.Header.Set("X-Token-Count", "450,100")
	q.Header.Set("X-Prompt-Prefix", prompt)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(streamPatience))
	return q, nil
}

// ask sends a request for a stream with a prompt and returns the status and whether the answer came whole.
func (s *stage) ask(ctx context.Context, m *machine, id, prompt string) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, streamPatience*time.Millisecond)
	defer cancel()
	q, err := s.streamRequest(ctx, m, id, prompt)
	if err != nil {
		return 0, false
	}
	a, err := s.http.Do(q)
	if err != nil {
		return 0, false
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, err == nil && a.StatusCode == http.StatusOK
}

// submit submits a batch job to the front machines in turn until one accepts it.
func (s *stage) submit(ctx context.Context, job string, items []batchItem) error {
	n := 0
	err := await(ctx, func() bool {
		fronts := s.of(classFrontend)
		n++
		return s.submitOnce(ctx, fronts[(n-1)%len(fronts)], job, items)
	})
	if err != nil {
		return fmt.Errorf("the job isn't accepted: %w", err)
	}
	return nil
}

// submitOnce submits a batch job to a front machine and reports whether it was accepted.
func (s *stage) submitOnce(ctx context.Context, m *machine, job string, items []batchItem) bool {
	b, err := json.Marshal(map[string]any{"requests": items})
	if err != nil {
		return false
	}
	status, _ := s.clientCall(ctx, m, http.MethodPost, batchPrefix+job, job, string(b))
	s.note("job %s with %d items sent to %s: %d", job, len(items), m.name, status)
	return status == http.StatusAccepted
}

// results returns the results of a job from a position on, and reports whether they could be read.
func (s *stage) results(ctx context.Context, m *machine, job string, after int) ([]listed, bool) {
	status, b := s.clientCall(ctx, m, http.MethodGet, fmt.Sprintf("/siskinrun/lots/%s?after=%d", job, after), "", "")
	p := struct {
		Results []listed `json:"results"`
	}{}
	if status != http.StatusOK || json.Unmarshal(b, &p) != nil {
		return nil, false
	}
	return p.Results, true
}
