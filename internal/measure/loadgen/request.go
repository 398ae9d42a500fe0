package loadgen

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/route"
	"siskinrun/internal/standin/answertext"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	requestTimeout  = 60 * time.Second
	minErrorStatus  = 400
	maxBodyBytes    = 16 << 20
	classCompletion = "completion"
	classService    = "service"
	doneEvent       = "[DONE]"
	// maxFailovers is how many further hosts are tried while the request provably did not run.
	maxFailovers = 3
)

// request is a call with its expected answer.
type request struct {
	class string
	team  string
	host  string
	call  *call.Call
	want  string
	due   time.Time
}

// completionBody is the body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (l *Generator) newRequest(r *rand.Rand, team string, a arrival, due time.Time) *request {
	q := &request{class: classCompletion, team: team, due: due, host: l.balancer.pick(r)}
	p := l.newPrompt(r)
	b, _ := json.Marshal(completionBody{l.Model, p, l.Tokens, true})
	path := "/v1/completions"
	q.want = answertext.Answer(l.Model, p, l.Tokens)
	if a.plain {
		q.class = classService
		path = l.Path
		b = []byte(p)
		q.want = p
	}
	q.call = l.newCall("POST", path, team, b, due)
	return q
}

func (l *Generator) newCall(method, path, team string, body []byte, due time.Time) *call.Call {
	return &call.Call{
		ID:          "load-" + strconv.FormatUint(l.sequence.Add(1), 10),
		Method:      method,
		Path:        path,
		Body:        body,
		Headers:     [][2]string{{"Authorization", "Bearer " + l.Keys[team]}, {"Content-Type", "application/json"}},
		RouteConfig: route.Route{Repeatable: true},
		Arrived:     due,
		Deadline:    l.Timer.Now().Add(requestTimeout),
	}
}

// send sends a request, checks its answer and records the outcome.
func (l *Generator) send(ctx context.Context, q *request) {
	t := l.stats.statsOf(q)
	t.addSent()
	a, err := l.transport.Do(ctx, q.host, q.call)
	for n := 0; n < maxFailovers && refusal.Of(err) != nil && refusal.Of(err).Verdict == verdict.NotRun; n++ {
		q.host = l.Hosts[(slices.Index(l.Hosts, q.host)+1)%len(l.Hosts)]
		a, err = l.transport.Do(ctx, q.host, q.call)
	}
	if err != nil {
		t.addFault(l.stats, q, err)
		return
	}
	defer func() { _ = a.Body.Close() }()
	if a.Status >= minErrorStatus {
		l.recordRefusal(t, q, a)
		return
	}
	m := &tokenTimer{generator: l, due: q.due}
	got, err := q.readAnswer(a, m)
	if err == nil && got != q.want {
		err = errors.New("the answer does not match the request")
	}
	if err != nil {
		t.addFault(l.stats, q, err)
		return
	}
	t.addAnswer(m, l.Timer.Now().Sub(q.due))
}

// recordRefusal counts a refusal. A refusal without a verdict is a fault.
func (l *Generator) recordRefusal(t *classStats, q *request, a *answer.Answer) {
	b, err := io.ReadAll(io.LimitReader(a.Body, maxBodyBytes))
	if err != nil {
		t.addFault(l.stats, q, err)
		return
	}
	var p struct {
		Error struct{ Code, Verdict string }
	}
	if json.Unmarshal(b, &p) != nil || p.Error.Verdict == "" {
		t.addFault(l.stats, q, errors.Newf("refusal with status %d has no verdict", a.Status))
		return
	}
	t.addRefusal(p.Error.Code + " " + p.Error.Verdict)
}

// tokenTimer measures the times of the first and later tokens of an answer.
type tokenTimer struct {
	generator *Generator
	due       time.Time
	first     time.Duration
	last      time.Time
	between   []time.Duration
}

// tick records the arrival of a token.
func (t *tokenTimer) tick() {
	n := t.generator.Timer.Now()
	if t.first == 0 {
		t.first = n.Sub(t.due)
	} else {
		t.between = append(t.between, n.Sub(t.last))
	}
	t.last = n
}

// readAnswer reads the answer and returns its text.
func (q *request) readAnswer(a *answer.Answer, m *tokenTimer) (string, error) {
	if q.class == classService {
		m.tick()
		return readEcho(a.Body)
	}
	return readEvents(a.Body, m)
}

func readEcho(r io.Reader) (string, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxBodyBytes))
	if err != nil {
		return "", err
	}
	var e struct{ Echo string }
	err = json.Unmarshal(b, &e)
	return e.Echo, err
}

// readEvents joins the tokens of an event stream. The stream must end with the [DONE] event.
func readEvents(r io.Reader, m *tokenTimer) (string, error) {
	var out strings.Builder
	in := bufio.NewReader(r)
	ended := false
	for {
		s, err := in.ReadString('\n')
		if err == io.EOF {
			break
		}
		if err != nil {
			return "", err
		}
		d, ok := strings.CutPrefix(s, "data: ")
		if !ok {
			continue
		}
		d = strings.TrimSpace(d)
		if ended {
			return "", errors.New("event after [DONE]")
		}
		if d == doneEvent {
			ended = true
			continue
		}
		m.tick()
		token, err := parseToken(d)
		if err != nil {
			return "", err
		}
		out.WriteString(token)
	}
	if !ended {
		return "", errors.New("the stream ended without [DONE]")
	}
	return out.String(), nil
}

func parseToken(data string) (string, error) {
	var e struct {
		Choices []struct {
			Delta struct{ Content string }
		}
		Error *struct{ Code, Message, Verdict string }
	}
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return "", err
	}
	if e.Error != nil {
		return "", refusal.NewMayHaveRun(minErrorStatus, e.Error.Code, e.Error.Message)
	}
	if len(e.Choices) != 1 {
		return "", errors.New("event does not hold exactly one choice")
	}
	return e.Choices[0].Delta.Content, nil
}
