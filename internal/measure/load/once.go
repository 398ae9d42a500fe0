package load

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

// Once sends one completion, one call to the plain service and the batch job.
func (l *Load) Once(ctx context.Context) (*summary.Summary, error) {
	l.prepare()
	defer l.exchange.Close()
	r := rand.New(rand.NewPCG(l.Seed, 0))
	team := slices.Sorted(keysOf(l.Keys))[0]
	for _, plain := range []bool{false, true} {
		l.ask(ctx, l.newQuestion(r, team, arrival{plain: plain}, l.Timer.Now()))
	}
	s := &summary.Summary{Label: l.Label, Seed: l.Seed}
	if err := l.batch(ctx, s); err != nil {
		return nil, err
	}
	l.tallies.fill(s, 0)
	return s, nil
}

// Ready reports as an error why some host does not yet take completions.
func (l *Load) Ready(ctx context.Context) error {
	l.prepare()
	defer l.exchange.Close()
	team := slices.Sorted(keysOf(l.Keys))[0]
	for _, h := range l.Hosts {
		for _, p := range []string{"/-/ready", "/v1/models"} {
			if err := l.probe(ctx, h, team, p); err != nil {
				return err
			}
		}
	}
	return l.answers(ctx, team)
}

// answers sends a completion to each host and passes over what it says.
func (l *Load) answers(ctx context.Context, team string) error {
	r := rand.New(rand.NewPCG(l.Seed, 2))
	for _, h := range l.Hosts {
		q := l.newQuestion(r, team, arrival{}, l.Timer.Now())
		q.host = h
		a, err := l.exchange.Do(ctx, h, q.call)
		if err != nil {
			return err
		}
		_ = a.Body.Close()
		if a.Status != fasthttp.StatusOK {
			return errors.Newf("%s answers a completion with status %d", h, a.Status)
		}
	}
	return nil
}

func (l *Load) probe(ctx context.Context, host, team, path string) error {
	a, err := l.exchange.Do(ctx, host, l.newCall("GET", path, team, nil, l.Timer.Now()))
	if err != nil {
		return err
	}
	_ = a.Body.Close()
	if a.Status != fasthttp.StatusOK {
		return errors.Newf("%s%s answers with status %d", host, path, a.Status)
	}
	return nil
}

// prepare readies the connections and tallies of a run.
func (l *Load) prepare() {
	l.run = strconv.FormatUint(rand.Uint64(), 36)
	l.exchange = &transport.Transport{Timer: l.Timer, IdleTimeout: idleAge, BodyReadTimeout: silence}
	l.tallies = newTallies()
	l.balancer = &balancer{load: l, ready: l.Hosts}
}

const silence = 30 * time.Second

// SameResults reports as an error which host gives other results of the last batch job than the first.
func (l *Load) SameResults(ctx context.Context) error {
	l.exchange = &transport.Transport{Timer: l.Timer, IdleTimeout: idleAge, BodyReadTimeout: silence}
	defer l.exchange.Close()
	team := slices.Sorted(keysOf(l.Keys))[0]
	var first []byte
	for i, h := range l.Hosts {
		b, _, err := l.once(ctx, h, team, "GET", "/v1/batches/"+l.job+"/results", "", nil)
		if err != nil {
			return errors.Wrap(err, h)
		}
		if i == 0 {
			first = b
		}
		if !bytes.Equal(first, b) {
			return errors.Newf("%s gives other results than %s", h, l.Hosts[0])
		}
	}
	return nil
}
