package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Sizes of case 12: workers crash in the middle of their items and are back under their ids and at their addresses with other software.
const (
	versionWorkers = 12
	// versionCrashes is the number of workers that crash, a share of 0.17.
	versionCrashes = 2
	versionItems   = versionWorkers * workerSlots
	versionEvents  = 60
	versionPace    = 200 * time.Millisecond
	versionTokens  = 900
	versionJob     = "71c4e02f9ab35d68"
	// nextVersion is the version of the software of the workers that are back.
	nextVersion = "v2"
	// versionCrash is the number of events after whose time the workers crash, versionAway the time for which they are away, and versionLate
	// the time from the start of a worker to its first heartbeat, under heartbeat_ms.
	versionCrash = 20
	versionAway  = 4 * time.Second
	versionLate  = time.Second
	// maxMixed is the most streams that may hold events of two versions.
	maxMixed = 2
)

// versionEvent returns the data of an event, as a version of the software writes it.
func versionEvent(version, id string, n int) string {
	return fmt.Sprintf("%s writes piece %d of %s;", version, n, id)
}

// versionOutput returns the whole output of an item at a version.
func versionOutput(version, id string) string {
	var l []string
	for n := range versionEvents {
		l = append(l, versionEvent(version, id, n+1))
	}
	return strings.Join(l, "\n")
}

// streamVersion streams the events of an item at a steady pace.
func streamVersion(ctx context.Context, w *worker, q *http.Request, out io.Writer, after int) error {
	id := q.Header.Get("X-Attempt-Id")
	for n := after + 1; n <= versionEvents; n++ {
		if err := sleep(ctx, versionPace); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, versionEvent(w.version, id, n)); err != nil {
			return err
		}
	}
	return nil
}

// playOtherVersion submits items, crashes workers in the middle of their items, starts them again with other software and counts the
// results whose text was begun by one version and ended by another.
func playOtherVersion(ctx context.Context, s *stage) (bool, error) {
	if err := s.open(ctx, versionWorkers, siteLimits, streamVersion); err != nil {
		return false, err
	}
	var items []batchItem
	for i := range versionItems {
		items = append(items, batchItem{
			ID: fmt.Sprintf("item-%02d", i), Path: batchPrefix + "draft", Body: []byte("draft"), Tokens: versionTokens,
			Headers: map[string]string{"X-Model": "m", "X-Token-Count": "300,600", "X-Prompt-Prefix": fmt.Sprintf("9c2e41:300,%d:200", i)},
		})
	}
	if err := s.submit(ctx, versionJob, items); err != nil {
		return false, err
	}
	if err := s.replaceSoftware(ctx); err != nil {
		return false, err
	}
	return s.judgeVersions(ctx)
}

// replaceSoftware crashes the workers with the most items under way and starts them again with other software.
func (s *stage) replaceSoftware(ctx context.Context) error {
	if err := sleep(ctx, versionCrash*versionPace); err != nil || !s.trouble {
		return err
	}
	gone := slices.SortedFunc(slices.Values(s.workers), func(a, b *worker) int { return len(b.runs()) - len(a.runs()) })[:versionCrashes]
	for _, w := range gone {
		s.note("worker %s crashes with %d runs under way", w.id, len(w.runs()))
		w.crash()
	}
	if err := sleep(ctx, versionAway); err != nil {
		return err
	}
	for _, w := range gone {
		if _, err := s.startVersion(w.id, w.zone, w.address, nextVersion, versionLate, streamVersion); err != nil {
			return err
		}
	}
	return nil
}

// judgeVersions reads the results until all items are listed, and counts those that two versions wrote.
func (s *stage) judgeVersions(ctx context.Context) (bool, error) {
	outputs := map[string]listed{}
	fronts := s.of(classFrontend)
	for n := 0; len(outputs) < versionItems; n++ {
		l, _ := s.results(ctx, fronts[n%len(fronts)], versionJob, len(outputs))
		for _, x := range l {
			outputs[x.ID] = x
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return false, err
		}
	}
	mixed := 0
	for id, x := range outputs {
		if x.State != "completed" || x.Output == versionOutput(firstVersion, id) || x.Output == versionOutput(nextVersion, id) {
			continue
		}
		mixed++
		pieces := strings.Split(x.Output, "\n")
		s.note("%s is completed with %d pieces, %d of them of %s", id, len(pieces), strings.Count(x.Output, nextVersion+" writes"), nextVersion)
	}
	s.note("%d of %d items are listed, %d of them with a text that is no version's whole output", len(outputs), versionItems, mixed)
	return mixed <= maxMixed, nil
}
