package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

// itemText is the text of a whole item.
func itemText() string {
	var l []string
	for n := 1; n <= workerEvents; n++ {
		l = append(l, fmt.Sprint("e", n))
	}
	return strings.Join(l, "\n")
}

// itemCall sends a request about batch jobs to a host.
func (f *cutFleet) itemCall(ctx context.Context, method, host, path, id string, body io.Reader) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+host+":7443"+path, body)
	if err != nil {
		return nil, err
	}
	q.Host = streamHost
	q.Header.Set("Authorization", wire.Scheme+" "+itemKey)
	q.Header.Set(wire.AttemptID, id)
	return f.http.Do(q)
}

// submit hands in a batch job with the given items.
func (f *cutFleet) submit(ctx context.Context, job string, items []string) {
	f.t.Helper()
	var l []map[string]any
	for _, id := range items {
		l = append(l, map[string]any{"id": id, "path": itemPath + "1", "headers": map[string]string{}, "body": base64.StdEncoding.EncodeToString([]byte("x")), "tokens": 10})
	}
	b, err := json.Marshal(map[string]any{"requests": l})
	is.New(f.t).NoErr(err)
	f.await(ctx, "submission", func() error {
		r, err := f.itemCall(ctx, http.MethodPost, f.entries[0], itemPath+"job", job, strings.NewReader(string(b)))
		if err != nil {
			return err
		}
		defer func() { _ = r.Body.Close() }()
		if r.StatusCode != http.StatusAccepted {
			m, _ := io.ReadAll(r.Body)
			return errors.Newf("status %d: %s", r.StatusCode, m)
		}
		return nil
	})
}

// results waits for all results of a batch job.
func (f *cutFleet) results(ctx context.Context, job string, n int) []jobResult {
	f.t.Helper()
	var page struct {
		Results []jobResult `json:"results"`
	}
	f.await(ctx, "results", func() error {
		r, err := f.itemCall(ctx, http.MethodGet, f.entries[0], wire.PathJobs+job+"?after=0", job, nil)
		if err != nil {
			return err
		}
		defer func() { _ = r.Body.Close() }()
		if err := json.NewDecoder(r.Body).Decode(&page); err != nil {
			return err
		}
		if len(page.Results) < n {
			return errors.Newf("%d of %d results", len(page.Results), n)
		}
		return nil
	})
	return page.Results
}

// wantItems runs the named items in one batch job, whose answers are set, and checks that each result holds the whole text.
func (f *cutFleet) wantItems(ctx context.Context, t *testing.T, job string, names map[string]string) {
	t.Helper()
	f.submit(ctx, job, slices.Sorted(maps.Keys(names)))
	for _, r := range f.results(ctx, job, len(names)) {
		if r.State != "completed" || r.Output != itemText() {
			t.Errorf("%s: %s with %q after %d runs", names[r.ID], r.State, r.Output, f.ran(r.ID))
		}
	}
}

// runItems plays plans on the items of one batch job and checks that each result holds the whole text.
func (f *cutFleet) runItems(ctx context.Context, t *testing.T, job string, plans [][]cut) {
	t.Helper()
	var ids []string
	for i, p := range plans {
		for k := range repeats {
			id := fmt.Sprintf("%d-%d-%s", i, k, job)
			f.plan(id, slices.Clone(p)...)
			ids = append(ids, id)
		}
	}
	f.submit(ctx, job, ids)
	for _, r := range f.results(ctx, job, len(ids)) {
		if r.State != "completed" || r.Output != itemText() {
			var i int
			_, _ = fmt.Sscanf(r.ID, "%d", &i)
			t.Errorf("%v: %s with %d events of text after %d runs", plans[i], r.State, strings.Count(r.Output, "e"), f.ran(r.ID))
		}
	}
}

// TestItemIsNotCompletedByAnAnswerWithoutEvents guards against an upstream that is lost before the first event of an item's
// run, whose empty answer completes the item.
func TestItemIsNotCompletedByAnAnswerWithoutEvents(t *testing.T) {
	f, ctx := newCutFleet(t)
	var l [][]cut
	for _, c := range emptyCuts() {
		l = append(l, []cut{c})
	}
	for _, framing := range []string{"length", "chunks", "none"} {
		l = append(l, []cut{{framing, reset, 5, false, 0}, {"none", closed, 0, false, 0}})
		l = append(l, []cut{{framing, reset, 5, true, 0}, {"none", closed, 0, false, 0}})
	}
	f.runItems(ctx, t, "empty", l)
}

// TestItemGoesOnAfterAnUnframedAnswerClosedBetweenEvents guards against an upstream that is lost between two events of an
// answer without a framing, whose close completes the item.
func TestItemGoesOnAfterAnUnframedAnswerClosedBetweenEvents(t *testing.T) {
	f, ctx := newCutFleet(t)
	c := cut{"none", closed, 5, false, 0}
	f.runItems(ctx, t, "between", [][]cut{{c}, {c, c}, {{"none", exits, 5, false, 0}}, {{"chunks", reset, 5, true, 0}, c}})
}

// TestItemsOfWholeAnswersAreCompletedOnce says that whole answers complete items, whatever their framing.
func TestItemsOfWholeAnswersAreCompletedOnce(t *testing.T) {
	f, ctx := newCutFleet(t)
	for _, usual := range []string{"length", "chunks", "none"} {
		f.frame(usual)
		f.runItems(ctx, t, usual, [][]cut{nil, nil, nil, nil, {{"chunks", reset, 5, true, 0}}, {{"none", reset, 5, false, 0}}})
	}
}
