package main

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

const (
	// controlMemory is the setting memory-bytes of a control host under abusive load, and the bound of its resident memory.
	controlMemory = 64_000_000
	// controlBody is the largest body of an order.
	controlBody = 8 << 20
)

// TestControlAddressStaysWithinMemory guards against orders that never end and fill the memory of a control host, and against
// one that no longer takes orders.
func TestControlAddressStaysWithinMemory(t *testing.T) {
	p, ctx := preparePlatformFleet(t, platformControl, platformHosts(1), "")
	p.configure(p.control, `"memory-bytes": 200000000`, fmt.Sprintf(`"memory-bytes": %d`, controlMemory))
	p.startAll(ctx, plainConfiguration)
	f := &loadFleet{
		plainFleet: p.newPlain(ctx, plainSetup{hosts: 1, configuration: plainConfiguration}), host: p.control,
		address: p.control + ":7442", pid: p.processes[p.control].Process.Pid,
	}
	head := requestHead("POST", wire.PathConfigReplace)
	f.play(ctx, 30, func(c net.Conn) error {
		return sendAll(0, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", controlBody), string(make([]byte, controlBody-1)))(c)
	}, func(c net.Conn) error {
		return sendAll(0, head+"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s", controlBody, make([]byte, controlBody-1)))(c)
	}, sendAll(0, manyLines()))
	f.await(ctx, "order", func() error { return f.post(ctx, wire.PathConfigReplace, plainConfiguration) })
	f.checkMemory(controlMemory)
}

// TestCallersLeaveDescriptors guards against callers that take all descriptors of a host and against idle connections that keep
// other callers out.
func TestCallersLeaveDescriptors(t *testing.T) {
	const descriptors = 500
	p, ctx := preparePlatformFleet(t, platformControl, platformHosts(1), "")
	h := p.entries[0]
	p.configure(h, `"concurrency": 4096`, fmt.Sprintf(`"concurrency": 4096, "descriptors": %d`, descriptors))
	p.startAll(ctx, plainConfiguration)
	f := &loadFleet{
		plainFleet: p.newPlain(ctx, plainSetup{hosts: 1, slots: 1, configuration: plainConfiguration}), host: h,
		address: h + ":7443", pid: p.processes[h].Process.Pid,
	}
	f.startPlain(ctx, 0, 0)
	f.awaitServing(ctx, h)
	f.play(ctx, 600, sendAll(100*time.Millisecond, "GET", " "))
	n := f.descriptors()
	t.Logf("%d descriptors", n)
	is.New(t).True(n < descriptors*3/5) // half of those that are not for files are for callers
	f.awaitServing(ctx, h)
}
