package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

const (
	// malformedItems is the number of runs of an item whose answers are malformed, more than its route has attempts.
	malformedItems = 7
	// tokenCharacters are all characters that the name of a field may hold.
	tokenCharacters = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
)

// malformedLines are lines that the head of an answer must not hold. Beside them the answer is sound.
func malformedLines() []string {
	l := []string{
		"X-Odd Name: 1",
		"X-Odd : 1",
		" X-Odd: 1",
		"X-Odd: a\r\n b",
		"X-Odd",
		": 1",
	}
	for _, c := range "\x00\x01\t\x0b\x7f\"(),/;<=>?@[\\]{}\u00ff" {
		l = append(l, fmt.Sprintf("X-O%cd: 1", c))
	}
	for _, c := range "\x00\x01\x0b\x7f" {
		l = append(l, fmt.Sprintf("X-Odd: 1%c2", c))
	}
	return l
}

// malformedHeads are whole answers whose heads break the grammar of HTTP.
func malformedHeads() []spurious {
	events := eventsOf(1, workerEvents)
	var l []spurious
	for _, line := range malformedLines() {
		l = append(l, spurious{fmt.Sprintf("%q", line), plain(head(http.StatusOK, eventStream, line) + chunksOf(events))})
	}
	length := fmt.Sprintf("Content-Length : %d\r\n\r\n%s", len(events), events)
	return append(l,
		spurious{"blank after the length's name", plain(head(http.StatusOK, eventStream) + length)},
		spurious{"blank after the ID's name", plain(headOf(http.StatusOK, wire.AttemptID+" : "+requestID, wire.Signature+": s", eventStream) + chunksOf(events))},
		spurious{"blank after the signature's name", plain(headOf(http.StatusOK, wire.AttemptID+": "+requestID, wire.Signature+" : s", eventStream) + chunksOf(events))},
		spurious{"malformed first line", plain(head(http.StatusOK, "X Odd: 1", eventStream) + chunksOf(events))},
		spurious{"malformed last line", plain(head(http.StatusOK, eventStream, "Transfer-Encoding: chunked", "X Odd: 1") +
			fmt.Sprintf("\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events))},
		spurious{"control byte in the status line", plain(strings.Replace(head(http.StatusOK, eventStream), "OK", "O\x01K", 1) + chunksOf(events))},
		spurious{"malformed interim answer", plain("HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + head(http.StatusOK, eventStream) + chunksOf(events))},
		spurious{"malformed second interim answer", plain("HTTP/1.1 103 Early Hints\r\nX-Odd: 1\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Odd : 1\r\n\r\n" +
			head(http.StatusOK, eventStream) + chunksOf(events))},
		spurious{"malformed failure", plain(framed(http.StatusUnprocessableEntity, "", "X Odd: 1"))},
		spurious{"malformed failure, not run", plain(framed(http.StatusServiceUnavailable, "", "X Odd: 1", notExecuted))},
	)
}

// TestAnswersWithAMalformedHeadReachNoCaller guards against an answer in whose head the name of a field holds a blank, or that breaks
// the grammar of HTTP elsewhere, and that its caller gets as the upstream's.
func TestAnswersWithAMalformedHeadReachNoCaller(t *testing.T) {
	f, ctx := newCutFleet(t)
	for _, a := range malformedHeads() {
		for _, path := range []string{streamPath, lookPath} {
			f.spoil(ctx, t, a, path, 2, wantWhole)
		}
		for _, path := range []string{oncePath, buyPath} {
			f.spoil(ctx, t, a, path, 1, wantRefused)
		}
	}
}

// TestItemsAreNotEndedByAMalformedHead guards against an answer with a malformed head that becomes the output of an item, or ends it
// as failed.
func TestItemsAreNotEndedByAMalformedHead(t *testing.T) {
	f, ctx := newCutFleet(t)
	odd := strings.ReplaceAll(eventsOf(1, workerEvents), "data: e", "data: odd")
	names := map[string]string{}
	for i, a := range malformedHeads() {
		for k := range a.reply.pieces {
			a.reply.pieces[k].text = strings.ReplaceAll(a.reply.pieces[k].text, eventsOf(1, workerEvents), odd)
		}
		for _, n := range []int{1, malformedItems} {
			id := fmt.Sprintf("malformed-%d-%d", i, n)
			f.reply(id, slices.Repeat([]reply{a.reply}, n)...)
			names[id] = fmt.Sprint(a.name, " ", n, " times")
		}
	}
	f.wantItems(ctx, t, "malformed", names)
}

// TestItemsGoOnAfterAMalformedHead guards against the same where the text of an item has begun elsewhere.
func TestItemsGoOnAfterAMalformedHead(t *testing.T) {
	f, ctx := newCutFleet(t)
	rest := eventsOf(reachedEvent+1, workerEvents)
	names := map[string]string{}
	for i, line := range malformedLines() {
		for k, first := range beforeOdd {
			id := fmt.Sprintf("rest-%d-%d", i, k)
			f.plan(id, first)
			f.reply(id, plain(head(http.StatusOK, eventStream, line)+chunksOf(strings.ReplaceAll(rest, "data: e", "data: odd"))))
			names[id] = fmt.Sprintf("%v %q", first, line)
		}
	}
	f.wantItems(ctx, t, "rest", names)
}

// TestAnswersToCarriedCallsWithAMalformedHeadReachNoCaller guards against the same where another host carries the call.
func TestAnswersToCarriedCallsWithAMalformedHeadReachNoCaller(t *testing.T) {
	f, ctx := startLinkHosts(t, linkSetup{hosts: carriedHosts})
	c := f.newCuts(ctx)
	f.cut(refuse, f.entries[:carried]...)
	c.entries = f.entries[:carried]
	for _, a := range malformedHeads() {
		c.spoil(ctx, t, a, streamPath, 2, wantWhole)
		c.spoil(ctx, t, a, oncePath, 1, wantRefused)
	}
}

// TestStreamsGoOnAfterAMalformedHead guards against a stream that broke off and goes on with an answer whose head is malformed.
func TestStreamsGoOnAfterAMalformedHead(t *testing.T) {
	f, ctx := newCutFleet(t)
	rest := strings.ReplaceAll(eventsOf(reachedEvent+1, workerEvents), "data: e", "data: odd")
	for _, first := range beforeOdd {
		for _, line := range malformedLines() {
			t.Run(fmt.Sprintf("%v %q", first, line), func(t *testing.T) {
				id, s := f.askOdd(ctx, t, first, plain(head(http.StatusOK, eventStream, line)+chunksOf(rest)), 1)
				wantWhole(t, id, s)
			})
		}
	}
}

// malformedTrailers are answers whose chunks end after a number of events with a trailer that breaks the grammar of HTTP.
func malformedTrailers(events int) []spurious {
	var l []spurious
	for _, line := range malformedLines() {
		chunks := strings.TrimSuffix(chunksOf(eventsOf(1, events)), "\r\n") + line + "\r\n\r\n"
		l = append(l, spurious{fmt.Sprintf("%q after %d", line, events), plain(head(http.StatusOK, eventStream) + chunks)})
	}
	return l
}

// spoilTrailer spoils the trailer of the first answer to a request, and checks what its caller got.
func (f *cutFleet) spoilTrailer(ctx context.Context, t *testing.T, a spurious, path string, check func(t *testing.T, id string, s seen)) {
	t.Helper()
	t.Run(a.name+path, func(t *testing.T) {
		id := t.Name()
		f.reply(id, a.reply)
		f.cases++
		h := f.entries[f.cases%len(f.entries)]
		check(t, id, f.ask(ctx, h, streamRequest{id: id, path: path + "1"}))
		f.askSound(ctx, t, h)
	})
}

// TestAnswersWithAMalformedTrailerAreNotWhole guards against an answer that counts as whole though a line behind its last chunk breaks
// the grammar of HTTP.
func TestAnswersWithAMalformedTrailerAreNotWhole(t *testing.T) {
	f, ctx := newCutFleet(t)
	for _, a := range slices.Concat(malformedTrailers(reachedEvent), malformedTrailers(workerEvents)) {
		f.spoilTrailer(ctx, t, a, streamPath, wantWhole)
		f.spoilTrailer(ctx, t, a, lookPath, wantWhole)
		f.spoilTrailer(ctx, t, a, oncePath, wantBroken)
		f.spoilTrailer(ctx, t, a, buyPath, wantBroken)
	}
}

// TestAnswersToCarriedCallsWithAMalformedTrailerAreNotWhole guards against the same where another host carries the call.
func TestAnswersToCarriedCallsWithAMalformedTrailerAreNotWhole(t *testing.T) {
	f, ctx := startLinkHosts(t, linkSetup{hosts: carriedHosts})
	c := f.newCuts(ctx)
	f.cut(refuse, f.entries[:carried]...)
	c.entries = f.entries[:carried]
	for _, a := range malformedTrailers(reachedEvent) {
		c.spoilTrailer(ctx, t, a, streamPath, wantWhole)
		c.spoilTrailer(ctx, t, a, oncePath, wantBroken)
	}
}

// TestItemsAreNotCompletedByAMalformedTrailer guards against the same for the items of a batch job.
func TestItemsAreNotCompletedByAMalformedTrailer(t *testing.T) {
	f, ctx := newCutFleet(t)
	names := map[string]string{}
	for i, a := range malformedTrailers(reachedEvent) {
		id := fmt.Sprint("trailer-", i)
		f.reply(id, a.reply)
		names[id] = a.name
	}
	f.wantItems(ctx, t, "trailer", names)
}

// TestUnusualHeadsAreServed guards against sound answers that are refused for names and values that HTTP permits.
func TestUnusualHeadsAreServed(t *testing.T) {
	f, ctx := newCutFleet(t)
	events := eventsOf(1, workerEvents)
	trailer := strings.TrimSuffix(chunksOf(events), "\r\n") + tokenCharacters + ": 1\r\nX-Last:\xff\r\n\r\n"
	for name, text := range map[string]string{
		"all token characters":  head(http.StatusOK, eventStream, tokenCharacters+": 1") + chunksOf(events),
		"bytes above 7f":        head(http.StatusOK, eventStream, "X-Odd: \x80\xa0\xc3\xbc\xff") + chunksOf(events),
		"no blank in the value": head(http.StatusOK, eventStream, "X-Odd:1", "X-Even: \t1 \t") + chunksOf(events),
		"no value":              head(http.StatusOK, eventStream, "X-Odd:", "X-Even: ") + chunksOf(events),
		"a blank in the value":  head(http.StatusOK, eventStream, "X-Odd: a b\tc : d") + chunksOf(events),
		"no reason":             strings.Replace(head(http.StatusOK, eventStream), "200 OK", "200", 1) + chunksOf(events),
		"reason above 7f":       strings.Replace(head(http.StatusOK, eventStream), "200 OK", "200 \xff\t!", 1) + chunksOf(events),
		"trailer":               head(http.StatusOK, eventStream) + trailer,
		"interim answer":        "HTTP/1.1 103 Early Hints\r\n" + tokenCharacters + ": \xff\r\n\r\n" + head(http.StatusOK, eventStream) + chunksOf(events),
		"lines that end in LF":  strings.ReplaceAll(head(http.StatusOK, eventStream), "\r\n", "\n") + chunksOf(events),
	} {
		for _, path := range []string{streamPath, lookPath, oncePath, buyPath} {
			f.spoil(ctx, t, spurious{name, plain(text)}, path, 1, wantWhole)
		}
	}
	is.New(t).True(f.cases > 0)
}
