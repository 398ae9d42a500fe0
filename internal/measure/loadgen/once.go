package loadgen

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/measure/summary"
	"siskinrun/internal/wire/transport"
)

// RunOnce sends one completion, one call to the plain service and the batch job, and returns a summary.
func (l *Generator) RunOnce(ctx context.Context) (*summary.Summary, error) {
	l.prepare()
	defer l.transport.Close()
	r := rand.New(rand.NewPCG(l.Seed, 0))
	team := slices.Sorted(mapKeys(l.Keys))[0]
	for _, plain := range []bool{false, true} {
		l.send(ctx, l.newRequest(r, team, arrival{plain: plain}, l.Timer.Now()))
	}
	s := &summary.Summary{Label: l.Label, Seed: l.Seed}
	if err := l.runBatch(ctx, s); err != nil {
		return nil, err
	}
	l.stats.fillSummary(s, 0)
	return s, nil
}

// CheckReady returns an error unless every host is ready and answers completions.
func (l *Generator) CheckReady(ctx context.Context) error {
	l.prepare()
	defer l.transport.Close()
	team := slices.Sorted(mapKeys(l.Keys))[0]
	for _, h := range l.Hosts {
		for _, p := range []string{"/-/ready", "/v1/models"} {
			if err := l.checkPath(ctx, h, team, p); err != nil {
				return err
			}
		}
	}
	return l.checkCompletions(ctx, team)
}

// checkCompletions sends a completion to each host and checks only the status of the answer.
func (l *Generator) checkCompletions(ctx context.Context, team string) error {
	r := rand.New(rand.NewPCG(l.Seed, 2))
	for _, h := range l.Hosts {
		q := l.newRequest(r, team, arrival{}, l.Timer.Now())
		q.host = h
		a, err := l.transport.Do(ctx, h, q.call)
		if err != nil {
			return err
		}
		_ = a.Body.Close()
		if a.Status != fasthttp.StatusOK {
			return errors.Newf("%s answered a completion with status %d", h, a.Status)
		}
	}
	return nil
}

func (l *Generator) checkPath(ctx context.Context, host, team, path string) error {
	a, err := l.transport.Do(ctx, host, l.newCall("GET", path, team, nil, l.Timer.Now()))
	if err != nil {
		return err
	}
	_ = a.Body.Close()
	if a.Status != fasthttp.StatusOK {
		return errors.Newf("%s%s answered with status %d", host, path, a.Status)
	}
	return nil
}

// prepare sets up the run ID, transport, statistics and balancer of a run.
func (l *Generator) prepare() {
	l.runID = strconv.FormatUint(rand.Uint64(), 36)
	l.transport = &transport.Transport{Timer: l.Timer, IdleTimeout: idleTimeout, BodyReadTimeout: bodyReadTimeout}
	l.stats = newRunStats()
	l.balancer = &balancer{generator: l, ready: l.Hosts}
}

const bodyReadTimeout = 30 * time.Second

// CheckSameResults returns an error if a host serves other results of the last batch job than the first host.
func (l *Generator) CheckSameResults(ctx context.Context) error {
	l.transport = &transport.Transport{Timer: l.Timer, IdleTimeout: idleTimeout, BodyReadTimeout: bodyReadTimeout}
	defer l.transport.Close()
	team := slices.Sorted(mapKeys(l.Keys))[0]
	var first []byte
	for i, h := range l.Hosts {
		b, _, err := l.tryFetch(ctx, h, team, "GET", "/v1/batches/"+l.jobID+"/results", "", nil)
		if err != nil {
			return errors.Wrap(err, h)
		}
		if i == 0 {
			first = b
		}
		if !bytes.Equal(first, b) {
			return errors.Newf("%s serves other batch results than %s", h, l.Hosts[0])
		}
	}
	return nil
}
