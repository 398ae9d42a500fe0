package control_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/group"
)

const proposerCount = 64

// BenchmarkProposals measures durable proposals to three hosts on loopback.
func BenchmarkProposals(b *testing.B) {
	for _, slow := range []bool{false, true} {
		b.Run(fmt.Sprintf("slow=%t", slow), func(b *testing.B) { benchmarkProposals(b, slow) })
	}
}

func benchmarkProposals(b *testing.B, slow bool) {
	f := newFleet(b, 1)
	if slow {
		f.delayLinks(b)
	}
	f.names = []string{"a", "b", "c"}
	f.listenAll(f.names...)
	for _, n := range f.names {
		f.start(n, b.TempDir(), 1)
	}
	l := f.leader(0)
	f.propose(l, 0, 1)
	command := make([]byte, 200)
	before := l.control.Status(0).Syncs
	g := group.NewGroup(context.Background())
	b.ResetTimer()
	for p := range proposerCount {
		g.Go("proposer", func(ctx context.Context) error {
			for i := p; i < b.N; i += proposerCount {
				if _, err := l.control.Propose(ctx, 0, command); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
	b.ReportMetric(float64(l.control.Status(0).Syncs-before)/float64(b.N), "syncs/proposal")
}

// BenchmarkProposalLatency measures the latency of single proposals.
func BenchmarkProposalLatency(b *testing.B) {
	f := newFleet(b, 1, "a", "b", "c")
	l := f.leader(0)
	for b.Loop() {
		if _, err := l.control.Propose(context.Background(), 0, []byte("x")); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkConfirm measures a quorum-confirmed read on a host that is not the leader.
func BenchmarkConfirm(b *testing.B) {
	f := newFleet(b, 1, "a", "b", "c")
	l := f.leader(0)
	for _, h := range f.hosts {
		if h == l {
			continue
		}
		f.wantApplied(h, 0, 0)
		for b.Loop() {
			if _, err := h.control.Confirm(context.Background(), 0); err != nil {
				b.Fatal(err)
			}
		}
		return
	}
}

// BenchmarkIdle measures the traffic and processor time of three idle hosts per second.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{1, 5, 17} {
		b.Run(fmt.Sprintf("groups=%d", n), func(b *testing.B) { benchmarkIdle(b, n) })
	}
}

func benchmarkIdle(b *testing.B, groups int) {
	f := newFleet(b, groups, "a", "b", "c")
	for g := range uint32(groups) {
		f.leader(g)
	}
	bytes, packets, used := f.counterSum("control.sent-bytes"), f.counterSum("control.sent-packets"), processorTime(b)
	for b.Loop() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		<-ctx.Done()
		cancel()
	}
	n := float64(b.N)
	b.ReportMetric(float64(f.counterSum("control.sent-bytes")-bytes)/n/3, "bytes/host-s")
	b.ReportMetric(float64(f.counterSum("control.sent-packets")-packets)/n/3, "packets/host-s")
	b.ReportMetric(float64((processorTime(b)-used).Milliseconds())/n/3, "processor-ms/host-s")
}

func (f *fleet) counterSum(name string) int64 {
	n := int64(0)
	for _, h := range f.hosts {
		n += metrics.GetOrRegisterCounter(name, h.metrics).Count()
	}
	return n
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
