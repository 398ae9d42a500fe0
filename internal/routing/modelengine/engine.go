package modelengine

import (
	"math/rand/v2"
	"sync"
	"time"

	"siskinrun/internal/base/span"
	"siskinrun/internal/data/cache"
	"siskinrun/internal/data/report"
)

const (
	// SlotsDefault is the default number of requests that run side by side.
	SlotsDefault = 32
	// StepBaseDefault is the default time of a step without work.
	StepBaseDefault = 20 * time.Millisecond
	// StepStreamDefault is the default time that each running request adds to a step.
	StepStreamDefault = 200 * time.Microsecond
	// StepTokenDefault is the default time that each prompt token adds to a step.
	StepTokenDefault = 50 * time.Microsecond
	// ChunkDefault is the default bound on the prompt tokens of one step.
	ChunkDefault = 512
	// BlockTokensDefault is the default number of prompt tokens that one block hash covers.
	BlockTokensDefault = 64
	// CacheBlocksDefault is the default number of blocks that the prefix cache holds.
	CacheBlocksDefault = 2000
	// LagDefault is the default delay of reports and cache events.
	LagDefault = time.Second
)

// clock is the part of the timer service that an engine uses.
type clock interface {
	Now() time.Time
	After(d time.Duration, f func(now time.Time)) (cancel func())
	Every(d time.Duration, f func(now time.Time)) (cancel func())
}

// stream is one submitted request.
type stream struct {
	prefix    []uint64
	prompt    int
	left      int
	output    int
	done      int
	token     func(n int, now time.Time)
	cancelled bool
}

// Engine admits requests first come, first served, and advances all that run by one token a step.
type Engine struct {
	// Name is the name in reports and cache events.
	Name string
	// Incarnation is the incarnation in reports and cache events.
	Incarnation uint64
	// Slots is the number of requests that run side by side.
	Slots int
	// StepBase is the time of a step without work.
	StepBase time.Duration
	// StepStream is the time that each running request adds to a step.
	StepStream time.Duration
	// StepToken is the time that each prompt token adds to a step.
	StepToken time.Duration
	// Slowness multiplies the time of each step.
	Slowness float64
	// Chunk bounds the prompt tokens of one step.
	Chunk int
	// BlockTokens is the number of prompt tokens that one block hash covers.
	BlockTokens int
	// CacheBlocks is the number of blocks that the prefix cache holds.
	CacheBlocks int
	// Lag is the delay of reports and cache events.
	Lag time.Duration
	// Loss is the share of cache events that never arrive.
	Loss float64
	// OnReport takes each late report.
	OnReport func(r report.Report)
	// OnCache takes each late cache event.
	OnCache func(e cache.Event)

	clock    clock
	random   *rand.Rand
	mu       sync.Mutex
	waiting  []*stream
	running  []*stream
	stepping bool
	blocks   blocks
	sequence uint64
	hits     int64
	asked    int64
}

// NewEngine returns an idle engine on a clock, with a seed for the loss of its events.
func NewEngine(name string, c clock, seed uint64) *Engine {
	return &Engine{
		Name:        name,
		Incarnation: 1,
		Slots:       SlotsDefault,
		StepBase:    StepBaseDefault,
		StepStream:  StepStreamDefault,
		StepToken:   StepTokenDefault,
		Slowness:    1,
		Chunk:       ChunkDefault,
		BlockTokens: BlockTokensDefault,
		CacheBlocks: CacheBlocksDefault,
		Lag:         LagDefault,
		clock:       c,
		random:      rand.New(rand.NewPCG(seed, seed)),
	}
}

// Submit adds a request and calls token at each token from 1 to output; the returned function cancels it.
//
// The prefix may reach past the prompt and name blocks that are yet to be generated,
// so that a cancelled request can be resumed by a longer prompt.
func (e *Engine) Submit(prefix []uint64, prompt, output int, token func(n int, now time.Time)) (cancel func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &stream{prefix: prefix, prompt: prompt, output: output, token: token}
	e.waiting = append(e.waiting, s)
	if !e.stepping {
		e.step()
	}
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		s.cancelled = true
	}
}

// Publish sends a report and the cache events of each interval, late, until the returned function is called.
func (e *Engine) Publish(interval time.Duration) (stop func()) {
	return e.clock.Every(interval, func(time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.publish()
	})
}

// Load returns the requests that run and wait.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.waiting)
}

// Hits returns the prompt tokens found in the cache and those asked for.
func (e *Engine) Hits() (hits, asked int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hits, e.asked
}

// step admits what fits and begins one step, or rests if there is nothing to do.
func (e *Engine) step() {
	for _, s := range e.running {
		if s.cancelled && s.left == 0 {
			e.keep(s)
		}
	}
	e.running = live(e.running)
	e.waiting = live(e.waiting)
	e.admit()
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	prompt := e.prefill()
	d := e.StepBase + time.Duration(len(e.running))*e.StepStream + time.Duration(prompt)*e.StepToken
	e.clock.After(time.Duration(float64(d)*e.Slowness), e.finish)
}

func (e *Engine) admit() {
	n := min(e.Slots-len(e.running), len(e.waiting))
	for _, s := range e.waiting[:n] {
		held := e.blocks.held(s.prefix) * e.BlockTokens
		held = min(held, s.prompt-1)
		e.hits += int64(held)
		e.asked += int64(s.prompt)
		s.left = s.prompt - held
	}
	e.running = append(e.running, e.waiting[:n]...)
	e.waiting = e.waiting[n:]
}

// prefill spends one step's prompt tokens on the oldest requests and returns their number.
func (e *Engine) prefill() int {
	spent := 0
	for _, s := range e.running {
		n := min(s.left, e.Chunk-spent)
		if n == 0 {
			continue
		}
		s.left -= n
		spent += n
		if s.left == 0 {
			e.keep(s)
		}
	}
	return spent
}

func (e *Engine) finish(now time.Time) {
	e.mu.Lock()
	var due []*stream
	rest := e.running[:0]
	for _, s := range e.running {
		if s.left == 0 && !s.cancelled {
			s.done++
			due = append(due, s)
		}
		if s.done < s.output {
			rest = append(rest, s)
		} else {
			e.keep(s)
		}
	}
	e.running = rest
	e.mu.Unlock()
	for _, s := range due {
		s.token(s.done, now)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step()
}

// keep caches the blocks of a request's prompt and of what it has generated, as far as prefix names them.
func (e *Engine) keep(s *stream) {
	n := min((s.prompt+s.done)/e.BlockTokens, len(s.prefix))
	e.blocks.store(s.prefix[:n], e.CacheBlocks)
}

func (e *Engine) publish() {
	r := report.Report{
		Upstream:    e.Name,
		Incarnation: e.Incarnation,
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		CacheUsed:   e.blocks.len() * 1000 / max(e.CacheBlocks, 1),
		Age:         span.Span(e.Lag),
	}
	if f := e.OnReport; f != nil {
		e.clock.After(e.Lag, func(time.Time) { f(r) })
	}
	stored, removed := e.blocks.changes()
	if len(stored)+len(removed) == 0 {
		return
	}
	e.sequence++
	v := cache.Event{
		Upstream:    e.Name,
		Incarnation: e.Incarnation,
		Sequence:    e.sequence,
		Stored:      stored,
		Removed:     removed,
	}
	lost := e.random.Float64() < e.Loss
	if f := e.OnCache; f != nil && !lost {
		e.clock.After(e.Lag, func(time.Time) { f(v) })
	}
}

func live(l []*stream) []*stream {
	rest := l[:0]
	for _, s := range l {
		if !s.cancelled {
			rest = append(rest, s)
		}
	}
	return rest
}
