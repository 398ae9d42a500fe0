package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Names in the configuration of the cases.
const (
	Site   = "desk.example"
	Key    = "2b9wu3fexd9dnn2ctnfz"
	Tenant = "huka270"
)

type object = map[string]any

// Configuration returns a configuration with a streaming route that may not be resumed (/chat/), one that may (/talk/), a batch
// route (/lot/), an idempotent one (/app/) and one that may not be repeated (/once/).
func Configuration(version int) map[string]any {
	route := func(name, kind, service string, timeout, target, priority, attempts int, more object) object {
		r := object{
			"name": "r-" + name, "host": Site, "path_prefix": "/" + name + "/", "route_type": kind, "timeout_ms": timeout,
			"target_latency_ms": target, "priority": priority, "service": service, "max_attempts": attempts, "public": false,
			"sticky": service == "bend-assist", "resumable": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return object{
		"version": version,
		"routes": []any{
			route("chat", "streaming", "bend-assist", 5000, 300, 0, 1, object{"gap_target_ms": 400}),
			route("talk", "streaming", "bend-assist", 5000, 300, 0, 2, object{"gap_target_ms": 400, "resumable": true}),
			route("lot", "batch", "bend-assist", 15000, 400, 2, 3,
				object{"gap_target_ms": 400, "resumable": true, "completion_target_ms": 18000, "max_wait_s": 60, "max_queued_tokens": 1100000}),
			route("app", "idempotent", "order-desk", 4000, 300, 2, 2, nil),
			route("once", "non_idempotent", "order-desk", 4000, 300, 2, 2, nil),
		},
		"services": []any{
			object{"name": "bend-assist", "health_path": "/healthz", "max_conns": 250, "protocol": "h1", "tls": false, "engine": object{
				"slots": 8, "kv_capacity": 147261, "kv_token_bytes": 163840, "link_mbps": 370000.0, "moves": true, "backups": true,
				"stride": 7, "max_queued_tokens": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models": []any{object{"name": "m"}},
			}},
			object{"name": "order-desk", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			object{"name": Tenant, "api_keys": []string{Key}, "priority": 1, "rate_per_s": 400, "burst": 400},
		},
	}
}

// Answer is what a client got.
type Answer struct {
	// Status is 0 if no whole head came.
	Status int
	Header http.Header
	Body   []byte
	// Whole says that the body ended as its framing says.
	Whole bool
	Err   error
}

// String implements fmt.Stringer.
func (a Answer) String() string {
	if a.Status == 0 {
		return fmt.Sprintf("no answer (%v)", a.Err)
	}
	return fmt.Sprintf("%d, signature %q, %d bytes, whole %v", a.Status, a.Header.Get("X-Response-Signature"), len(a.Body), a.Whole)
}

// Send sends a request of a client, as one attempt on a connection of its own, and waits for its answer as long as its deadline.
func Send(h *Host, method, path, id string, deadline time.Duration, headers map[string]string, body []byte) Answer {
	q, err := http.NewRequest(method, "http://"+h.Address()+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	q.Host = Site
	q.Header.Set("Authorization", "Token "+Key)
	q.Header.Set("Accept-Encoding", "identity")
	if id != "" {
		q.Header.Set("X-Attempt-Id", id)
		q.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	for k, v := range headers {
		q.Header.Set(k, v)
	}
	c := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(q)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return Answer{Status: r.StatusCode, Header: r.Header, Body: b, Whole: err == nil, Err: err}
}
