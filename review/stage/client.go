package stage

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"
)

// Host, Key and Tenant belong to the configuration of Configuration.
const (
	Host   = "desk.example"
	Key    = "2b9wu3fexd9dnn2ctnfz"
	Tenant = "huka270"
	// BatchPath, StreamPath and PlainPath are the prefixes of its routes.
	BatchPath  = "/pule252/"
	StreamPath = "/lohu930/"
	PlainPath  = "/puxa403/"
)

// Configuration returns a configuration like the example of the pages, with a batch, a streaming and an idempotent route.
func Configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"r-batch","host":"desk.example","path_prefix":"/pule252/","route_type":"batch","timeout_ms":2000,`+
		`"target_latency_ms":400,"priority":2,"service":"lm","max_attempts":3,"public":false,"sticky":true,"resumable":true,`+
		`"gap_target_ms":400,"completion_target_ms":18000,"max_wait_s":60,"max_queued_tokens":1000000},`+
		`{"name":"r-stream","host":"desk.example","path_prefix":"/lohu930/","route_type":"streaming","timeout_ms":8000,`+
		`"target_latency_ms":300,"priority":0,"service":"lm","max_attempts":1,"public":false,"sticky":true,"resumable":false,`+
		`"gap_target_ms":400},`+
		`{"name":"r-plain","host":"desk.example","path_prefix":"/puxa403/","route_type":"idempotent","timeout_ms":4000,`+
		`"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"public":false}],`+
		`"services":[{"name":"lm","health_path":"/healthz","max_conns":230,"protocol":"h1","tls":false,"engine":{"slots":8,`+
		`"kv_capacity":147261,"kv_token_bytes":163840,"link_mbps":370000.0,"moves":true,"backups":true,"stride":7,`+
		`"max_queued_tokens":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},`+
		`{"name":"app","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"huka270","api_keys":["2b9wu3fexd9dnn2ctnfz"],"priority":1,"rate_per_s":500,"burst":500},`+
		`{"name":"maro118","api_keys":["s989anu6wsjnbanfqasn"],"priority":1,"rate_per_s":500,"burst":500}]}`, version)
}

// Item is one item of a batch job.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// NewItem returns an item as the pages' example has it.
func NewItem(id string) Item {
	return Item{
		ID: id, Path: BatchPath + "3/" + id, Tokens: 100, Body: base64.StdEncoding.EncodeToString([]byte("body of " + id)),
		Headers: map[string]string{"X-Model": "m", "X-Token-Count": "60,40", "X-Prompt-Prefix": "9c2e41:20," + id + ":40"},
	}
}

// Lot returns the body of a batch job.
func Lot(items ...Item) string {
	b, _ := json.Marshal(map[string]any{"requests": items})
	return string(b)
}

// Answer is the answer to a client's request; Status is 0 if none came.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

var clientHTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Send sends a client's request on a new connection and waits for the whole answer.
func (f *Fleet) Send(p *Process, patience time.Duration, method, uri, key, id, body string, headers ...string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+p.Address()+uri, bytes.NewReader([]byte(body)))
	if err != nil {
		return Answer{Err: err}
	}
	q.Host = Host
	q.Header.Set("Authorization", "Token "+key)
	if id != "" {
		q.Header.Set("X-Attempt-Id", id)
	}
	for _, h := range headers {
		n, v, _ := strings.Cut(h, ": ")
		q.Header.Set(n, v)
	}
	f.Record.Add("send", p.Name, method, uri, id)
	r, err := clientHTTP.Do(q)
	if err != nil {
		f.Record.Add("no answer", p.Name, method, uri, id, err)
		return Answer{Err: err}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	f.Record.Add("answer", p.Name, method, uri, id, r.StatusCode, short(b))
	return Answer{Status: r.StatusCode, Header: r.Header, Body: string(b), Err: err}
}

func short(b []byte) string {
	const most = 200
	if len(b) > most {
		b = b[:most]
	}
	return fmt.Sprintf("%q", b)
}

// Conn is a client's connection to a frontend machine that is kept between requests.
type Conn struct {
	fleet   *Fleet
	process *Process
	http    *http.Client
}

// Dial returns a client that keeps one connection to a frontend machine. The connection is opened by its first request.
func (f *Fleet) Dial(p *Process) *Conn {
	t := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}
	return &Conn{fleet: f, process: p, http: &http.Client{Transport: t}}
}

// Send sends a request with a body on the connection and waits for the whole answer; Err tells that the answer is not whole.
func (c *Conn) Send(patience time.Duration, uri, id string, headers ...string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	reused := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.process.Address()+uri, io.NopCloser(strings.NewReader("{}")))
	if err != nil {
		return Answer{Err: err}
	}
	q.ContentLength = 2
	q.Host = Host
	q.Header.Set("Authorization", "Token "+Key)
	q.Header.Set("X-Attempt-Id", id)
	for _, h := range headers {
		n, v, _ := strings.Cut(h, ": ")
		q.Header.Set(n, v)
	}
	c.fleet.Record.Add("send", c.process.Name, uri, id)
	r, err := c.http.Do(q)
	if err != nil {
		c.fleet.Record.Add("no answer", c.process.Name, uri, id, "kept connection:", reused, err)
		return Answer{Err: err}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	c.fleet.Record.Add("answer", c.process.Name, uri, id, "kept connection:", reused, r.StatusCode, "bytes:", len(b), "end:", err)
	return Answer{Status: r.StatusCode, Header: r.Header, Body: string(b), Err: err}
}
