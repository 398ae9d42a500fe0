package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/measure/summary"
	"siskinrun/internal/standin/answertext"
)

const (
	pollInterval       = 250 * time.Millisecond
	pollTimeout        = 30 * time.Minute
	maxFetchTries      = 20
	fetchRetryInterval = 300 * time.Millisecond
)

type itemLine struct {
	CustomID string         `json:"custom_id"`
	Method   string         `json:"method"`
	URL      string         `json:"url"`
	Body     completionBody `json:"body"`
}

type resultLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		StatusCode int             `json:"status_code"`
		Body       json.RawMessage `json:"body"`
	} `json:"response"`
	Error *struct{ Code string } `json:"error"`
}

type jobBody struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Counts struct {
		Total int `json:"total"`
	} `json:"request_counts"`
}

// expected maps the ID of each item to its expected text; an empty text means that the item must fail.
type expected map[string]string

// runBatch submits a job, waits until it completes and checks each result.
func (l *Generator) runBatch(ctx context.Context, s *summary.Summary) error {
	r := rand.New(rand.NewPCG(l.Seed, 1))
	team := slices.Sorted(mapKeys(l.Keys))[0]
	file, want := l.newItems(r)
	var f struct{ ID string }
	if err := l.fetchJSON(ctx, team, "POST", "/v1/files", "", file, &f); err != nil {
		return errors.Wrap(err, "upload items")
	}
	start := l.Timer.Now()
	j := jobBody{}
	body, _ := json.Marshal(map[string]string{"input_file_id": f.ID, "endpoint": "/v1/completions"})
	if err := l.fetchJSON(ctx, team, "POST", "/v1/batches", "load-"+l.runID, body, &j); err != nil {
		return errors.Wrap(err, "submit batch job")
	}
	l.jobID = j.ID
	if err := l.awaitJob(ctx, team, &j); err != nil {
		return err
	}
	d := l.Timer.Now().Sub(start)
	s.Batch = summary.Batch{
		Items:          l.BatchItems,
		Duration:       duration.Duration(d),
		ItemsPerSecond: float64(l.BatchItems) / d.Seconds(),
	}
	return l.checkResults(ctx, team, j.ID, want, &s.Batch)
}

func mapKeys(m map[string]string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// newItems returns an input file and the expected results of its items.
func (l *Generator) newItems(r *rand.Rand) ([]byte, expected) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	want := expected{}
	for i := range l.BatchItems {
		id := "item-" + strconv.Itoa(i)
		p := l.newPrompt(r)
		want[id] = answertext.Answer(l.Model, p, l.Tokens)
		if l.ImpossibleEvery > 0 && i%l.ImpossibleEvery == 0 {
			p += " " + answertext.Impossible
			want[id] = ""
		}
		_ = e.Encode(itemLine{id, "POST", "/v1/completions", completionBody{l.Model, p, l.Tokens, false}})
	}
	return b.Bytes(), want
}

func (l *Generator) awaitJob(ctx context.Context, team string, j *jobBody) error {
	end := l.Timer.Now().Add(pollTimeout)
	for j.Status != "completed" {
		if l.Timer.Now().After(end) || j.Status == "cancelled" || j.Status == "expired" {
			return errors.Newf("batch job %s did not complete: status %s", j.ID, j.Status)
		}
		if err := l.Timer.Sleep(ctx, pollInterval); err != nil {
			return err
		}
		if err := l.fetchJSON(ctx, team, "GET", "/v1/batches/"+j.ID, "", nil, j); err != nil {
			return errors.Wrap(err, "poll")
		}
	}
	return nil
}

// checkResults reads the results and records a fault for each item that is missing, duplicated or wrong.
func (l *Generator) checkResults(ctx context.Context, team, id string, want expected, b *summary.Batch) error {
	raw, err := l.fetch(ctx, team, "GET", "/v1/batches/"+id+"/results", "", nil)
	if err != nil {
		return errors.Wrap(err, "read batch results")
	}
	seen := map[string]bool{}
	for line := range bytes.Lines(raw) {
		v := resultLine{}
		if err := json.Unmarshal(line, &v); err != nil {
			return errors.Wrap(err, "read batch results")
		}
		if seen[v.CustomID] {
			l.stats.addFault("item " + v.CustomID + " has two results")
		}
		seen[v.CustomID] = true
		l.checkResult(&v, want, b)
	}
	for k := range want {
		if !seen[k] {
			l.stats.addFault("item " + k + " has no result")
		}
	}
	return nil
}

func (l *Generator) checkResult(v *resultLine, want expected, b *summary.Batch) {
	w, ok := want[v.CustomID]
	switch {
	case !ok:
		l.stats.addFault("item " + v.CustomID + " is not part of the job")
	case w == "" && (v.Error != nil || v.Response != nil && v.Response.StatusCode >= minErrorStatus):
		b.Failed++
	case w != "" && v.Response != nil && v.completionText() == w:
		b.Completed++
	default:
		l.stats.addFault("item " + v.CustomID + " has a wrong result")
	}
}

func (l *resultLine) completionText() string {
	var b struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal(l.Response.Body, &b) != nil || len(b.Choices) != 1 {
		return ""
	}
	return b.Choices[0].Text
}

func (l *Generator) fetchJSON(ctx context.Context, team, method, path, key string, body []byte, v any) error {
	b, err := l.fetch(ctx, team, method, path, key, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}

// fetch retries a request until a host answers it. All requests sent with it are safe to retry.
func (l *Generator) fetch(ctx context.Context, team, method, path, key string, body []byte) ([]byte, error) {
	var last error
	r := rand.New(rand.NewPCG(l.Seed, l.sequence.Add(1)))
	for range maxFetchTries {
		b, retry, err := l.tryFetch(ctx, l.balancer.pick(r), team, method, path, key, body)
		if err == nil || !retry {
			return b, err
		}
		last = err
		if err := l.Timer.Sleep(ctx, fetchRetryInterval); err != nil {
			return nil, err
		}
	}
	return nil, last
}

// tryFetch sends a request to one host and reports whether another try may succeed: after a transport error or a status of 429 or higher.
func (l *Generator) tryFetch(
	ctx context.Context, host, team, method, path, key string, body []byte,
) (b []byte, retry bool, err error) {
	c := l.newCall(method, path, team, body, l.Timer.Now())
	c.RouteConfig.Repeatable = false
	if key != "" {
		c.Headers = append(c.Headers, [2]string{"Idempotency-Key", key})
	}
	a, err := l.transport.Do(ctx, host, c)
	if err != nil {
		return nil, true, err
	}
	defer func() { _ = a.Body.Close() }()
	b, err = io.ReadAll(a.Body)
	if err != nil {
		return nil, true, err
	}
	if a.Status >= minErrorStatus {
		return nil, a.Status >= 429, errors.Newf("%s %s: status %d: %s", method, path, a.Status, b)
	}
	return b, false, nil
}
