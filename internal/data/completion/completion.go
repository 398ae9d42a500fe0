package completion

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

const (
	defaultMaxTokens = 16
	maxTokens        = 1 << 20
)

// Completion holds the parameters of a chat or text completion request.
type Completion struct {
	// Model is the model name as callers send it.
	Model string
	// Prompt is the prompt, or the text of all messages.
	Prompt []byte
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int64
	// Stream requests the answer as server-sent events.
	Stream bool
}

type request struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Parse parses a request body. The text of its error is shown to the caller.
func Parse(b []byte) (*Completion, error) {
	q := &request{}
	if err := json.Unmarshal(b, q); err != nil {
		return nil, errors.Wrap(err, "the body is not a JSON object of a completion request")
	}
	if q.Model == "" {
		return nil, errors.New("the field model is missing")
	}
	n, err := q.tokens()
	if err != nil {
		return nil, err
	}
	return &Completion{Model: q.Model, Prompt: q.text(), MaxTokens: n, Stream: q.Stream}, nil
}

func (q *request) tokens() (int64, error) {
	n := int64(defaultMaxTokens)
	for _, p := range []*int64{q.MaxTokens, q.MaxCompletionTokens} {
		if p != nil {
			n = *p
		}
	}
	if n < 1 || n > maxTokens {
		return 0, errors.Newf("the field max_tokens must lie between 1 and %d", maxTokens)
	}
	return n, nil
}

func (q *request) text() []byte {
	var b bytes.Buffer
	if len(q.Prompt) > 0 {
		writeText(&b, q.Prompt)
		return b.Bytes()
	}
	for _, m := range q.Messages {
		writeText(&b, m.Content)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// writeText appends the text of a JSON string, or any other JSON value unchanged.
func writeText(b *bytes.Buffer, raw json.RawMessage) {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		b.WriteString(s)
		return
	}
	b.Write(raw)
}
