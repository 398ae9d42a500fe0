package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"siskinrun/platform/wire"
)

// requestID stands for the ID of the request in a reply.
const requestID = "{id}"

// reply is an answer of an upstream that is sent as it is, in pieces.
type reply struct {
	pieces []piece
	// closes says that the connection ends with the reply.
	closes bool
}

// plain returns a reply that is sent at once, and after which the connection stays open.
func plain(text string) reply {
	return reply{pieces: []piece{{0, text}}}
}

// head returns the head of an answer to the request, up to its framing.
func head(status int, headers ...string) string {
	h := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Response-Signature: s\r\n%s: %s\r\n", status, http.StatusText(status), wire.AttemptID, requestID)
	for _, v := range headers {
		h += v + "\r\n"
	}
	return h
}

// framed returns an answer with a length.
func framed(status int, body string, headers ...string) string {
	return head(status, headers...) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// eventsOf returns the events from the first to the last, as the workers of a cutFleet send them.
func eventsOf(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", n, n)
	}
	return b.String()
}

// write sends the reply to a request and reports whether the connection stays open.
func (r reply) write(c net.Conn, id string) bool {
	for _, p := range r.pieces {
		time.Sleep(p.pause)
		if _, err := io.WriteString(c, strings.ReplaceAll(p.text, requestID, id)); err != nil {
			return false
		}
	}
	return !r.closes
}

// reply sets how the runs of a request are answered after its plan.
func (f *cutFleet) reply(id string, l ...reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replies[id] = l
}

// nextReply returns the reply to a run of a request, if its plan has been played and there is one.
func (f *cutFleet) nextReply(id string) (reply, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.replies[id]
	if len(f.plans[id]) > 0 || len(l) == 0 {
		return reply{}, false
	}
	f.runs[id]++
	f.replies[id] = l[1:]
	return l[0], true
}
