package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

const (
	// strandedCalls is the mean time between two calls of one kind, and strandedShare the least ratio of the shares served.
	strandedCalls = 25 * time.Millisecond
	strandedShare = 0.95
	beforeCut     = time.Second
	// contact is the time after a cut from which on calls are judged.
	contact  = time.Second
	cutTime  = 3500 * time.Millisecond
	afterCut = 1200 * time.Millisecond
)

// strandedKinds are the kinds of calls that callers send, by their paths.
var strandedKinds = []string{streamPath, tellPath, openPath, singlePath}

// firstTry is a call that its caller did not send before, and what became of it.
type firstTry struct {
	at     time.Time
	took   time.Duration
	id     string
	kind   string
	host   string
	served bool
	// whole says that the answer reached the end of its framing.
	whole bool
	// outcome says what the caller got.
	outcome string
	status  int
}

// strandedTraffic is calls of all kinds that keep coming at all hosts.
type strandedTraffic struct {
	*linkFleet
	// name begins the IDs of the calls.
	name string

	mu    sync.Mutex
	tries []firstTry
}

func (s *strandedTraffic) run(ctx context.Context) error {
	g := group.NewGroup(ctx)
	for i, k := range strandedKinds {
		g.Go("calls", func(ctx context.Context) error { return s.send(ctx, k, rand.New(rand.NewPCG(33, uint64(i)))) })
	}
	return g.Wait()
}

// send sends calls of a kind until ctx ends, and returns when all are answered.
func (s *strandedTraffic) send(ctx context.Context, kind string, random *rand.Rand) error {
	g := group.NewGroup(context.WithoutCancel(ctx))
	for n := 0; ; n++ {
		if s.timer.Sleep(ctx, strandedCalls*time.Duration(70+random.IntN(60))/100) != nil {
			return g.Wait()
		}
		h := s.entries[random.IntN(len(s.entries))]
		g.Go("call", func(ctx context.Context) error {
			y := firstTry{at: s.timer.Now(), id: fmt.Sprint(s.name, strings.ReplaceAll(kind, "/", "-"), n), kind: kind, host: h}
			s.call(ctx, &y)
			y.took = s.timer.Now().Sub(y.at)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.tries = append(s.tries, y)
			return nil
		})
	}
}

// call sends one call and notes what became of it.
func (f *linkFleet) call(ctx context.Context, y *firstTry) {
	if y.kind == streamPath || y.kind == tellPath {
		f.callStream(ctx, y)
		return
	}
	a := f.try(ctx, y.host, y.id, plainRequest{method: http.MethodPost, path: y.kind + y.id, body: y.id})
	y.served, y.status, y.outcome = a.served, a.status, a.kind()
}

func (f *linkFleet) callStream(ctx context.Context, y *firstTry) {
	c, err := f.open(ctx, y.host, streamRequest{id: y.id, path: y.kind + "1", body: y.id})
	if err != nil {
		y.outcome = "no answer"
		return
	}
	defer func() { _ = c.body.Close() }()
	y.status = c.status
	if c.status != http.StatusOK {
		b, _ := io.ReadAll(c.body)
		y.outcome = plainAnswer{status: c.status, body: string(b)}.kind()
		return
	}
	err = c.read(workerEvents + 1)
	y.outcome = fmt.Sprint("200, ", c.last, " events: ", err)
	y.whole = err == io.EOF
	y.served = y.whole && slices.Equal(c.data, wholeData())
}

// wholeData are the events of a whole stream.
func wholeData() []string {
	var l []string
	for n := 1; n <= workerEvents; n++ {
		l = append(l, fmt.Sprint("v1-", n))
	}
	return l
}

// share is how many of some calls were served.
type share struct {
	served, sent int
	others       map[string]int
}

func (s share) ratio() float64 {
	return float64(s.served) / float64(max(s.sent, 1))
}

func (s share) String() string {
	return fmt.Sprintf("%d of %d served, others %v", s.served, s.sent, s.others)
}

// share returns how many first tries of a time were served, of those that are counted.
func (s *strandedTraffic) share(from, to time.Time, counted func(y firstTry) bool) share {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := share{others: map[string]int{}}
	for _, y := range s.tries {
		switch {
		case y.at.Before(from) || !y.at.Before(to) || !counted(y):
		case y.served:
			r.sent++
			r.served++
		default:
			r.sent++
			r.others[y.outcome]++
		}
	}
	return r
}

// compare checks that the hosts that are cut off served first tries of some kinds as often as the others.
func (s *strandedTraffic) compare(t *testing.T, when string, from, to time.Time, cutOff []string, kinds ...string) {
	t.Helper()
	counts := func(off bool) share {
		return s.share(from, to, func(y firstTry) bool {
			return slices.Contains(kinds, y.kind) && slices.Contains(cutOff, y.host) == off
		})
	}
	off, on := counts(true), counts(false)
	t.Logf("%s, %v: hosts without links %v; the others %v", when, kinds, off, on)
	if on.ratio() < strandedShare || off.ratio() < strandedShare*on.ratio() {
		t.Errorf("%s, %v: hosts without links served %.2f of first tries, the others %.2f", when, kinds, off.ratio(), on.ratio())
	}
}

// checkRuns checks that no refused call reached a worker, and that none that may run once ran twice.
func (s *strandedTraffic) checkRuns(t *testing.T) {
	t.Helper()
	streams := s.streamRuns()
	s.plainFleet.mu.Lock()
	defer s.plainFleet.mu.Unlock()
	for _, y := range s.tries {
		n := streams[y.id] + s.reached[y.id]
		refused := y.status == http.StatusServiceUnavailable || y.status == http.StatusTooManyRequests
		if refused && n > 0 {
			t.Errorf("%s was refused (%s) and reached workers %d times", y.id, y.outcome, n)
		}
		if n > 1 && (y.kind == singlePath || y.kind == tellPath) {
			t.Errorf("%s may run once and ran %d times", y.id, n)
		}
	}
}

// play sends calls before, during and after lose, which takes as long as links are lost and returns when the last one was.
// From contact after that on, these hosts must serve first tries as often as the others, also when the links are back.
func (f *linkFleet) play(ctx context.Context, t *testing.T, name string, off []string, lose func() (lost time.Time)) {
	t.Helper()
	s := &strandedTraffic{linkFleet: f, name: name}
	is := is.New(t)
	sending, stop := context.WithCancel(ctx)
	g := group.NewGroup(sending)
	g.Go("traffic", s.run)
	is.NoErr(f.timer.Sleep(ctx, beforeCut))
	lost := lose()
	back := f.timer.Now()
	f.restore(off...)
	is.NoErr(f.timer.Sleep(ctx, afterCut))
	end := f.timer.Now()
	stop()
	is.NoErr(g.Wait())
	for _, k := range strandedKinds {
		s.compare(t, "cut off", lost.Add(contact), back, off, k)
	}
	s.compare(t, "links back", back, end, off, strandedKinds...)
	s.checkRuns(t)
}

// TestHostsWithoutLinksToUpstreamsServeTheirCallers guards against hosts that lose their links to all upstreams and refuse
// their callers, though hosts beside them reach these upstreams.
func TestHostsWithoutLinksToUpstreamsServeTheirCallers(t *testing.T) {
	f, ctx := newLinkFleet(t)
	for _, c := range []struct {
		name string
		link link
		// hosts are the numbers of the hosts that are cut off.
		hosts []int
	}{
		{"60 percent of all hosts hang", hang, []int{0, 1, 2, 3, 4, 7}},
		{"a failure domain refuses", refuse, []int{1, 4, 7}},
		{"all but one reset", resets, []int{0, 1, 2, 3, 4, 5, 6, 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			off := f.pick(c.hosts...)
			f.play(ctx, t, string(c.link), off, func() time.Time {
				lost := f.timer.Now()
				f.cut(c.link, off...)
				is.New(t).NoErr(f.timer.Sleep(ctx, cutTime))
				return lost
			})
		})
	}
}
