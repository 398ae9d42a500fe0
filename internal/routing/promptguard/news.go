package promptguard

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/data/crashevidence"
	"siskinrun/internal/routing/crashmessage"
	"siskinrun/pkg/refusal"
)

const (
	// comparedHosts is the number of hosts of one comparison.
	comparedHosts = 2
	// firstComparedHosts is the same number for a host that has just started: others may have started with it.
	firstComparedHosts = 6
	// gatherTime is the time for which news is gathered: several calls are lost with one upstream.
	gatherTime = 5 * time.Millisecond
	// maxBroadcasts is the number of messages with news that a host may send to each other one in one compareInterval;
	// comparisons carry the rest.
	maxBroadcasts = 16
	// maxTold is the maximum number of losses in one message with news, maxCompared that in a comparison.
	maxTold     = 256
	maxCompared = 32
)

// broadcast tells other hosts soon, unless this host has told too much of late.
func (g *Guard) broadcast(e crashevidence.Evidence) {
	if g.group == nil || g.broadcasts >= maxBroadcasts || len(g.news.Losses) >= maxTold {
		return // this host has not started, or comparisons have to do
	}
	if !g.telling {
		g.gathered = g.Timer.Now()
	}
	since := g.Timer.Now().Sub(g.gathered)
	for _, l := range e.Losses {
		l.Age -= since
		g.news.Losses = append(g.news.Losses, l)
	}
	for _, x := range e.Good {
		x.Age -= since
		g.news.Good = append(g.news.Good, x)
	}
	if g.telling {
		return
	}
	g.telling = true
	w := g.group
	g.Timer.After(gatherTime, func(time.Time) {
		w.Go("tell-crashes", func(context.Context) error {
			g.tellNews()
			return nil
		})
	})
}

// tellNews tells other hosts what has been gathered.
func (g *Guard) tellNews() {
	g.mu.Lock()
	e := g.news
	g.news = crashevidence.Evidence{}
	g.telling = false
	g.broadcasts++
	since := g.Timer.Now().Sub(g.gathered)
	g.mu.Unlock()
	for i := range e.Losses {
		e.Losses[i].Age += since
		e.Losses[i].Idle = min(e.Losses[i].Idle+since, e.Losses[i].Age)
	}
	for i := range e.Good {
		e.Good[i].Age += since
	}
	b, err := encode(e)
	if err == nil {
		g.tell(b, g.Topology().Tell())
	}
}

// tell sends evidence to hosts and learns what they know better.
func (g *Guard) tell(evidence []byte, hosts []string) {
	g.mu.Lock()
	w := g.group
	g.mu.Unlock()
	if w == nil {
		return // this host has not started
	}
	for _, h := range hosts {
		w.Go("tell-crash", func(ctx context.Context) error {
			g.correct(g.ask(ctx, h, methodTell, evidence))
			return nil
		})
	}
}

// correct tells other hosts of traits that this host had blamed and that another one knows to be good.
func (g *Guard) correct(_ crashevidence.Evidence, cleared []crashevidence.Good) {
	if len(cleared) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broadcast(crashevidence.Evidence{Good: cleared})
}

// compareAll compares the losses with those of a few random hosts.
func (g *Guard) compareAll(ctx context.Context) {
	t := g.Topology()
	l := t.Compare()
	g.look(g.Timer.Now(), len(l))
	g.mu.Lock()
	g.broadcasts = 0
	f := g.quarantine.Fingerprint()
	g.mu.Unlock()
	b, err := proto.Marshal(&crashmessage.Query{Fingerprint: f})
	if err != nil || !t.TakesPart() {
		return
	}
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	n := comparedHosts
	if g.compared.Load() == 0 {
		n = firstComparedHosts
	}
	for _, h := range l[:min(len(l), n)] {
		g.group.Go("compare", func(ctx context.Context) error {
			g.compare(ctx, h, b)
			return nil
		})
	}
}

// compare learns what another host knows, and tells it what it lacks.
func (g *Guard) compare(ctx context.Context, h string, query []byte) {
	e, _ := g.ask(ctx, h, methodCompare, query)
	if e.Fingerprint == 0 {
		return // the same, no answer, or a host of a build that does not tell
	}
	g.mu.Lock()
	same := g.quarantine.Fingerprint() == e.Fingerprint
	lacks := g.lacking(e)
	g.mu.Unlock()
	if same || len(lacks.Losses)+len(lacks.Good) == 0 {
		return
	}
	if b, err := encode(lacks); err == nil {
		g.ask(ctx, h, methodTell, b)
	}
}

// lacking returns what a host that told this evidence does not know.
func (g *Guard) lacking(e crashevidence.Evidence) crashevidence.Evidence {
	n := g.Timer.Now()
	known := map[uint64]bool{}
	for _, x := range e.Losses {
		known[x.ID] = true
	}
	l := slices.DeleteFunc(g.quarantine.Losses(n), func(x crashevidence.Loss) bool { return known[x.ID] })
	l = l[:min(len(l), maxCompared)]
	return crashevidence.Evidence{Losses: l, Good: g.quarantine.KnownGood(n, append(slices.Clone(l), e.Losses...))}
}

// ask sends a message to a host, merges the answer and returns it with the traits that it clears.
func (g *Guard) ask(ctx context.Context, to, method string, body []byte) (crashevidence.Evidence, []crashevidence.Good) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := g.Timer.Now()
	b, err := g.Link.Call(ctx, to, method, body)
	if err != nil {
		return crashevidence.Evidence{}, nil
	}
	e, err := decode(b)
	if err != nil {
		return e, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if method == methodCompare {
		g.refresh(sent)
	}
	if len(e.Losses)+len(e.Good) == 0 {
		return e, nil
	}
	cleared := g.quarantine.Learn(g.Timer.Now(), e.Good)
	g.merge(e)
	return e, cleared
}

// merge records what another host told, and returns the traits that this host knows to be good and whether it was news.
func (g *Guard) merge(e crashevidence.Evidence) ([]crashevidence.Good, bool) {
	l, news := g.quarantine.Merge(g.Timer.Now(), e)
	g.publish()
	return l, news
}

// mergeNews does the same with what came unasked. A host that has just woken doesn't know how old that is and leaves it to
// comparisons.
func (g *Guard) mergeNews(e crashevidence.Evidence) ([]crashevidence.Good, bool) {
	n := g.Timer.Now()
	if !g.fresh(n) {
		return g.quarantine.KnownGood(n, e.Losses), false
	}
	return g.merge(e)
}

func (g *Guard) handleTell(_ context.Context, from string, body []byte) ([]byte, error) {
	e, err := decode(body)
	if err != nil {
		return nil, refusal.NewNotRun(400, "malformed-evidence", err.Error())
	}
	g.mu.Lock()
	better, news := g.mergeNews(e)
	g.mu.Unlock()
	if news {
		g.tell(bytes.Clone(body), g.Topology().PassOn(from))
	}
	return encode(crashevidence.Evidence{Good: better})
}

func (g *Guard) handleCompare(_ context.Context, _ string, body []byte) ([]byte, error) {
	q := &crashmessage.Query{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-query", err.Error())
	}
	if !g.Topology().TakesPart() {
		return nil, takesNoPart
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.quarantine.Fingerprint()
	if f == q.Fingerprint {
		return nil, nil
	}
	n := g.Timer.Now()
	l := g.quarantine.Losses(n)
	l = l[:min(len(l), maxCompared)]
	return encode(crashevidence.Evidence{Losses: l, Good: g.quarantine.KnownGood(n, l), Fingerprint: f})
}
