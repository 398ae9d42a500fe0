package enginesim

import (
	"math/rand/v2"
	"sync"
	"time"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/cache"
	"siskinrun/internal/data/loadreport"
)

const (
	// DefaultSlots is the default number of requests that run concurrently.
	DefaultSlots = 32
	// DefaultStepBase is the default time of an empty step.
	DefaultStepBase = 20 * time.Millisecond
	// DefaultStepRequest is the default time that each running request adds to a step.
	DefaultStepRequest = 200 * time.Microsecond
	// DefaultStepPromptToken is the default time that each prompt token adds to a step.
	DefaultStepPromptToken = 50 * time.Microsecond
	// DefaultPrefillChunk is the default maximum of prompt tokens computed in one step.
	DefaultPrefillChunk = 512
	// DefaultBlockTokens is the default number of prompt tokens that one block hash covers.
	DefaultBlockTokens = 64
	// DefaultCacheBlocks is the default number of blocks that the prefix cache holds.
	DefaultCacheBlocks = 2000
	// DefaultReportDelay is the default delay of reports and cache events.
	DefaultReportDelay = time.Second
)

// clock is the subset of the timer service that an engine uses.
type clock interface {
	Now() time.Time
	After(d time.Duration, f func(now time.Time)) (cancel func())
	Every(d time.Duration, f func(now time.Time)) (cancel func())
}

// request is the state of one submitted request.
type request struct {
	prefix     []uint64
	prompt     int
	promptLeft int
	output     int
	generated  int
	onToken    func(n int, now time.Time)
	cancelled  bool
}

// Engine admits requests in order of arrival and generates one token a step for each running request.
type Engine struct {
	// Name is the upstream name in reports and cache events.
	Name string
	// Incarnation is the incarnation in reports and cache events.
	Incarnation uint64
	// Slots is the number of requests that run concurrently.
	Slots int
	// StepBase is the time of an empty step.
	StepBase time.Duration
	// StepRequest is the time that each running request adds to a step.
	StepRequest time.Duration
	// StepPromptToken is the time that each prompt token adds to a step.
	StepPromptToken time.Duration
	// Slowness multiplies the time of every step.
	Slowness float64
	// PrefillChunk is the maximum of prompt tokens computed in one step.
	PrefillChunk int
	// BlockTokens is the number of prompt tokens that one block hash covers.
	BlockTokens int
	// CacheBlocks is the number of blocks that the prefix cache holds.
	CacheBlocks int
	// ReportDelay is the delay of reports and cache events.
	ReportDelay time.Duration
	// EventLoss is the probability that a cache event is lost.
	EventLoss float64
	// OnReport receives each report after ReportDelay.
	OnReport func(r loadreport.Report)
	// OnCache receives each cache event after ReportDelay.
	OnCache func(e cache.Event)

	clock        clock
	random       *rand.Rand
	mu           sync.Mutex
	waiting      []*request
	running      []*request
	stepping     bool
	blocks       blockCache
	sequence     uint64
	hitTokens    int64
	promptTokens int64
}

// NewEngine returns an idle engine; seed seeds the loss of its cache events.
func NewEngine(name string, c clock, seed uint64) *Engine {
	return &Engine{
		Name:            name,
		Incarnation:     1,
		Slots:           DefaultSlots,
		StepBase:        DefaultStepBase,
		StepRequest:     DefaultStepRequest,
		StepPromptToken: DefaultStepPromptToken,
		Slowness:        1,
		PrefillChunk:    DefaultPrefillChunk,
		BlockTokens:     DefaultBlockTokens,
		CacheBlocks:     DefaultCacheBlocks,
		ReportDelay:     DefaultReportDelay,
		clock:           c,
		random:          rand.New(rand.NewPCG(seed, seed)),
	}
}

// Submit adds a request and calls onToken for each generated token, with its number from 1 to output; the returned function cancels the request.
//
// The prefix may extend past the prompt and name blocks that are still to be generated,
// so that a cancelled request can be resumed with a longer prompt.
func (e *Engine) Submit(prefix []uint64, prompt, output int, onToken func(n int, now time.Time)) (cancel func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &request{prefix: prefix, prompt: prompt, output: output, onToken: onToken}
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

// Publish sends a report and the new cache events at each interval, after ReportDelay, until the returned function is called.
func (e *Engine) Publish(interval time.Duration) (stop func()) {
	return e.clock.Every(interval, func(time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.publish()
	})
}

// Load returns the numbers of running and waiting requests.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.waiting)
}

// Hits returns the prompt tokens found in the cache and all prompt tokens.
func (e *Engine) Hits() (hits, total int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hitTokens, e.promptTokens
}

// step admits waiting requests and starts one step, or goes idle if nothing runs.
func (e *Engine) step() {
	for _, s := range e.running {
		if s.cancelled && s.promptLeft == 0 {
			e.cacheRequest(s)
		}
	}
	e.running = notCancelled(e.running)
	e.waiting = notCancelled(e.waiting)
	e.admit()
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	prompt := e.prefill()
	d := e.StepBase + time.Duration(len(e.running))*e.StepRequest + time.Duration(prompt)*e.StepPromptToken
	e.clock.After(time.Duration(float64(d)*e.Slowness), e.finish)
}

func (e *Engine) admit() {
	n := min(e.Slots-len(e.running), len(e.waiting))
	for _, s := range e.waiting[:n] {
		held := e.blocks.cachedBlocks(s.prefix) * e.BlockTokens
		held = min(held, s.prompt-1)
		e.hitTokens += int64(held)
		e.promptTokens += int64(s.prompt)
		s.promptLeft = s.prompt - held
	}
	e.running = append(e.running, e.waiting[:n]...)
	e.waiting = e.waiting[n:]
}

// prefill computes up to PrefillChunk prompt tokens, oldest requests first, and returns their number.
func (e *Engine) prefill() int {
	spent := 0
	for _, s := range e.running {
		n := min(s.promptLeft, e.PrefillChunk-spent)
		if n == 0 {
			continue
		}
		s.promptLeft -= n
		spent += n
		if s.promptLeft == 0 {
			e.cacheRequest(s)
		}
	}
	return spent
}

func (e *Engine) finish(now time.Time) {
	e.mu.Lock()
	var due []*request
	rest := e.running[:0]
	for _, s := range e.running {
		if s.promptLeft == 0 && !s.cancelled {
			s.generated++
			due = append(due, s)
		}
		if s.generated < s.output {
			rest = append(rest, s)
		} else {
			e.cacheRequest(s)
		}
	}
	e.running = rest
	e.mu.Unlock()
	for _, s := range due {
		s.onToken(s.generated, now)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step()
}

// cacheRequest caches the blocks of a request's prompt and generated tokens, as far as prefix names them.
func (e *Engine) cacheRequest(s *request) {
	n := min((s.prompt+s.generated)/e.BlockTokens, len(s.prefix))
	e.blocks.store(s.prefix[:n], e.CacheBlocks)
}

func (e *Engine) publish() {
	r := loadreport.Report{
		Upstream:    e.Name,
		Incarnation: e.Incarnation,
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		CacheUsed:   e.blocks.len() * 1000 / max(e.CacheBlocks, 1),
		Age:         duration.Duration(e.ReportDelay),
	}
	if f := e.OnReport; f != nil {
		e.clock.After(e.ReportDelay, func(time.Time) { f(r) })
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
	lost := e.random.Float64() < e.EventLoss
	if f := e.OnCache; f != nil && !lost {
		e.clock.After(e.ReportDelay, func(time.Time) { f(v) })
	}
}

func notCancelled(l []*request) []*request {
	rest := l[:0]
	for _, s := range l {
		if !s.cancelled {
			rest = append(rest, s)
		}
	}
	return rest
}
