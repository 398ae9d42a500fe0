package batch

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/data/itemline"
	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/ledger"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// leaderReadTimeout bounds a read of results from the leader, after which the replicas are tried.
const leaderReadTimeout = time.Second

// outputLine is a line of a job's results.
type outputLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *response       `json:"response"`
	Error    *itemError      `json:"error"`
	Verdict  verdict.Verdict `json:"verdict"`
}

type response struct {
	StatusCode int32           `json:"status_code"`
	Body       json.RawMessage `json:"body"`
}

type itemError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Results writes the results of a job's ended items as JSON lines in input order.
func (b *Service) Results(ctx context.Context, team, id string, w io.Writer) error {
	return b.results(ctx, team, id, false, w)
}

// Errors writes the results of a job's items that did not succeed.
func (b *Service) Errors(ctx context.Context, team, id string, w io.Writer) error {
	return b.results(ctx, team, id, true, w)
}

func (b *Service) results(ctx context.Context, team, id string, errors bool, w io.Writer) error {
	g, err := b.groupIn(kindJob, id)
	if err != nil {
		return err
	}
	p := &entry.Page{Job: id, Errors: errors}
	q := &entry.Query{Group: g, Kind: &entry.Query_Results{Results: p}}
	for {
		f, err := b.fetchPage(ctx, q)
		if err != nil {
			return err
		}
		if len(f.Jobs) != 1 || f.Jobs[0].Team != team {
			return notFound(kindJob)
		}
		if _, err := w.Write(f.Data); err != nil {
			return err
		}
		if f.Last {
			return nil
		}
		p.From = f.Next
	}
}

// fetchPage reads a page of results. It tries a local replica, which serves only ended jobs, then the leader, then
// the other replicas if the leader fails.
func (b *Service) fetchPage(ctx context.Context, q *entry.Query) (*entry.Found, error) {
	e := proto.Clone(q).(*entry.Query)
	e.GetResults().Ended = true
	if l := b.Ledgers[q.Group]; l != nil {
		if f, err := readPage(l, e.GetResults()); err == nil {
			return f, nil
		}
	}
	f, err := b.queryLeader(ctx, q)
	if err == nil || refusal.Of(err).Status < 500 {
		return f, err
	}
	m, failed := proto.Marshal(e)
	if failed != nil {
		return nil, err
	}
	for _, h := range b.Replicas {
		r, failed := b.Peers.Call(ctx, h, methodQuery, m)
		if failed != nil {
			continue
		}
		f := &entry.Found{}
		return f, decode(r, f)
	}
	return nil, err
}

func (b *Service) queryLeader(ctx context.Context, q *entry.Query) (*entry.Found, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderReadTimeout)
	defer cancel()
	return b.query(ctx, q)
}

// readPage reads a page of results from a ledger.
func readPage(l *ledger.Ledger, p *entry.Page) (*entry.Found, error) {
	j, err := l.Job(p.Job)
	if err != nil {
		return nil, err
	}
	if p.Ended && j.Finished == 0 {
		return nil, ledger.ErrNotFound
	}
	f := &entry.Found{Jobs: []*entry.Job{j}, Next: p.From}
	for f.Next < j.Total && len(f.Data) < pageBytes {
		b, r, err := l.Result(p.Job, int(f.Next))
		if err != nil {
			return nil, err
		}
		f.Next++
		if r == nil || p.Errors && succeeded(r) {
			continue
		}
		f.Data = append(f.Data, renderLine(p.Job, int(f.Next)-1, b, r)...)
	}
	f.Last = f.Next >= j.Total
	return f, nil
}

func succeeded(r *entry.Result) bool {
	return r.Code == "" && r.Status < 400
}

// renderLine returns the result of an ended item as a JSON line.
func renderLine(id string, index int, input []byte, r *entry.Result) []byte {
	i := itemline.Line{}
	_ = json.Unmarshal(input, &i)
	o := outputLine{
		ID:       id + "-" + strconv.Itoa(index),
		CustomID: i.CustomID,
		Verdict:  verdict.Verdict(r.Verdict),
	}
	if r.Status > 0 {
		o.Response = &response{StatusCode: r.Status, Body: asJSON(r.Body)}
	}
	if r.Code != "" {
		o.Error = &itemError{Code: r.Code, Message: r.Message}
	}
	b, err := json.Marshal(o)
	if err != nil {
		b, _ = json.Marshal(outputLine{ID: o.ID, CustomID: o.CustomID, Verdict: o.Verdict})
	}
	return append(b, '\n')
}

// asJSON returns a body unchanged if it is valid JSON, or else as a JSON string.
func asJSON(b []byte) json.RawMessage {
	if json.Valid(b) {
		return b
	}
	s, _ := json.Marshal(string(b))
	return s
}
