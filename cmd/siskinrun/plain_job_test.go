package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/platform/wire"
)

const (
	// itemPrefix begins the IDs of items.
	itemPrefix = "item-"
	lotsPath   = "/lots/"
	// itemDelay is the time before the first event of an item.
	itemDelay  = 300 * time.Millisecond
	itemEvents = 3
)

// jobItem is an item of a batch job.
type jobItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// output returns the whole output of an item.
func (i jobItem) output() string {
	var l []string
	for n := range itemEvents {
		l = append(l, itemEvent(i.ID, n+1))
	}
	return strings.Join(l, "\n")
}

func itemEvent(id string, n int) string {
	return fmt.Sprint(id, "-event-", n)
}

// submit submits a job of team0 to a host.
func (f *plainFleet) submit(ctx context.Context, host, job string, items []jobItem) error {
	b, err := json.Marshal(map[string]any{"requests": items})
	if err != nil {
		return err
	}
	_, err = f.askJob(ctx, host, http.MethodPost, lotsPath+job, job, string(b), http.StatusAccepted)
	return err
}

// jobResults returns the results of a job so far, by the IDs of its items.
func (f *plainFleet) jobResults(ctx context.Context, host, job string) (map[string]jobResult, error) {
	results := map[string]jobResult{}
	for {
		b, err := f.askJob(ctx, host, http.MethodGet, fmt.Sprint(wire.PathJobs, job, "?after=", len(results)), "read", "", http.StatusOK)
		if err != nil {
			return nil, err
		}
		p := struct{ Results []jobResult }{}
		if err := json.Unmarshal(b, &p); err != nil {
			return nil, err
		}
		if len(p.Results) == 0 {
			return results, nil
		}
		for _, r := range p.Results {
			results[r.ID] = r
		}
	}
}

// jobResult is the result of an item.
type jobResult struct {
	ID, State, Output string
}

func (f *plainFleet) askJob(ctx context.Context, host, method, path, id, body string, want int) ([]byte, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+host+":7443"+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Host = plainHost
	q.Header.Set(wire.AttemptID, id)
	q.Header.Set("Authorization", wire.Scheme+" key-team0")
	a, err := f.http.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode != want {
		err = errors.Newf("status %d: %s", a.StatusCode, b)
	}
	return b, err
}

// runItem streams the events of an item. It ends the worker before the first one if the item is marked for that.
func (w *plainWorker) runItem(ctx context.Context, c net.Conn, id string) error {
	f := w.fleet
	if f.takeCrash(id) {
		if err := f.timer.Sleep(ctx, deadlyDelay); err != nil {
			return err
		}
		w.end(f.context)
		return io.EOF
	}
	if err := f.timer.Sleep(ctx, itemDelay); err != nil {
		return err
	}
	h := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Response-Signature: " + w.id + "\r\n" +
		wire.AttemptID + ": " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(c, h); err != nil {
		return err
	}
	for n := range itemEvents {
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, itemEvent(id, n+1))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return err
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// takeCrash reports whether a worker is to crash under an item, and counts it.
func (f *plainFleet) takeCrash(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.itemCrashes[id] == 0 {
		return false
	}
	f.itemCrashes[id]--
	return true
}
