package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

const (
	// loadMemory is the setting memory-bytes of a host under abusive load, and the bound of its resident memory.
	loadMemory = 64_000_000
	// loadConcurrency is the setting concurrency of a host under abusive load.
	loadConcurrency = 1024
	// loadDescriptors bounds the open descriptors of a host under abusive load: its callers, and its files, peers and upstreams.
	loadDescriptors = loadConcurrency + 256
	// largestBody and largestHeader are the settings body-bytes and header-bytes.
	largestBody   = 4 << 20
	largestHeader = 16 << 10
	// loadTime is how long the connections of an abusive load stay open, which is less than the time of the platform's pages.
	loadTime = 8 * time.Second
	// loadPause is the time after which a load that was sent is looked at.
	loadPause = 2 * time.Second
)

// client sends one request of an abusive load over a connection.
type client func(c net.Conn) error

// loadFleet is a fleet of one entry host with little memory.
type loadFleet struct {
	*plainFleet
	host string
	// address is where the load is sent.
	address string
	pid     int
}

// newLoadFleet starts a control host, one entry host with little memory and two workers.
func newLoadFleet(t *testing.T) (*loadFleet, context.Context) {
	t.Helper()
	p, ctx := preparePlatformFleet(t, platformControl, platformHosts(1), "")
	h := p.entries[0]
	p.configure(h, `"memory-bytes": 200000000`, fmt.Sprintf(`"memory-bytes": %d`, loadMemory))
	p.configure(h, `"concurrency": 4096`, fmt.Sprintf(`"concurrency": %d`, loadConcurrency))
	p.startAll(ctx, plainConfiguration)
	f := p.newPlain(ctx, plainSetup{hosts: 1, slots: 2, configuration: plainConfiguration})
	for i := range f.slots {
		f.startPlain(ctx, i, 0)
	}
	f.awaitServing(ctx, h)
	return &loadFleet{plainFleet: f, host: h, address: h + ":7443", pid: p.processes[h].Process.Pid}, ctx
}

// play sends requests at the same time over connections that stay open, and returns when the host has had time for them.
func (f *loadFleet) play(ctx context.Context, n int, l ...client) {
	f.t.Helper()
	var sent sync.WaitGroup
	for i := range n * len(l) {
		sent.Add(1)
		f.group.Go("client", func(context.Context) error {
			done := sync.OnceFunc(sent.Done)
			defer done()
			var d net.Dialer
			c, err := d.DialContext(ctx, "tcp", f.address)
			if err != nil {
				return nil
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(f.timer.DeadlineIn(loadTime))
			if l[i%len(l)](c) == nil {
				done()
				_, _ = io.Copy(io.Discard, c) // until the host closes the connection or the time is over
			}
			return nil
		})
	}
	sent.Wait()
	is.New(f.t).NoErr(f.timer.Sleep(ctx, loadPause))
}

// check fails the test unless the host's process lives within its memory and descriptors and serves an ordinary request.
func (f *loadFleet) check(ctx context.Context) {
	f.t.Helper()
	n := f.descriptors()
	f.t.Logf("%d descriptors", n)
	is.New(f.t).True(n <= loadDescriptors)
	f.awaitServing(ctx, f.host)
	f.checkMemory(loadMemory)
}

// descriptors returns how many descriptors the host's process has open, and fails the test if the process has ended.
func (f *loadFleet) descriptors() int {
	f.t.Helper()
	l, err := os.ReadDir("/proc/" + strconv.Itoa(f.pid) + "/fd")
	is.New(f.t).NoErr(err)
	return len(l)
}

// checkMemory fails the test unless the host's process lives and its resident memory never passed a bound.
func (f *loadFleet) checkMemory(bound int) {
	f.t.Helper()
	is := is.New(f.t)
	b, err := os.ReadFile("/proc/" + strconv.Itoa(f.pid) + "/status")
	is.NoErr(err) // the process has ended
	peak := statusBytes(string(b), "VmHWM:")
	f.t.Logf("resident memory: %d bytes, peak %d bytes", statusBytes(string(b), "VmRSS:"), peak)
	is.True(peak > 0) // a process that has ended has no memory
	if peak > bound {
		f.t.Errorf("peak resident memory of %d bytes, %d are allowed", peak, bound)
	}
}

// statusBytes returns a value in kB of /proc/PID/status in bytes.
func statusBytes(status, name string) int {
	_, s, _ := strings.Cut(status, name)
	n, _ := strconv.Atoi(strings.Fields(s + " 0")[0])
	return n << 10
}

// requestHead returns the begin of a header section of a request, without the empty line at its end.
func requestHead(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + plainHost + "\r\n" + wire.AttemptID + ": load\r\n" +
		wire.Deadline + ": 3000\r\n"
}

// sendAll returns a client that sends texts one after the other, with a pause between them.
func sendAll(pause time.Duration, l ...string) client {
	return func(c net.Conn) error {
		for i, s := range l {
			if i > 0 {
				time.Sleep(pause)
			}
			if _, err := io.WriteString(c, s); err != nil {
				return err
			}
		}
		return nil
	}
}

// fillHead extends a header section by a line, repeated, up to a length.
func fillHead(head, line string, length int) string {
	return head + strings.Repeat(line, max(0, length-len(head))/len(line))
}

// sendBody returns a client that sends all but the last byte of a body of the largest length, in pieces.
func sendBody(piece int, pause time.Duration) client {
	b := bytes.Repeat([]byte("x"), piece)
	return func(c net.Conn) error {
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", requestHead("POST", plainPage), largestBody)
		for n := largestBody - 1; n > 0 && err == nil; n -= len(b) {
			_, err = c.Write(b[:min(n, len(b))])
			if pause > 0 {
				time.Sleep(pause)
			}
		}
		return err
	}
}

// sendChunks returns a client that sends chunks of a size, up to a length of the body, and not the last one.
func sendChunks(size, length int) client {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	group := max(1, (64<<10)/len(chunk))
	text := strings.Repeat(chunk, group)
	return func(c net.Conn) error {
		_, err := io.WriteString(c, requestHead("POST", plainPage)+"Transfer-Encoding: chunked\r\n\r\n")
		for n := 0; n < length/size && err == nil; n += group {
			_, err = io.WriteString(c, text[:min(group, length/size-n)*len(chunk)])
		}
		return err
	}
}

// manyLines is a header section that does not end, of many short lines.
func manyLines() string { return fillHead(requestHead("POST", plainPage), "a:b\r\n", 15_500) }

// oddLines are header sections that do not end: lines without values, continued lines, lines of blanks and one long line.
func oddLines() []string {
	h := requestHead("POST", plainPage)
	return []string{
		fillHead(h, "a:\r\n", 15_500),
		fillHead(h+"a: b\r\n", " b\r\n", 15_500),
		fillHead(h, "a: \t \t\r\n", 15_500),
		fillHead(h+"a: ", "b", 15_500),
	}
}

// manyLinesAndBody is a complete header section of many lines and the begin of a large body.
func manyLinesAndBody() string {
	h := requestHead("POST", plainPage) + fmt.Sprintf("Content-Length: %d\r\n", largestBody)
	return fillHead(h, "a:\r\n", len(h)+14_000) + "\r\n" + strings.Repeat("x", 64<<10)
}

// TestManyHeaderLinesStayWithinMemory guards against header sections whose lines take many times their bytes.
func TestManyHeaderLinesStayWithinMemory(t *testing.T) {
	f, ctx := newLoadFleet(t)
	f.play(ctx, 400, sendAll(0, manyLines()))
	f.check(ctx)
	f.play(ctx, 200, sendAll(0, manyLinesAndBody()))
	f.check(ctx)
}

// TestOddHeaderLinesStayWithinMemory guards against header sections whose odd lines take many times their bytes.
func TestOddHeaderLinesStayWithinMemory(t *testing.T) {
	f, ctx := newLoadFleet(t)
	var l []client
	for _, s := range oddLines() {
		l = append(l, sendAll(0, s), sendAll(50*time.Millisecond, s[:len(s)/2], s[len(s)/2:]))
	}
	f.play(ctx, 100, l...)
	f.check(ctx)
}

// TestManyBodiesAtOnceStayWithinMemory guards against large bodies that never end and fill the memory.
func TestManyBodiesAtOnceStayWithinMemory(t *testing.T) {
	f, ctx := newLoadFleet(t)
	f.play(ctx, 40, sendBody(largestBody, 0))
	f.check(ctx)
}

// TestManyIncrementalBodiesStayWithinMemory guards against large bodies that arrive little by little and fill the memory.
func TestManyIncrementalBodiesStayWithinMemory(t *testing.T) {
	f, ctx := newLoadFleet(t)
	f.play(ctx, 40, sendBody(64<<10, 10*time.Millisecond))
	f.check(ctx)
}

// TestManyLargeChunksStayWithinMemory guards against chunked bodies that never end and fill the memory.
func TestManyLargeChunksStayWithinMemory(t *testing.T) {
	f, ctx := newLoadFleet(t)
	f.play(ctx, 40, sendChunks(128<<10, largestBody-1))
	f.check(ctx)
}

// TestManySmallChunksStayWithinMemory guards against very small chunks that take many times their bytes.
func TestManySmallChunksStayWithinMemory(t *testing.T) {
	f, ctx := newLoadFleet(t)
	f.play(ctx, 200, sendChunks(1, 160_000))
	f.check(ctx)
}

// TestAllLoadsTogetherStayWithinMemory guards against kinds of load that are bounded one by one and not together, beside a
// caller that does not read its answer.
func TestAllLoadsTogetherStayWithinMemory(t *testing.T) {
	f, ctx := newLoadFleet(t)
	slow := requestHead("GET", plainPage) + "\r\n"
	f.play(ctx, 20, sendAll(0, manyLines()), sendAll(0, manyLinesAndBody()), sendAll(0, oddLines()[0]), sendBody(largestBody, 0),
		sendBody(64<<10, 10*time.Millisecond), sendChunks(128<<10, largestBody-1), sendChunks(1, 160_000),
		func(c net.Conn) error {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			return sendAll(0, strings.Repeat(slow, 100))(c)
		})
	f.check(ctx)
}

// TestRequestsAtEachLimitAreServed guards against bounds that a single request within the limits meets.
func TestRequestsAtEachLimitAreServed(t *testing.T) {
	f, ctx := newLoadFleet(t)
	body := strings.Repeat("x", largestBody)
	end := "Connection: close\r\n\r\n"
	h := requestHead("POST", plainPage)
	long := h + "Content-Length: 0\r\n"
	line := "X-Line: " + strings.Repeat("y", 90) + "\r\n"
	long = fillHead(long, line, largestHeader-len(end)-len(line))
	long += "X-Last: " + strings.Repeat("z", largestHeader-len(end)-len(long)-len("X-Last: \r\n")) + "\r\n" + end
	is.New(t).Equal(len(long), largestHeader)
	for _, c := range []struct {
		name string
		body int
		send client
	}{
		{"header section", 0, sendAll(0, long)},
		{"header section of many lines", 0, sendAll(0, fillHead(h+"Content-Length: 0\r\n", "a:b\r\n", largestHeader-len(end))+end)},
		{"body with a length", largestBody, sendAll(0, fmt.Sprintf("%sContent-Length: %d\r\n%s", h, largestBody, end), body)},
		{"chunked body", largestBody, func(c net.Conn) error {
			return sendAll(0, h+"Transfer-Encoding: chunked\r\n"+end, strings.Repeat("20000\r\n"+body[:128<<10]+"\r\n", 32), "0\r\n\r\n")(c)
		}},
		{"chunks of one byte", largestBody, func(c net.Conn) error {
			return sendAll(0, h+"Transfer-Encoding: chunked\r\n"+end, strings.Repeat("1\r\nx\r\n", largestBody), "0\r\n\r\n")(c)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var d net.Dialer
			k, err := d.DialContext(ctx, "tcp", f.host+":7443")
			is.NoErr(err)
			defer func() { _ = k.Close() }()
			is.NoErr(c.send(k))
			b, err := io.ReadAll(k)
			is.NoErr(err)
			r := plainRequest{method: http.MethodPost, path: plainPage, body: body[:c.body]}
			if !strings.HasPrefix(string(b), "HTTP/1.1 200 ") || !strings.HasSuffix(string(b), r.answer()) {
				t.Errorf("answered %q", b)
			}
		})
	}
	f.check(ctx)
}
