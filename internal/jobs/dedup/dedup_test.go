package dedup_test

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/jobs/dedup"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// singleKeyStore is an in-memory store of one key.
type singleKeyStore struct {
	open   bool
	answer []byte
}

func (m *singleKeyStore) OpenCall(context.Context, string, string, []byte) (uint64, []byte, error) {
	if m.answer != nil {
		return 0, m.answer, nil
	}
	if m.open {
		return 0, nil, refusal.NewMayHaveRun(409, "outcome-unknown", "")
	}
	m.open = true
	return 1, nil, nil
}

func (m *singleKeyStore) CloseCall(_ context.Context, _, _ string, _ uint64, a []byte) error {
	m.answer = a
	return nil
}

func (m *singleKeyStore) ForgetCall(context.Context, string, string, uint64) error {
	m.open = false
	return nil
}

// A resend must not run a call a second time unless the first attempt certainly did not run.
func TestResends(t *testing.T) {
	for _, c := range []struct {
		name  string
		first error
		runs  int
		code  string
	}{
		{"answered", nil, 1, ""},
		{"not run", refusal.NewNotRun(503, "no-upstream", ""), 2, ""},
		{"unknown", refusal.NewMayHaveRun(502, "upstream-lost", ""), 1, "outcome-unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := &dedup.Deduplicator{Store: &singleKeyStore{}}
			q := &call.Call{Team: "t", IdempotencyKey: "k"}
			runs := 0
			next := func(context.Context, *call.Call) (*answer.Answer, error) {
				runs++
				if runs == 1 && c.first != nil {
					return nil, c.first
				}
				return &answer.Answer{Status: 201, Body: io.NopCloser(bytes.NewReader([]byte("quote")))}, nil
			}
			_, err := o.Serve(context.Background(), q, next)
			is.Equal(err != nil, c.first != nil)
			a, err := o.Serve(context.Background(), q, next)
			is.Equal(runs, c.runs)
			if c.code != "" {
				is.Equal(refusal.Of(err).Code, c.code)
				is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
				return
			}
			is.NoErr(err)
			b, err := io.ReadAll(a.Body)
			is.NoErr(err)
			is.Equal(string(b), "quote")
			is.Equal(a.Status, 201)
		})
	}
}

// noMemory is an account without room.
type noMemory struct{}

func (noMemory) Reserve(int64) bool      { return false }
func (noMemory) ReserveSpare(int64) bool { return false }
func (noMemory) Release(int64)           {}

// TestAnswersWithoutMemoryAreNotRecorded guards against answers that are read whole without memory for them, and against a resend
// that gets a part of one or runs the call again.
func TestAnswersWithoutMemoryAreNotRecorded(t *testing.T) {
	is := is.New(t)
	o := &dedup.Deduplicator{Store: &singleKeyStore{}}
	q := &call.Call{Team: "t", IdempotencyKey: "k", Memory: noMemory{}}
	body := bytes.Repeat([]byte("x"), 100_000)
	a, err := o.Serve(t.Context(), q, func(context.Context, *call.Call) (*answer.Answer, error) {
		return &answer.Answer{Status: 200, Length: len(body), Body: io.NopCloser(bytes.NewReader(body))}, nil
	})
	is.NoErr(err)
	b, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(len(b), len(body))
	_, err = o.Serve(t.Context(), q, nil)
	is.Equal(refusal.Of(err).Code, "answer-not-kept")
}
