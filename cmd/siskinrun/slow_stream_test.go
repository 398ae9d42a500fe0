package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

const (
	// slowPatience is how long the callers of slow streams wait, and slowSlack how much later the host may end.
	slowPatience = 2 * time.Second
	slowSlack    = 500 * time.Millisecond
	slowStep     = 60 * time.Millisecond
)

// piece is a part of a stream and the pause before it.
type piece struct {
	pause time.Duration
	text  string
}

// event returns a numbered event of a stream.
func event(n int) string {
	return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)
}

// dribble returns a text in pieces of one byte.
func dribble(text string, pause time.Duration) []piece {
	var l []piece
	for _, b := range []byte(text) {
		l = append(l, piece{pause, string(b)})
	}
	return l
}

// sendSlowly sends a stream in pieces, and a text over and over if there is one.
func sendSlowly(k *net.TCPConn, q *http.Request, l []piece, repeated string) {
	_, _ = io.Copy(io.Discard, q.Body)
	_, _ = fmt.Fprintf(k, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Response-Signature: s\r\n%s: %s\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", wire.AttemptID, q.Header.Get(wire.AttemptID))
	for _, p := range l {
		time.Sleep(p.pause)
		_ = sendChunk(k, p.text)
	}
	for repeated != "" {
		time.Sleep(slowStep)
		if sendChunk(k, repeated) != nil {
			return
		}
	}
	_, _ = io.WriteString(k, "0\r\n\r\n")
}

func sendChunk(k *net.TCPConn, text string) error {
	_, err := fmt.Fprintf(k, "%x\r\n%s\r\n", len(text), text)
	return err
}

// TestSlowStreams guards against sound streams that are cut for being slow, and stalled ones that are kept up by bytes.
func TestSlowStreams(t *testing.T) {
	cases := []struct {
		name string
		// pieces are sent in turn, and then repeated over and over if there is one.
		pieces   []piece
		repeated string
		patience time.Duration
		status   int
		events   []string
		whole    bool
		// resumable says that the route lets streams go on at another worker.
		resumable bool
	}{
		{"events with pauses", []piece{{0, event(1)}, {700 * time.Millisecond, event(2)}, {700 * time.Millisecond, event(3)}}, "", slowPatience, 200, []string{"1", "2", "3"}, true, false},
		{"bytes with pauses", dribble(event(1)+event(2), slowStep/2), "", slowPatience, 200, []string{"1", "2"}, true, false},
		{"comments between events", []piece{{slowStep, ":\n\n"}, {slowStep, event(1)}, {slowStep, ": a\n"}, {slowStep, ":\n\n"}, {slowStep, event(2)}, {slowStep, ":\n\n"}}, "", slowPatience, 200, []string{"1", "2"}, true, false},
		{"a long pause", []piece{{0, event(1)}, {4500 * time.Millisecond, event(2)}}, "", 7 * time.Second, 200, []string{"1", "2"}, true, false},
		{"comments without an event", nil, ":\n\n", slowPatience, 504, nil, false, false},
		{"bytes without an event", nil, "x", slowPatience, 504, nil, false, false},
		{"comments after an event", []piece{{0, event(1)}}, ":\n\n", slowPatience, 200, []string{"1"}, false, false},
		{"bytes after an event", []piece{{0, event(1)}}, "x", slowPatience, 200, []string{"1"}, false, false},
		{"pauses of a second, may go on", []piece{{0, event(1)}, {time.Second, event(2)}, {time.Second, event(3)}}, "", usualPatience, 200, []string{"1", "2", "3"}, true, true},
		{"a long pause, may go on", []piece{{0, event(1)}, {1500 * time.Millisecond, event(2)}}, "", usualPatience, 200, []string{"1", "2"}, true, true},
		{"a pause before the first event, may go on", []piece{{1500 * time.Millisecond, event(1)}, {0, event(2)}}, "", usualPatience, 200, []string{"1", "2"}, true, true},
		{"a pause inside an event, may go on", []piece{{0, event(1) + "id: 2\n"}, {1500 * time.Millisecond, "data: 2\n\n"}}, "", usualPatience, 200, []string{"1", "2"}, true, true},
		{"a pause before the end, may go on", []piece{{0, event(1) + event(2)}, {1500 * time.Millisecond, ":\n\n"}}, "", usualPatience, 200, []string{"1", "2"}, true, true},
	}
	scripts := map[string]script{}
	for n, c := range cases {
		scripts[fmt.Sprint(n)] = func(w *onceWorker, k *net.TCPConn, q *http.Request) {
			w.count(q)
			sendSlowly(k, q, c.pieces, c.repeated)
		}
	}
	f, ctx := newOnceFleet(t, scripts)
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			began := f.timer.Now()
			path := "/slow/"
			if c.resumable {
				path = "/slow-on/"
			}
			q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entries[n%len(f.entries)]+":7443"+path+fmt.Sprint(n), strings.NewReader("x"))
			is.NoErr(err)
			q.Host = streamHost
			q.Header.Set(wire.AttemptID, fmt.Sprint("s", n))
			q.Header.Set(wire.Deadline, strconv.FormatInt(c.patience.Milliseconds(), 10))
			r, err := f.http.Do(q)
			is.NoErr(err)
			b, err := io.ReadAll(r.Body)
			_ = r.Body.Close()
			took := f.timer.Now().Sub(began)
			is.Equal(r.StatusCode, c.status)
			is.True(took < c.patience+slowSlack)
			is.Equal(numbers(b), c.events)
			is.Equal(err == nil, c.whole || c.status != http.StatusOK)
			is.Equal(f.runs(fmt.Sprint("s", n)), 1)
		})
	}
}

// numbers returns the numbers of the events in the bytes of a stream.
func numbers(b []byte) []string {
	var l []string
	for s := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(s, "id: "); ok {
			l = append(l, strings.TrimSpace(v))
		}
	}
	return l
}
