package loadgen

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
	maxListedFaults = 20
	idleTimeout     = 500 * time.Millisecond
	maxInFlight     = 4096
)

// Generator sends online traffic and, concurrently, a batch job.
type Generator struct {
	// Label is the name of the run in its summary.
	Label string
	// Hosts are the addresses of the hosts for callers.
	Hosts []string
	// Keys are the API keys by team.
	Keys map[string]string
	// Shares are the relative rates of the teams; a team without an entry has share 1.
	Shares map[string]float64
	// Model is the model that completions request.
	Model string
	// Path is the path of calls to a plain service; empty means no such calls.
	Path string
	// Rate is the number of completions per second.
	Rate float64
	// PathRate is the number of calls to the plain service per second.
	PathRate float64
	// BurstFactor multiplies the rate during a burst; 1 means no bursts.
	BurstFactor float64
	// BurstPeriod is the time between the starts of bursts, which last a quarter of it.
	BurstPeriod time.Duration
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// Tokens is the number of tokens requested for each answer.
	Tokens int
	// PromptBytes is the minimum length of each prompt.
	PromptBytes int
	// SharedPrefix is the fraction of prompts that start with one of a few common texts.
	SharedPrefix float64
	// BatchItems is the number of items of the batch job; zero means no batch job.
	BatchItems int
	// ImpossibleEvery makes every n-th batch item one that must fail; zero means none.
	ImpossibleEvery int
	// Seed seeds the arrivals and prompts.
	Seed uint64
	// Timer provides the time.
	Timer *timer.Service
	// Progress, if set, is called after each request with the numbers of ended and sent requests.
	Progress func(done, sent int64)

	transport *transport.Transport
	balancer  *balancer
	stats     *runStats
	sent      atomic.Int64
	done      atomic.Int64
	sequence  atomic.Uint64
	runID     string
	jobID     string
}

// Run sends the traffic and returns a summary of the outcomes.
func (l *Generator) Run(ctx context.Context) (*summary.Summary, error) {
	if len(l.Hosts) == 0 || len(l.Keys) == 0 {
		return nil, errors.New("the load generator needs at least one host and one key")
	}
	r := rand.New(rand.NewPCG(l.Seed, 0))
	l.prepare()
	defer l.transport.Close()
	s := &summary.Summary{Label: l.Label, Seed: l.Seed}
	w, cancel := context.WithCancel(ctx)
	defer cancel()
	checks := group.NewGroup(w)
	checks.Go("balancer", l.balancer.run)
	g := group.NewGroup(ctx)
	if l.BatchItems > 0 {
		g.Go("batch", func(ctx context.Context) error { return l.runBatch(ctx, s) })
	}
	g.Go("online", func(ctx context.Context) error { return l.sendOnline(ctx, r, g) })
	if err := g.Wait(); err != nil {
		return nil, err
	}
	l.stats.fillSummary(s, l.Duration)
	return s, nil
}

// arrival is a request with its due time, relative to the start of the run.
type arrival struct {
	due   time.Duration
	plain bool
}

// sendOnline sends each request when it is due, regardless of the outcomes of earlier requests.
func (l *Generator) sendOnline(ctx context.Context, r *rand.Rand, g *group.Group) error {
	start := l.Timer.Now()
	teams := newTeamPicker(l.Keys, l.Shares)
	slots := make(chan struct{}, maxInFlight)
	for a := range l.arrivals(r) {
		if err := l.Timer.Sleep(ctx, a.due-l.Timer.Now().Sub(start)); err != nil {
			return err
		}
		q := l.newRequest(r, teams.pick(r), a, start.Add(a.due))
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		l.sent.Add(1)
		g.Go("request", func(ctx context.Context) error {
			l.send(ctx, q)
			<-slots
			l.reportProgress()
			return nil
		})
	}
	return nil
}

func (l *Generator) reportProgress() {
	n := l.done.Add(1)
	if l.Progress != nil {
		l.Progress(n, l.sent.Load())
	}
}

// arrivals yields the requests of the run as a Poisson process with bursts.
func (l *Generator) arrivals(r *rand.Rand) func(yield func(arrival) bool) {
	total := l.Rate + l.PathRate
	return func(yield func(arrival) bool) {
		at := time.Duration(0)
		for total > 0 {
			rate := total * l.burstFactor(at)
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

// burstFactor returns the factor of the rate at a time since the start of the run.
func (l *Generator) burstFactor(at time.Duration) float64 {
	const quarter = 4
	if l.BurstFactor <= 1 || l.BurstPeriod <= 0 {
		return 1
	}
	if at%l.BurstPeriod < l.BurstPeriod/quarter {
		return l.BurstFactor
	}
	return 1
}

// newPrompt returns a prompt that is unique within the run.
func (l *Generator) newPrompt(r *rand.Rand) string {
	const commonTexts = 8
	var b strings.Builder
	if r.Float64() < l.SharedPrefix {
		b.WriteString(strings.Repeat("common-"+strconv.Itoa(r.IntN(commonTexts))+" ", l.PromptBytes/commonTexts+1)[:l.PromptBytes])
	}
	b.WriteString("run " + l.runID + " prompt " + strconv.FormatUint(l.sequence.Add(1), 10) + " ")
	for b.Len() < l.PromptBytes {
		b.WriteString(strconv.FormatUint(r.Uint64(), 36))
	}
	return b.String()
}
