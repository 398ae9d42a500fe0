package load

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

	"siskinrun/internal/base/span"
	"siskinrun/internal/measure/summary"
	"siskinrun/internal/standin/text"
)

const (
	pollInterval = 250 * time.Millisecond
	pollTimeout  = 30 * time.Minute
	askTries     = 20
	askPause     = 300 * time.Millisecond
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

// expected is what each item of a job must end in; an empty text means a failure.
type expected map[string]string

// batch submits a job, waits for its end and checks each result.
func (l *Load) batch(ctx context.Context, s *summary.Summary) error {
	r := rand.New(rand.NewPCG(l.Seed, 1))
	team := slices.Sorted(keysOf(l.Keys))[0]
	file, want := l.items(r)
	var f struct{ ID string }
	if err := l.json(ctx, team, "POST", "/v1/files", "", file, &f); err != nil {
		return errors.Wrap(err, "upload")
	}
	start := l.Timer.Now()
	j := jobBody{}
	body, _ := json.Marshal(map[string]string{"input_file_id": f.ID, "endpoint": "/v1/completions"})
	if err := l.json(ctx, team, "POST", "/v1/batches", "load-"+l.run, body, &j); err != nil {
		return errors.Wrap(err, "submit")
	}
	l.job = j.ID
	if err := l.await(ctx, team, &j); err != nil {
		return err
	}
	d := l.Timer.Now().Sub(start)
	s.Batch = summary.Batch{
		Items:          l.BatchItems,
		Duration:       span.Span(d),
		ItemsPerSecond: float64(l.BatchItems) / d.Seconds(),
	}
	return l.check(ctx, team, j.ID, want, &s.Batch)
}

func keysOf(m map[string]string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// items returns a file of items and what they must end in.
func (l *Load) items(r *rand.Rand) ([]byte, expected) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	want := expected{}
	for i := range l.BatchItems {
		id := "item-" + strconv.Itoa(i)
		p := l.prompt(r)
		want[id] = text.Answer(l.Model, p, l.Tokens)
		if l.ImpossibleEvery > 0 && i%l.ImpossibleEvery == 0 {
			p += " " + text.Impossible
			want[id] = ""
		}
		_ = e.Encode(itemLine{id, "POST", "/v1/completions", completionBody{l.Model, p, l.Tokens, false}})
	}
	return b.Bytes(), want
}

func (l *Load) await(ctx context.Context, team string, j *jobBody) error {
	end := l.Timer.Now().Add(pollTimeout)
	for j.Status != "completed" {
		if l.Timer.Now().After(end) || j.Status == "cancelled" || j.Status == "expired" {
			return errors.Newf("the job %s is %s", j.ID, j.Status)
		}
		if err := l.Timer.Sleep(ctx, pollInterval); err != nil {
			return err
		}
		if err := l.json(ctx, team, "GET", "/v1/batches/"+j.ID, "", nil, j); err != nil {
			return errors.Wrap(err, "poll")
		}
	}
	return nil
}

// check reads the results and counts each item that is lost, doubled or wrong.
func (l *Load) check(ctx context.Context, team, id string, want expected, b *summary.Batch) error {
	raw, err := l.fetch(ctx, team, "GET", "/v1/batches/"+id+"/results", "", nil)
	if err != nil {
		return errors.Wrap(err, "results")
	}
	seen := map[string]bool{}
	for line := range bytes.Lines(raw) {
		v := resultLine{}
		if err := json.Unmarshal(line, &v); err != nil {
			return errors.Wrap(err, "results")
		}
		if seen[v.CustomID] {
			l.tallies.fault("item " + v.CustomID + " has two results")
		}
		seen[v.CustomID] = true
		l.judge(&v, want, b)
	}
	for k := range want {
		if !seen[k] {
			l.tallies.fault("item " + k + " has no result")
		}
	}
	return nil
}

func (l *Load) judge(v *resultLine, want expected, b *summary.Batch) {
	w, ok := want[v.CustomID]
	switch {
	case !ok:
		l.tallies.fault("item " + v.CustomID + " was never sent")
	case w == "" && (v.Error != nil || v.Response != nil && v.Response.StatusCode >= statusRefused):
		b.Failed++
	case w != "" && v.Response != nil && v.text() == w:
		b.Completed++
	default:
		l.tallies.fault("item " + v.CustomID + " has a wrong result")
	}
}

func (v *resultLine) text() string {
	var b struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal(v.Response.Body, &b) != nil || len(b.Choices) != 1 {
		return ""
	}
	return b.Choices[0].Text
}

func (l *Load) json(ctx context.Context, team, method, path, key string, body []byte, v any) error {
	b, err := l.fetch(ctx, team, method, path, key, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}

// fetch sends a request until a host answers it; all of them are safe to resend.
func (l *Load) fetch(ctx context.Context, team, method, path, key string, body []byte) ([]byte, error) {
	var last error
	r := rand.New(rand.NewPCG(l.Seed, l.sequence.Add(1)))
	for range askTries {
		b, again, err := l.once(ctx, l.balancer.pick(r), team, method, path, key, body)
		if err == nil || !again {
			return b, err
		}
		last = err
		if err := l.Timer.Sleep(ctx, askPause); err != nil {
			return nil, err
		}
	}
	return nil, last
}

func (l *Load) once(
	ctx context.Context, host, team, method, path, key string, body []byte,
) (b []byte, again bool, err error) {
	c := l.newCall(method, path, team, body, l.Timer.Now())
	c.Rule.Repeatable = false
	if key != "" {
		c.Headers = append(c.Headers, [2]string{"Idempotency-Key", key})
	}
	a, err := l.exchange.Do(ctx, host, c)
	if err != nil {
		return nil, true, err
	}
	defer func() { _ = a.Body.Close() }()
	b, err = io.ReadAll(a.Body)
	if err != nil {
		return nil, true, err
	}
	if a.Status >= statusRefused {
		return nil, a.Status >= 429, errors.Newf("%s %s: status %d: %s", method, path, a.Status, b)
	}
	return b, false, nil
}
