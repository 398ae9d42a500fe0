package load

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
	"siskinrun/internal/standin/text"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	askTimeout    = 60 * time.Second
	statusRefused = 400
	maxBodyBytes  = 16 << 20
	classOnline   = "completion"
	classPlain    = "service"
	done          = "[DONE]"
	// maxConnects is how many further hosts are tried when a connection is refused.
	maxConnects = 3
)

// question is one request with the answer that it must get.
type question struct {
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

func (l *Load) newQuestion(r *rand.Rand, team string, a arrival, due time.Time) *question {
	q := &question{class: classOnline, team: team, due: due, host: l.balancer.pick(r)}
	p := l.prompt(r)
	b, _ := json.Marshal(completionBody{l.Model, p, l.Tokens, true})
	path := "/v1/completions"
	q.want = text.Answer(l.Model, p, l.Tokens)
	if a.plain {
		q.class = classPlain
		path = l.Path
		b = []byte(p)
		q.want = p
	}
	q.call = l.newCall("POST", path, team, b, due)
	return q
}

func (l *Load) newCall(method, path, team string, body []byte, due time.Time) *call.Call {
	return &call.Call{
		ID:       "load-" + strconv.FormatUint(l.sequence.Add(1), 10),
		Method:   method,
		Path:     path,
		Body:     body,
		Headers:  [][2]string{{"Authorization", "Bearer " + l.Keys[team]}, {"Content-Type", "application/json"}},
		Rule:     route.Route{Repeatable: true},
		Arrived:  due,
		Deadline: l.Timer.Now().Add(askTimeout),
	}
}

// ask sends a question and judges its answer.
func (l *Load) ask(ctx context.Context, q *question) {
	t := l.tallies.of(q)
	t.sent()
	a, err := l.exchange.Do(ctx, q.host, q.call)
	for n := 0; n < maxConnects && refusal.Of(err) != nil && refusal.Of(err).Verdict == verdict.NotRun; n++ {
		q.host = l.Hosts[(slices.Index(l.Hosts, q.host)+1)%len(l.Hosts)]
		a, err = l.exchange.Do(ctx, q.host, q.call)
	}
	if err != nil {
		t.fault(l.tallies, q, err)
		return
	}
	defer func() { _ = a.Body.Close() }()
	if a.Status >= statusRefused {
		l.refused(t, q, a)
		return
	}
	m := &meter{load: l, from: q.due}
	got, err := q.read(a, m)
	if err == nil && got != q.want {
		err = errors.New("the answer is not the one to this request")
	}
	if err != nil {
		t.fault(l.tallies, q, err)
		return
	}
	t.answered(m, l.Timer.Now().Sub(q.due))
}

// refused counts a refusal, which must carry a verdict.
func (l *Load) refused(t *tally, q *question, a *answer.Answer) {
	b, err := io.ReadAll(io.LimitReader(a.Body, maxBodyBytes))
	if err != nil {
		t.fault(l.tallies, q, err)
		return
	}
	var p struct {
		Error struct{ Code, Verdict string }
	}
	if json.Unmarshal(b, &p) != nil || p.Error.Verdict == "" {
		t.fault(l.tallies, q, errors.Newf("status %d without a verdict", a.Status))
		return
	}
	t.refused(p.Error.Code + " " + p.Error.Verdict)
}

// meter takes the times of an answer.
type meter struct {
	load    *Load
	from    time.Time
	first   time.Duration
	last    time.Time
	between []time.Duration
}

func (m *meter) tick() {
	n := m.load.Timer.Now()
	if m.first == 0 {
		m.first = n.Sub(m.from)
	} else {
		m.between = append(m.between, n.Sub(m.last))
	}
	m.last = n
}

// read returns the text of an answer.
func (q *question) read(a *answer.Answer, m *meter) (string, error) {
	if q.class == classPlain {
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

// readEvents joins the tokens of a stream, which must end with its last event and nothing after.
func readEvents(r io.Reader, m *meter) (string, error) {
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
			return "", errors.New("an event came after the last")
		}
		if d == done {
			ended = true
			continue
		}
		m.tick()
		token, err := tokenOf(d)
		if err != nil {
			return "", err
		}
		out.WriteString(token)
	}
	if !ended {
		return "", errors.New("the stream ended without its last event")
	}
	return out.String(), nil
}

func tokenOf(data string) (string, error) {
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
		return "", refusal.NewMayHaveRun(statusRefused, e.Error.Code, e.Error.Message)
	}
	if len(e.Choices) != 1 {
		return "", errors.New("an event without a choice")
	}
	return e.Choices[0].Delta.Content, nil
}
