package completion_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/completion"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		name, body, prompt string
		tokens             int64
		fails              bool
	}{
		{"chat", `{"model":"m","messages":[{"role":"user","content":"a"},{"role":"user","content":"b"}]}`, "a\nb\n", 16, false},
		{"text", `{"model":"m","prompt":"p","max_tokens":3,"stream":true}`, "p", 3, false},
		{"content parts", `{"model":"m","messages":[{"content":[{"type":"text"}]}]}`, `[{"type":"text"}]` + "\n", 16, false},
		{"newer limit", `{"model":"m","prompt":"p","max_completion_tokens":5}`, "p", 5, false},
		{"no model", `{"prompt":"p"}`, "", 0, true},
		{"invalid JSON", `{"model":`, "", 0, true},
		{"negative", `{"model":"m","max_tokens":-1}`, "", 0, true},
		{"huge", `{"model":"m","max_tokens":99999999999}`, "", 0, true},
		{"wrong type", `{"model":7}`, "", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q, err := completion.Parse([]byte(c.body))
			is.Equal(err != nil, c.fails)
			if err == nil {
				is.Equal(string(q.Prompt), c.prompt)
				is.Equal(q.MaxTokens, c.tokens)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		q, err := completion.Parse(b)
		if err == nil && (q.Model == "" || q.MaxTokens < 1) {
			t.Fatalf("accepted %+v", q)
		}
	})
}
