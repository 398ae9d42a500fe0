package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/platform/wire"
)

const (
	itemHosts, itemWorkers = 3, 9
	itemsOfAKind           = 6
	// itemTime is the time in which items that workers can do at once must be done, and owedTime that for items under which
	// workers crash, several times longer than the crashes take.
	itemTime = 6 * time.Second
	owedTime = 25 * time.Second
	// crashesUnderItem is how many workers crash under an item, more than the attempts that its route allows.
	crashesUnderItem = 6

	samePath      = lotsPath + "same/order"
	owedPath      = lotsPath + "same/owed"
	deadlyPrompt  = "base:10," + deadlyPart + ":20,own:5"
	unluckyPrompt = "unlucky:10,own:5"
)

// itemConfiguration has routes for items and, under their paths as well, for requests.
const itemConfiguration = `{"version": 8, "routes": [
  {"name": "open", "host": "desk.example", "path_prefix": "/open/", "route_type": "idempotent", "timeout_ms": 4000,
    "target_latency_ms": 800, "service": "desk", "max_attempts": 3, "public": true},
  {"name": "look", "host": "desk.example", "path_prefix": "/look/", "route_type": "idempotent", "timeout_ms": 4000,
    "target_latency_ms": 800, "service": "desk", "max_attempts": 3},
  {"name": "same", "host": "desk.example", "path_prefix": "/lots/same/", "route_type": "idempotent", "timeout_ms": 4000,
    "target_latency_ms": 800, "service": "desk", "max_attempts": 3},
  {"name": "lots", "host": "desk.example", "path_prefix": "` + lotsPath + `", "route_type": "batch", "timeout_ms": 4000,
    "target_latency_ms": 1000, "service": "desk", "max_attempts": 2, "completion_target_ms": 20000, "max_wait_s": 50}],
  "services": [{"name": "desk", "health_path": "` + plainHealthPath + `", "max_conns": 400, "protocol": "h1", "engine": {"slots": 8}}],
  "limits": {}, "tenants": [{"name": "team0", "api_keys": ["key-team0"]}]}`

// newItems returns items of a kind, with a prompt if it isn't empty.
func newItems(kind, path, body, prompt string) []jobItem {
	var l []jobItem
	for n := range itemsOfAKind {
		i := jobItem{ID: fmt.Sprint(itemPrefix, kind, "-", n), Path: path, Headers: map[string]string{}, Body: []byte(body), Tokens: 10}
		if prompt != "" {
			i.Headers[wire.PromptPrefix] = prompt
		}
		l = append(l, i)
	}
	return l
}

// awaitItems waits until all items of a job are done, and reports those that are not within a time.
func (f *plainFleet) awaitItems(job string, items []jobItem, within time.Duration) {
	f.t.Helper()
	is := is.NewRelaxed(f.t)
	begin := f.timer.Now()
	ctx, stop := context.WithTimeout(f.context, within)
	defer stop()
	var results map[string]jobResult
	for len(results) < len(items) && f.timer.Sleep(ctx, pollInterval) == nil {
		if l, err := f.jobResults(ctx, f.entries[0], job); err == nil {
			results = l
		}
	}
	for _, i := range items {
		r := results[i.ID]
		if r.State != "completed" || r.Output != i.output() {
			f.t.Logf("%s: state %q, output %q", i.ID, r.State, r.Output)
		}
		is.Equal(r.State, "completed")
		is.Equal(r.Output, i.output())
	}
	f.t.Logf("%s: %d of %d items listed after %v", job, len(results), len(items), f.timer.Now().Sub(begin).Round(time.Millisecond))
}

// TestItemsAreOwedUnderCrashes guards against items that are delayed or given up since they look like requests that crash
// upstreams, or since upstreams crashed under them.
func TestItemsAreOwedUnderCrashes(t *testing.T) {
	is := is.NewRelaxed(t)
	same := plainRequest{http.MethodPost, samePath, "team0", "deadly", ""}
	prompt := plainRequest{http.MethodPost, "/look/ask", "team0", "deadly", deadlyPrompt}
	f := startPlainFleet(t, plainSetup{hosts: itemHosts, slots: itemWorkers, configuration: itemConfiguration, engines: true}, same, prompt.kind())
	traffic, stop := context.WithCancel(f.context)
	g := group.NewGroup(traffic)
	var deadly []*plainTraffic
	for i, r := range []plainRequest{same, prompt} {
		d := &plainTraffic{
			fleet: f, name: fmt.Sprint("deadly", i), every: deadlyEvery, again: true,
			request: func(int) plainRequest { return r }, random: rand.New(rand.NewPCG(32, uint64(i))),
		}
		g.Go(d.name, d.run)
		deadly = append(deadly, d)
	}
	known, end := context.WithTimeout(f.context, crashTimeout)
	defer end()
	f.await(known, "refusals", func() error {
		for _, d := range deadly {
			if d.refusedAsCrashing() == 0 {
				return errors.Newf("%s is not known", d.name)
			}
		}
		return nil
	})
	is.NoErr(f.timer.Sleep(f.context, learning+plainReturn))

	items := newItems("usual", lotsPath+"usual", "sound", "base:10,own:5")
	items = append(items, newItems("same", samePath, "deadly", "")...)
	items = append(items, newItems("part", lotsPath+"part", "sound", deadlyPrompt)...)
	is.NoErr(f.submit(f.context, f.entries[1], "look-alike", items))
	f.awaitItems("look-alike", items, itemTime)
	stop()
	_ = g.Wait()
	is.NoErr(f.timer.Sleep(f.context, plainReturn))

	owed := newItems("owed", owedPath, "unlucky", unluckyPrompt)[:2]
	f.mu.Lock()
	for _, i := range owed {
		f.itemCrashes[i.ID] = crashesUnderItem
	}
	f.mu.Unlock()
	is.NoErr(f.submit(f.context, f.entries[2], "under-crashes", owed))
	f.awaitItems("under-crashes", owed, owedTime)
	a := f.try(f.context, f.entries[1], "like-an-item", plainRequest{http.MethodPost, owedPath, "team0", "unlucky", unluckyPrompt})
	t.Logf("a request like those items is answered %s", a.kind())
	is.True(a.served)
	for _, r := range []plainRequest{same, prompt} {
		t.Logf("%s: %d ended", r.path, f.deadly[r.kind()].count())
	}
}
