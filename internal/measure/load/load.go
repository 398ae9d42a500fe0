package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/measure/summary"
	"siskinrun/internal/wire/transport"
)

const (
	maxFaults   = 20
	idleAge     = 500 * time.Millisecond
	maxInFlight = 4096
)

// Load is one run of online traffic with a batch job beside it.
type Load struct {
	// Label names the run in its summary.
	Label string
	// Hosts are the addresses that take calls.
	Hosts []string
	// Keys are the keys by team.
	Keys map[string]string
	// Shares are the relative rates of the teams; a team without one counts as 1.
	Shares map[string]float64
	// Model is the model of completions.
	Model string
	// Path is the path of calls to a plain service, or empty for none.
	Path string
	// Rate is the number of completions a second.
	Rate float64
	// PathRate is the number of calls to the plain service a second.
	PathRate float64
	// BurstFactor is how many times the rate a burst has; 1 means no bursts.
	BurstFactor float64
	// BurstPeriod is the time between the starts of bursts, which last a quarter of it.
	BurstPeriod time.Duration
	// Duration is how long requests arrive.
	Duration time.Duration
	// Tokens is the number of tokens of each answer.
	Tokens int
	// PromptBytes is the length of each prompt.
	PromptBytes int
	// SharedPrefix is the share of prompts that open with one of a few common texts.
	SharedPrefix float64
	// BatchItems is the number of items of the batch job, or zero for none.
	BatchItems int
	// ImpossibleEvery makes one in so many batch items impossible, or none if zero.
	ImpossibleEvery int
	// Seed is the seed of arrivals and prompts.
	Seed uint64
	// Timer tells the time.
	Timer *timer.Service
	// Progress, if set, is told how many requests have ended.
	Progress func(done, sent int64)

	exchange *transport.Transport
	balancer *balancer
	tallies  *tallies
	sent     atomic.Int64
	done     atomic.Int64
	sequence atomic.Uint64
	run      string
	job      string
}

// Run sends the traffic and returns what came back.
func (l *Load) Run(ctx context.Context) (*summary.Summary, error) {
	if len(l.Hosts) == 0 || len(l.Keys) == 0 {
		return nil, errors.New("load needs at least one host and one key")
	}
	r := rand.New(rand.NewPCG(l.Seed, 0))
	l.prepare()
	defer l.exchange.Close()
	s := &summary.Summary{Label: l.Label, Seed: l.Seed}
	w, cancel := context.WithCancel(ctx)
	defer cancel()
	checks := group.NewGroup(w)
	checks.Go("balancer", l.balancer.run)
	g := group.NewGroup(ctx)
	if l.BatchItems > 0 {
		g.Go("batch", func(ctx context.Context) error { return l.batch(ctx, s) })
	}
	g.Go("online", func(ctx context.Context) error { return l.online(ctx, r, g) })
	if err := g.Wait(); err != nil {
		return nil, err
	}
	l.tallies.fill(s, l.Duration)
	return s, nil
}

// arrival is one request at the time at which it is due.
type arrival struct {
	due   time.Duration
	plain bool
}

// online sends each request when it is due, whatever became of those before.
func (l *Load) online(ctx context.Context, r *rand.Rand, g *group.Group) error {
	start := l.Timer.Now()
	teams := newWheel(l.Keys, l.Shares)
	slots := make(chan struct{}, maxInFlight)
	for a := range l.arrivals(r) {
		if err := l.Timer.Sleep(ctx, a.due-l.Timer.Now().Sub(start)); err != nil {
			return err
		}
		q := l.newQuestion(r, teams.pick(r), a, start.Add(a.due))
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		l.sent.Add(1)
		g.Go("request", func(ctx context.Context) error {
			l.ask(ctx, q)
			<-slots
			l.progress()
			return nil
		})
	}
	return nil
}

func (l *Load) progress() {
	n := l.done.Add(1)
	if l.Progress != nil {
		l.Progress(n, l.sent.Load())
	}
}

// arrivals yields the requests of the run as a Poisson stream with bursts.
func (l *Load) arrivals(r *rand.Rand) func(yield func(arrival) bool) {
	total := l.Rate + l.PathRate
	return func(yield func(arrival) bool) {
		at := time.Duration(0)
		for total > 0 {
			rate := total * l.factor(at)
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at >= l.Duration {
				return
			}
			if !yield(arrival{at, r.Float64()*total >= l.Rate}) {
				return
			}
		}
	}
}

// factor returns how many times the rate holds at a moment.
func (l *Load) factor(at time.Duration) float64 {
	const quarter = 4
	if l.BurstFactor <= 1 || l.BurstPeriod <= 0 {
		return 1
	}
	if at%l.BurstPeriod < l.BurstPeriod/quarter {
		return l.BurstFactor
	}
	return 1
}

// prompt returns a text that no other request of the run has.
func (l *Load) prompt(r *rand.Rand) string {
	const commonTexts = 8
	var b strings.Builder
	if r.Float64() < l.SharedPrefix {
		b.WriteString(strings.Repeat("common-"+strconv.Itoa(r.IntN(commonTexts))+" ", l.PromptBytes/commonTexts+1)[:l.PromptBytes])
	}
	b.WriteString("run " + l.run + " prompt " + strconv.FormatUint(l.sequence.Add(1), 10) + " ")
	for b.Len() < l.PromptBytes {
		b.WriteString(strconv.FormatUint(r.Uint64(), 36))
	}
	return b.String()
}
