package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

const (
	eventStream  = "Content-Type: text/event-stream"
	notExecuted  = wire.NotExecuted + ": 1"
	reachedEvent = 5
	// oddInterval is the time between two odd answers, in which upstreams announce themselves again.
	oddInterval = 20 * time.Millisecond
	// leftSilence is how long the upstream of a stream that its caller left is silent.
	leftSilence = 1500 * time.Millisecond
	// restSilence is how long an upstream is silent that is asked for the rest of a stream.
	restSilence = 1200 * time.Millisecond
)

// beforeOdd are answers of which the rest, or the confirmation of their end, is asked for.
var beforeOdd = []cut{
	{"chunks", reset, reachedEvent, true, 0}, {"none", closed, reachedEvent, false, 0}, {"none", whole, workerEvents, false, 0},
}

// oddAnswer is an answer that is none to a request for the events after reachedEvent, or a strange one.
type oddAnswer struct {
	name  string
	reply reply
}

// oddAnswers are answers to a request for the events after reachedEvent that do not hold just these.
func oddAnswers() []oddAnswer {
	rest := eventsOf(reachedEvent+1, workerEvents)
	l := []oddAnswer{
		{"302", plain(framed(http.StatusFound, "", "Location: /other"))},
		{"302 of events", plain(framed(http.StatusFound, "", "Location: /other", eventStream))},
		{"204", plain(head(http.StatusNoContent) + "\r\n")},
		{"no stream, empty", plain(framed(http.StatusOK, "", "Content-Type: text/plain"))},
		{"no stream", plain(framed(http.StatusOK, "{}", "Content-Type: application/json"))},
		{"no type", plain(framed(http.StatusOK, ""))},
		{"no stream, no framing", reply{[]piece{{0, head(http.StatusOK, "Connection: close", "Content-Type: text/plain") + "\r\n"}}, true}},
		{"shorter than its length", reply{[]piece{{0, head(http.StatusOK, eventStream, fmt.Sprintf("Content-Length: %d", len(rest)+1)) + "\r\n" + rest}}, true}},
		{"longer than its length", plain(framed(http.StatusOK, rest, eventStream) + eventsOf(workerEvents+1, workerEvents+1))},
		{"another answer behind", plain(framed(http.StatusOK, rest, eventStream) + framed(http.StatusOK, eventsOf(1, 2), eventStream))},
		{"another answer behind a refusal", plain(framed(http.StatusServiceUnavailable, "", notExecuted) + framed(http.StatusOK, "", eventStream))},
		{"another answer behind a failure", plain(framed(http.StatusInternalServerError, "") + framed(http.StatusOK, "", eventStream))},
		{"of another request", plain(strings.ReplaceAll(framed(http.StatusOK, "", eventStream), requestID, "other"))},
		{"interim answers", plain("HTTP/1.1 103 Early Hints\r\n\r\n" + framed(http.StatusOK, rest, eventStream))},
		{"no HTTP", reply{[]piece{{0, rest}}, true}},
		{"from its first event", plain(framed(http.StatusOK, eventsOf(1, workerEvents), eventStream))},
		{"from its first event, short", plain(framed(http.StatusOK, eventsOf(1, reachedEvent-2), eventStream))},
		{"from a later event", plain(framed(http.StatusOK, eventsOf(reachedEvent+3, workerEvents), eventStream))},
		{"two events the wrong way about", plain(framed(http.StatusOK, eventsOf(reachedEvent+2, reachedEvent+2)+eventsOf(reachedEvent+1, reachedEvent+1), eventStream))},
	}
	for _, s := range []int{
		http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusBadRequest,
	} {
		l = append(l,
			oddAnswer{fmt.Sprint(s, " not run"), plain(framed(s, "", notExecuted))},
			oddAnswer{fmt.Sprint(s, " not run, of events"), plain(framed(s, "", notExecuted, eventStream))})
	}
	for _, s := range []int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusUnprocessableEntity, http.StatusInternalServerError,
	} {
		l = append(l, oddAnswer{fmt.Sprint(s), plain(framed(s, "", eventStream))})
	}
	return l
}

// askOdd plays a cut and then an odd answer a number of times on a request, and returns what its caller got.
func (f *cutFleet) askOdd(ctx context.Context, t *testing.T, first cut, r reply, times int) (string, seen) {
	t.Helper()
	id := t.Name()
	f.plan(id, first)
	f.reply(id, slices.Repeat([]reply{r}, times)...)
	f.cases++
	h := f.entries[f.cases%len(f.entries)]
	s := f.ask(ctx, h, streamRequest{id: id})
	f.askSound(ctx, t, h)
	is.New(t).NoErr(f.timer.Sleep(ctx, oddInterval))
	return id, s
}

// wantSound says that a caller either has the whole stream or knows that it has not.
func wantSound(t *testing.T, id string, s seen) {
	t.Helper()
	if !s.whole() && !s.broken() || s.foreign != "" {
		t.Errorf("%s: complete %v after event %d, foreign text %q", id, s.complete, s.last, s.foreign)
	}
}

// TestStreamIsNotEndedByAnOddAnswer guards against an answer in place of the rest of a broken stream, or to what was to confirm
// the end of one, that ends the stream as complete, or that reaches a caller that takes the stream up as its rest.
func TestStreamIsNotEndedByAnOddAnswer(t *testing.T) {
	f, ctx := newCutFleet(t)
	for _, first := range beforeOdd {
		for _, o := range oddAnswers() {
			t.Run(fmt.Sprint(first, " ", o.name), func(t *testing.T) {
				id, s := f.askOdd(ctx, t, first, o.reply, 1)
				wantWhole(t, id, s)
			})
			if first.events == workerEvents {
				continue // an end after the last event may be shown or not
			}
			t.Run(fmt.Sprint(first, " ", o.name, " twice"), func(t *testing.T) { // no run is left
				id, s := f.askOdd(ctx, t, first, o.reply, 2)
				wantSound(t, id, s)
			})
		}
	}
	t.Run("taken up", func(t *testing.T) { f.takeUpOdd(ctx, t) })
	t.Run("silent", func(t *testing.T) { f.askSilent(ctx, t) })
	t.Run("a host that stops", func(t *testing.T) {
		is := is.New(t)
		id, h := t.Name(), f.entries[0]
		f.reply(id, reply{[]piece{{0, head(http.StatusOK, eventStream) + "Content-Length: 10000\r\n\r\n" + eventsOf(1, reachedEvent)}, {beforeReset, "id"}}, true}, silentRest())
		c, err := f.open(ctx, h, streamRequest{id: id, body: id})
		is.NoErr(err)
		is.NoErr(c.read(reachedEvent))
		is.NoErr(f.processes[h].Process.Signal(syscall.SIGTERM))
		err = c.read(workerEvents)
		t.Logf("events to %d: %v", c.last, err)
		wantSound(t, id, seen{status: c.status, last: c.last, complete: err == io.EOF})
	})
}

// takeUpOdd plays odd answers in place of the rest of a stream that its caller takes up at other hosts, once and twice.
func (f *cutFleet) takeUpOdd(ctx context.Context, t *testing.T) {
	t.Helper()
	is := is.New(t)
	f.reply("left", reply{[]piece{{0, head(http.StatusOK, eventStream) + "\r\n" + eventsOf(1, reachedEvent)}, {leftSilence, eventsOf(reachedEvent+1, workerEvents)}}, true})
	c, err := f.open(ctx, f.entries[0], streamRequest{id: "left", body: "left"})
	is.NoErr(err)
	is.NoErr(c.read(reachedEvent))
	for n, o := range oddAnswers() {
		t.Run(o.name, func(t *testing.T) {
			id := t.Name()
			h := f.entries[1+n%(cutHosts-1)]
			f.reply(id, o.reply)
			s := f.ask(ctx, h, streamRequest{id: id, resumes: "left", after: reachedEvent})
			if s.status == http.StatusOK { // no other is that of a stream
				wantWhole(t, id, s)
			}
			f.askSound(ctx, t, h)
		})
	}
	t.Run("twice", func(t *testing.T) {
		id := t.Name()
		broken := cut{"chunks", reset, 3, true, 0}
		f.plan(id, broken, broken, broken)
		s := f.ask(ctx, f.entries[1], streamRequest{id: id, resumes: "left", after: reachedEvent})
		wantBroken(t, id, s)
		is.Equal(s.last, reachedEvent+3*3)
		wantWhole(t, id, f.ask(ctx, f.entries[2], streamRequest{id: id + "-b", resumes: "left", after: s.last}))
	})
	_ = c.body.Close() // the first host has sent until now
}

// askSilent plays cuts after which the upstream that is asked for the rest is silent for a while.
func (f *cutFleet) askSilent(ctx context.Context, t *testing.T) {
	t.Helper()
	for n, first := range beforeOdd {
		t.Run(first.String(), func(t *testing.T) {
			t.Parallel()
			id := t.Name()
			f.plan(id, first)
			f.reply(id, silentRest())
			wantWhole(t, id, f.ask(ctx, f.entries[n], streamRequest{id: id}))
			is.New(t).True(f.ran(id) <= 3)
		})
	}
}

// silentRest is the rest of a stream after a silence.
func silentRest() reply {
	rest := eventsOf(reachedEvent+1, workerEvents)
	return reply{pieces: []piece{{0, head(http.StatusOK, eventStream) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(rest))}, {restSilence, rest}}}
}

// TestItemIsNotCompletedByAnOddAnswer guards against an answer in place of the rest of an item's text, or to what was to confirm
// its end, that takes the place of the text or ends it.
func TestItemIsNotCompletedByAnOddAnswer(t *testing.T) {
	f, ctx := newCutFleet(t)
	odd := map[string]string{}
	var ids []string
	for _, first := range beforeOdd {
		for _, o := range oddAnswers() {
			if first.framing == "chunks" && o.name == fmt.Sprint(http.StatusUnprocessableEntity) {
				continue // such an item can never be done
			}
			id := fmt.Sprint("odd-", len(ids))
			f.plan(id, first)
			f.reply(id, o.reply)
			odd[id] = fmt.Sprint(first, " ", o.name)
			ids = append(ids, id)
		}
	}
	f.submit(ctx, "odd", ids)
	for _, r := range f.results(ctx, "odd", len(ids)) {
		if r.State != "completed" || r.Output != itemText() {
			t.Errorf("%s: %s with %q after %d runs", odd[r.ID], r.State, r.Output, f.ran(r.ID))
		}
	}
}
