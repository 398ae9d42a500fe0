package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"siskinrun/platform/wire"
)

// cutHeads are answers that stop inside their head, with an end of the connection or a reset.
func cutHeads() []spurious {
	lines := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + wire.Signature + ": s\r\n" + wire.AttemptID + ": " + requestID + "\r\n" + eventStream + "\r\n"
	var l []spurious
	for _, after := range []string{
		"HTTP/1.1 20", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\n", "Content-Le", "Content-Length: ", "Content-Length: 5",
		"Content-Length: 5\r\n", wire.Signature + ": s", wire.AttemptID + ": " + requestID, eventStream, eventStream + "\r", eventStream + "\r\n",
	} {
		text, _, _ := strings.Cut(lines, after)
		for _, end := range []string{"close", "reset"} {
			pieces := []piece{{0, text + after}}
			if end == "reset" {
				pieces = append(pieces, piece{beforeReset, ""})
			}
			l = append(l, spurious{fmt.Sprintf("%q %s", after, end), reply{pieces, true}})
		}
		l = append(l, spurious{fmt.Sprintf("%q slow", after), reply{[]piece{{0, text}, {50 * time.Millisecond, after}}, true}})
	}
	return l
}

// TestAnswersThatStopInTheirHeadReachNoCaller guards against an answer whose head is not whole, and that its caller gets as a 200 with
// an empty or short body, framed as whole.
func TestAnswersThatStopInTheirHeadReachNoCaller(t *testing.T) {
	f, ctx := newCutFleet(t)
	for _, a := range cutHeads() {
		for _, path := range []string{streamPath, lookPath} {
			f.spoil(ctx, t, a, path, 2, wantWhole)
		}
		for _, path := range []string{oncePath, buyPath} {
			f.spoil(ctx, t, a, path, 1, wantRefused)
		}
	}
}

// TestAnswersToCarriedCallsThatStopInTheirHeadReachNoCaller guards against the same where another host carries the call.
func TestAnswersToCarriedCallsThatStopInTheirHeadReachNoCaller(t *testing.T) {
	f, ctx := startLinkHosts(t, linkSetup{hosts: carriedHosts})
	c := f.newCuts(ctx)
	f.cut(refuse, f.entries[:carried]...)
	c.entries = f.entries[:carried]
	for _, a := range cutHeads() {
		c.spoil(ctx, t, a, streamPath, 2, wantWhole)
		c.spoil(ctx, t, a, oncePath, 1, wantRefused)
	}
}

// TestItemsAreNotEndedByAnswersThatStopInTheirHead guards against the same for the items of a batch job.
func TestItemsAreNotEndedByAnswersThatStopInTheirHead(t *testing.T) {
	f, ctx := newCutFleet(t)
	var l []oddAnswer
	for _, a := range cutHeads() {
		l = append(l, oddAnswer(a))
	}
	f.runItemReplies(ctx, t, "heads", l, beforeOdd[:1])
}

// TestAnswersToCarriedCallsWithoutAValidStatusReachNoCaller guards against a status that HTTP does not have where another host carries
// the call.
func TestAnswersToCarriedCallsWithoutAValidStatusReachNoCaller(t *testing.T) {
	f, ctx := startLinkHosts(t, linkSetup{hosts: carriedHosts})
	c := f.newCuts(ctx)
	f.cut(refuse, f.entries[:carried]...)
	c.entries = f.entries[:carried]
	for _, s := range append([]string{"+200", "0200", "0x1", "2 00", "00", "-200"}, oddStatuses...) {
		text := strings.Replace(head(http.StatusOK, eventStream), "200 OK", s+" OK", 1) + chunksOf(eventsOf(1, workerEvents))
		a := spurious{fmt.Sprintf("%q", s), plain(text)}
		c.spoil(ctx, t, a, streamPath, 2, wantWhole)
		c.spoil(ctx, t, a, oncePath, 1, wantRefused)
	}
}
