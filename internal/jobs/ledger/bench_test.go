package ledger

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/filestore"
)

const itemsPerCommand = 64

// BenchmarkComplete leases and completes items, 64 per command.
func BenchmarkComplete(b *testing.B) {
	c := newHarness(b)
	c.job("j", "t", 200_000, true)
	c.bytes = 0
	var seq uint64
	jobs := 0
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; {
		seq++
		l := c.take("h", seq, itemsPerCommand)
		if len(l) == 0 {
			b.StopTimer()
			jobs++
			c.job(fmt.Sprintf("j%d", jobs), "t", 200_000, true)
			b.StartTimer()
			continue
		}
		o := make([]*entry.Outcome, len(l))
		for i := range l {
			o[i] = complete(l[i].Fence)
		}
		c.finish("h", o...)
		n += len(l)
	}
	b.ReportMetric(float64(c.bytes)/float64(b.N), "log-bytes/item")
}

// BenchmarkMemory measures the heap of one accepted job with half of its items completed.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{100_000, 200_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				before := heap()
				c := newHarness(b)
				c.job("j", "t", n, true)
				c.completeItems(n / 2)
				after := heap()
				b.ReportMetric(float64(after-before)/float64(n), "heap-bytes/item")
				runtime.KeepAlive(c)
				b.StartTimer()
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// completeItems completes n items.
func (b *harness) completeItems(n int) {
	var seq uint64
	for done := 0; done < n; {
		seq++
		var o []*entry.Outcome
		for _, l := range b.take("h", seq, itemsPerCommand) {
			o = append(o, complete(l.Fence))
		}
		b.finish("h", o...)
		done += len(o)
	}
}

// BenchmarkRestore restores 100,000 completed items from a snapshot with and without contents.
func BenchmarkRestore(b *testing.B) {
	c := newHarness(b)
	c.job("j", "t", 100_000, true)
	c.completeItems(100_000)
	for _, whole := range []bool{true, false} {
		b.Run(fmt.Sprintf("whole=%v", whole), func(b *testing.B) {
			is := is.New(b)
			w := &bytes.Buffer{}
			is.NoErr(c.ledger.save(w, whole))
			f := c.store
			if whole {
				var err error
				f, err = filestore.NewStore(b.TempDir())
				is.NoErr(err)
			}
			b.ResetTimer()
			for range b.N {
				is.NoErr(NewLedger(f).Restore(bytes.NewReader(w.Bytes())))
			}
			b.ReportMetric(float64(w.Len()), "snapshot-bytes")
		})
	}
}
