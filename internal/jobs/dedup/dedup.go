package dedup

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"

	"siskinrun/internal/base/heldread"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	// maxAnswerBytes is the largest body that is stored to answer a resend, if the host has memory for it.
	maxAnswerBytes = 1 << 20
	// recordCopies is what the record of a body takes in bodies: its JSON form, in Base64, twice.
	recordCopies = 3
	// smallAnswer is the length up to which what the connection of the caller counts includes the record.
	smallAnswer = 4 << 10
)

// store records intents and answers on a quorum.
type store interface {
	OpenCall(ctx context.Context, team, key string, fingerprint []byte) (fence uint64, recorded []byte, err error)
	CloseCall(ctx context.Context, team, key string, fence uint64, answer []byte) error
	ForgetCall(ctx context.Context, team, key string, fence uint64) error
}

// Deduplicator records the intent of a call before it is sent, and its answer to replay on a resend.
type Deduplicator struct {
	// Store records intents and answers.
	Store store
}

// storedAnswer is the JSON form of a recorded answer.
type storedAnswer struct {
	Status      int         `json:"status"`
	ContentType string      `json:"content-type"`
	Headers     [][2]string `json:"headers"`
	Body        []byte      `json:"body"`
	TooLarge    bool        `json:"too-large"`
}

// Serve runs next, or returns the recorded answer of an earlier call with the same key.
func (o *Deduplicator) Serve(
	ctx context.Context, c *call.Call, next func(context.Context, *call.Call) (*answer.Answer, error),
) (*answer.Answer, error) {
	f, b, err := o.Store.OpenCall(ctx, c.Team, c.IdempotencyKey, fingerprint(c))
	if err != nil {
		return nil, err
	}
	if b != nil {
		return replay(b)
	}
	a, err := next(ctx, c)
	w := context.WithoutCancel(ctx)
	if err != nil {
		if refusal.Of(err).Verdict == verdict.NotRun {
			_ = o.Store.ForgetCall(w, c.Team, c.IdempotencyKey, f)
		}
		return nil, err
	}
	return o.recordAnswer(w, c, f, a)
}

// recordAnswer reads the answer and records it before the caller gets it.
func (o *Deduplicator) recordAnswer(ctx context.Context, c *call.Call, fence uint64, a *answer.Answer) (*answer.Answer, error) {
	h := heldread.Reader{Memory: c.Memory, Most: maxAnswerBytes + 1}
	b, whole, err := h.Read(a.Body, a.Length)
	if err != nil {
		h.Release()
		_ = a.Body.Close()
		return nil, refusal.NewMayHaveRun(502, "answer-cut", err.Error())
	}
	k := storedAnswer{Status: a.Status, ContentType: a.ContentType, Headers: a.Headers, Body: b}
	if !whole || len(b) > maxAnswerBytes || len(b) > smallAnswer && !h.Reserve(recordCopies*len(b)) {
		k.Body = nil
		k.TooLarge = true
	}
	j, err := json.Marshal(k)
	if err != nil {
		return nil, refusal.NewMayHaveRun(500, "internal-error", err.Error())
	}
	_ = o.Store.CloseCall(ctx, c.Team, c.IdempotencyKey, fence, j)
	a.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(b), a.Body), Closer: a.Body}
	return a, nil
}

// prefixedBody is a body whose first part has already been read.
type prefixedBody struct {
	io.Reader
	io.Closer
}

func replay(b []byte) (*answer.Answer, error) {
	k := storedAnswer{}
	if err := json.Unmarshal(b, &k); err != nil {
		return nil, refusal.NewMayHaveRun(500, "internal-error", "the recorded answer cannot be decoded")
	}
	if k.TooLarge {
		return nil, refusal.NewMayHaveRun(409, "answer-not-kept", "the request ran, but its answer was too large to record")
	}
	return &answer.Answer{
		Status:      k.Status,
		ContentType: k.ContentType,
		Headers:     append(k.Headers, [2]string{"Idempotent-Replayed", "true"}),
		Length:      len(k.Body),
		Body:        io.NopCloser(bytes.NewReader(k.Body)),
	}, nil
}

// fingerprint identifies a request by its method, path and body.
func fingerprint(c *call.Call) []byte {
	h := sha256.New()
	for _, s := range [][]byte{[]byte(c.Method), []byte(c.Path), c.Body} {
		n := sha256.Sum256(s)
		h.Write(n[:])
	}
	return h.Sum(nil)
}
