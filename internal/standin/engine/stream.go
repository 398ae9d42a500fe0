package engine

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/standin/answertext"
	"siskinrun/internal/standin/faultinjection"
)

// silentDuration is how long a stream with a silent fault stays open.
const silentDuration = time.Minute

// stream generates the events of a running completion as they are read.
type stream struct {
	engine    *Engine
	id        string
	model     string
	prompt    string
	next      int
	tokens    int
	slow      bool
	fault     string
	pending   []byte
	ended     bool
	closeOnce sync.Once
}

// Read implements io.Reader.Read.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		if err := s.nextEvent(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// Close implements io.Closer.Close.
func (s *stream) Close() error {
	s.closeOnce.Do(s.engine.releaseSlot)
	return nil
}

func (s *stream) nextEvent() error {
	if s.next >= s.tokens {
		s.pending = newEvent(s.next, []byte("[DONE]"))
		s.ended = true
		return nil
	}
	s.waitStep()
	if s.engine.Cancelled(s.id) {
		return errors.New("the request was cancelled")
	}
	if s.next == s.tokens/2 && s.fault != "" {
		return s.fail()
	}
	s.pending = newEvent(s.next, newChunk(s.id, s.model, answertext.Token(s.model, s.prompt, s.next)))
	s.next++
	return nil
}

// fail injects the fault of the stream.
func (s *stream) fail() error {
	if s.fault == faultinjection.Silent {
		_ = s.engine.Timer.Sleep(s.engine.runContext, silentDuration)
	}
	if s.fault == faultinjection.Short {
		return io.EOF
	}
	return errors.New("injected fault: connection closed")
}

// prefill waits for the prefill time of the blocks that are not cached.
func (s *stream) prefill() {
	n := s.engine.cache.storePrompt(s.model, s.prompt)
	s.sleep(time.Duration(n) * s.engine.PrefillPerBlock)
}

// waitStep waits for the time of one token.
func (s *stream) waitStep() {
	s.sleep(s.engine.stepTime())
}

func (s *stream) sleep(d time.Duration) {
	if s.slow {
		d *= slowFactor
	}
	if d > 0 {
		_ = s.engine.Timer.Sleep(s.engine.runContext, d)
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Text    string   `json:"text,omitempty"`
	Finish  string   `json:"finish_reason,omitempty"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type answerBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func newChunk(id, model, token string) []byte {
	b, _ := json.Marshal(answerBody{
		ID:      id,
		Object:  "chat.completion.chunk",
		Model:   model,
		Choices: []choice{{Delta: &message{Role: "assistant", Content: token}}},
	})
	return b
}

func newAnswerBody(s *stream) answerBody {
	t := answertext.Answer(s.model, s.prompt, s.tokens)
	p := len(s.prompt) / 4
	return answerBody{
		ID:      s.id,
		Object:  "chat.completion",
		Model:   s.model,
		Choices: []choice{{Message: &message{Role: "assistant", Content: t}, Text: t, Finish: "length"}},
		Usage:   &usage{Prompt: p, Completion: s.tokens, Total: p + s.tokens},
	}
}
