package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/config/change"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/product/settings"
)

var (
	soakFirst = flag.Uint64("soak-first", 0, "first of the fresh seeds of the soak")
	soakSeeds = flag.Int("soak-seeds", 0, "number of fresh seeds of the soak")
	soakTime  = flag.Duration("soak-time", 8*time.Second, "time in which faults begin")
)

// failedSeeds are the seeds of the soak that ever failed, each with its cause.
var failedSeeds = []uint64{
	1, // none; the run that each CI plays
}

const (
	soakCallers   = 12
	soakItems     = 200
	soakTimeout   = 4 * time.Second
	soakHeal      = 20 * time.Second
	longestFreeze = 5 * time.Second
	longestFault  = 4 * time.Second
	tornBytes     = 64
)

// asked is one call that may not be repeated, and what its answer claims.
type asked struct {
	id     string
	answer string
	// never says that the call has not run and never will.
	never bool
	// withdrawn says that the call's key was withdrawn for longer than that may take.
	withdrawn bool
}

// soak is a fleet of real processes whose links pass through proxies, with callers that remember every answer.
type soak struct {
	*fleet
	random  *rand.Rand
	links   map[string]map[string]*proxy
	runs    *runs
	started time.Time

	mu     sync.Mutex
	busy   map[string]bool
	asked  []asked
	events []string
	keys   map[string]time.Time
}

// TestSoak plays seeded faults on real processes and checks what callers and back ends saw.
func TestSoak(t *testing.T) {
	seeds := slices.Clone(failedSeeds)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSoak(t, seed).play() })
	}
}

// newSoak makes a fleet in which each host reaches each other one through a proxy of its own.
func newSoak(t *testing.T, seed uint64) *soak {
	is := is.New(t)
	s := &soak{
		fleet: newFleet(t), random: rand.New(rand.NewPCG(seed, 5)), links: map[string]map[string]*proxy{},
		runs: &runs{n: map[string]int{}}, busy: map[string]bool{}, keys: map[string]time.Time{},
	}
	s.apart = true
	const once = `"once": {"prefix": "/once/", "service": "desk", "repeatable": false, "price": 1, "timeout": "3s"},`
	b := strings.Replace(base, `"routes": {`, `"routes": {`+once, 1)
	is.NoErr(os.WriteFile(filepath.Join(s.folder, "base.jsonc"), []byte(b), 0o600))
	for from := range s.hosts {
		s.links[from] = map[string]*proxy{}
		seen := map[string]settings.Host{}
		for to, h := range s.hosts {
			if to != from {
				p, err := newProxy(h.Peers)
				is.NoErr(err)
				s.links[from][to] = p
				h.Peers = p.listener.Addr().String()
			}
			seen[to] = h
		}
		b, err := json.Marshal(map[string]any{"site": "s", "fleet": map[string]any{"hosts": seen}})
		is.NoErr(err)
		is.NoErr(os.WriteFile(filepath.Join(s.folder, from+".jsonc"), b, 0o600))
	}
	var err error
	s.settings, err = settings.Load(filepath.Join(s.folder, "base.jsonc"), filepath.Join(s.folder, "overlay.jsonc"))
	is.NoErr(err)
	is.NoErr(s.settings.ReadSecrets())
	return s
}

func (s *soak) play() {
	is := is.New(s.t)
	ctx, cancel := context.WithTimeout(context.Background(), fleetTimeout)
	around := group.NewGroup(ctx)
	for _, l := range s.links {
		for _, p := range l {
			around.Go("proxy", p.run)
		}
	}
	s.t.Cleanup(func() {
		cancel()
		_ = around.Wait()
		if s.t.Failed() {
			s.tell()
		}
	})
	s.run()
	s.startBackends(around)
	s.keys[s.secret] = time.Time{}
	l := s.load()
	s.until(ctx, "start", func() error { return l.CheckReady(ctx) })
	s.until(ctx, "first call", func() error { return s.served(ctx) })
	s.started = time.Now()

	l.Rate = 0
	l.BatchItems = soakItems
	work := group.NewGroup(ctx)
	work.Go("batch", func(ctx context.Context) error {
		v, err := l.Run(ctx)
		if err == nil && v.FaultCount > 0 {
			err = errors.Newf("batch: %v", v.Faults)
		}
		return err
	})
	traffic, stop := context.WithCancel(ctx)
	calls := group.NewGroup(traffic)
	for i := range soakCallers {
		r := rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))
		calls.Go("caller", func(ctx context.Context) error { return s.call(ctx, r) })
	}
	calls.Go("operator", s.operate)
	s.disturb(ctx)
	stop()
	_ = calls.Wait()
	s.heal()
	healed, end := context.WithTimeout(ctx, soakHeal)
	defer end()
	s.until(healed, "every host serves again", func() error { return s.served(healed) })
	is.NoErr(work.Wait())
	is.NoErr(l.CheckSameResults(ctx))
	s.judge()
}

// startBackends runs a service that counts what it was sent on three addresses.
func (s *soak) startBackends(g *group.Group) {
	var hosts []string
	for _, n := range s.names() {
		hosts = append(hosts, s.hosts[n].Upstreams)
	}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.t.Fatal(err)
		}
		b := &backend{
			upstream: upstream.Upstream{
				Name: fmt.Sprint("desk-", i), Kind: upstream.Service, Service: "desk", FailureDomain: "d" + string(rune('a'+i)),
				Slots: 16, Incarnation: 1,
			},
			listener: l, hosts: hosts, secret: string(s.settings.UpstreamSecret), timer: s.timer, runs: s.runs,
		}
		g.Go("backend", b.run)
	}
}

// served reports as an error which host does not answer a call with a key that counts.
func (s *soak) served(ctx context.Context) error {
	c := &http.Client{Timeout: soakTimeout}
	for _, h := range s.names() {
		for _, k := range s.granted() {
			id := fmt.Sprintf("probe-%s-%d", h, time.Now().UnixNano())
			a := s.post(ctx, c, h, id, k)
			s.note(a)
			if a.answer != id {
				return errors.Newf("%s answers %q", h, a.answer)
			}
		}
	}
	return nil
}

// granted returns the keys that were not withdrawn.
func (s *soak) granted() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []string
	for k, at := range s.keys {
		if at.IsZero() {
			l = append(l, k)
		}
	}
	slices.Sort(l)
	return l
}

// call sends calls to any host, with any key, until ctx ends.
func (s *soak) call(ctx context.Context, r *rand.Rand) error {
	c := &http.Client{Timeout: soakTimeout, Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	names := s.names()
	for n := 0; ctx.Err() == nil; n++ {
		s.mu.Lock()
		var keys []string
		for k := range s.keys {
			keys = append(keys, k)
		}
		s.mu.Unlock()
		slices.Sort(keys)
		a := s.post(ctx, c, names[r.IntN(len(names))], fmt.Sprintf("%x-%d", r.Uint64(), n), keys[r.IntN(len(keys))])
		s.note(a)
		if a.answer != a.id && !rest(ctx, 20*time.Millisecond) {
			return nil
		}
	}
	return nil
}

// post sends a call whose body is its ID and returns what the answer claims.
func (s *soak) post(ctx context.Context, c *http.Client, host, id, secret string) asked {
	a := asked{id: id}
	s.mu.Lock()
	at := s.keys[secret]
	s.mu.Unlock()
	a.withdrawn = !at.IsZero() && time.Since(at) > bound
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.hosts[host].Callers+"/once/x", strings.NewReader(id))
	if err != nil {
		return a
	}
	q.Header.Set("Authorization", "Bearer "+secret)
	p, err := c.Do(q)
	if err != nil {
		return a
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return a
	}
	if p.StatusCode == http.StatusOK {
		a.answer = string(b)
		return a
	}
	a.never = p.Header.Get("Siskin-Verdict") == "not-run"
	a.answer = fmt.Sprint(p.StatusCode, " ", string(b))
	return a
}

func (s *soak) note(a asked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, a)
	if !a.never && a.answer != "" && a.answer != a.id && !strings.HasPrefix(a.answer, "5") {
		s.events = append(s.events, fmt.Sprintf("answer to %s: %s", a.id, a.answer))
	}
}

// operate grants and withdraws keys, repeating each change until it is acknowledged.
func (s *soak) operate(ctx context.Context) error {
	version := uint64(2)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprint("soak-", n)
		secret := key.NewSecret()
		grant := &change.Change{ID: "g-" + id, Base: version, Kind: change.GrantKey, Name: id, Key: &key.Key{ID: id, Team: "t", Hash: key.Hash(secret)}}
		if !s.change(ctx, grant, &version) {
			return nil
		}
		s.mu.Lock()
		s.keys[secret] = time.Time{}
		s.mu.Unlock()
		if n%2 == 1 || !rest(ctx, time.Second) {
			continue
		}
		if !s.change(ctx, &change.Change{ID: "w-" + id, Base: version, Kind: change.WithdrawKey, Name: id}, &version) {
			// Whether it was withdrawn is not known, so nothing is asked of it.
			s.mu.Lock()
			delete(s.keys, secret)
			s.mu.Unlock()
			return nil
		}
		s.mu.Lock()
		s.keys[secret] = time.Now()
		s.mu.Unlock()
	}
	return nil
}

// change sends a change until it is acknowledged and reports whether it was.
func (s *soak) change(ctx context.Context, h *change.Change, version *uint64) bool {
	for ctx.Err() == nil {
		c := s.console()
		c.Timeout = soakTimeout
		o, err := c.SendChange(ctx, h)
		if err == nil && o.Version == *version+1 {
			*version++
			return true
		}
		if err == nil {
			s.fault("change %s on version %d made version %d: %s", h.ID, *version, o.Version, o.Message)
			return false
		}
		if !rest(ctx, pause) {
			return false
		}
	}
	return false
}

func (s *soak) fault(format string, a ...any) {
	s.t.Errorf(format, a...)
	s.event("FAULT "+format, a...)
}

func (s *soak) event(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%6.2f ", time.Since(s.started).Seconds())+fmt.Sprintf(format, a...))
}

// judge compares what callers were told with what the back ends ran.
func (s *soak) judge() {
	served := 0
	for _, a := range s.asked {
		n := s.runs.of(a.id)
		if a.answer == a.id {
			served++
		}
		switch {
		case n > 1:
			s.fault("%s ran %d times", a.id, n)
		case a.never && n > 0:
			s.fault("%s ran, but its caller was told that it never will: %s", a.id, a.answer)
		case a.withdrawn && n > 0:
			s.fault("%s ran with a key that was withdrawn", a.id)
		case a.answer == a.id && n != 1:
			s.fault("%s was answered and ran %d times", a.id, n)
		}
	}
	s.t.Logf("%d calls, %d served, %d events", len(s.asked), served, len(s.events))
	is.New(s.t).True(served > soakCallers)
}

// tell keeps what happened and the logs of all hosts.
func (s *soak) tell() {
	s.t.Logf("events:\n%s", strings.Join(s.events, "\n"))
	for n, l := range s.logs {
		s.t.Logf("%s:\n%s", n, l)
	}
}
