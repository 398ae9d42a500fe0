package tunnel_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"

	"siskinrun/internal/base/group"
)

const questionBytes = 200

// exchange sends a question on a connection, has it answered at its other end, and closes it.
func exchange(b *testing.B, c net.Conn, accepted chan net.Conn) {
	b.Helper()
	q := make([]byte, questionBytes)
	if _, err := c.Write(q); err != nil {
		b.Fatal(err)
	}
	up := <-accepted
	if _, err := io.ReadFull(up, q); err != nil {
		b.Fatal(err)
	}
	if _, err := up.Write(q); err != nil {
		b.Fatal(err)
	}
	if _, err := io.ReadFull(c, q); err != nil {
		b.Fatal(err)
	}
	_, _ = up.Close(), c.Close()
}

// BenchmarkExchange compares one exchange on a new connection through a tunnel with a direct one.
func BenchmarkExchange(b *testing.B) {
	f := newFixture(b)
	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			c, err := net.Dial("tcp", f.upstream.Address)
			if err != nil {
				b.Fatal(err)
			}
			exchange(b, c, f.accepted)
		}
	})
	b.Run("tunnel", func(b *testing.B) {
		for b.Loop() {
			c, err := f.origin.Open(b.Context(), "b", f.upstream)
			if err != nil {
				b.Fatal(err)
			}
			exchange(b, c, f.accepted)
		}
	})
}

// BenchmarkMemory reports what an open tunnel holds at both hosts together.
func BenchmarkMemory(b *testing.B) {
	const tunnels = 400
	for b.Loop() {
		f := newFixture(b)
		g := group.NewGroup(b.Context())
		g.Go("upstream", func(context.Context) error {
			for range tunnels {
				<-f.accepted
			}
			return nil
		})
		before := memory()
		var l []net.Conn
		for range tunnels {
			c, err := f.origin.Open(b.Context(), "b", f.upstream)
			if err != nil {
				b.Fatal(err)
			}
			l = append(l, c)
		}
		b.ReportMetric(float64(memory()-before)/tunnels, "bytes/tunnel")
		for _, c := range l {
			_ = c.Close()
		}
		_ = g.Wait()
	}
}

// memory returns the bytes of heap and stacks in use.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
