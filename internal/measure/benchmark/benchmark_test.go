package benchmark_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/measure/benchmark"
)

func TestParse(t *testing.T) {
	is := is.New(t)
	l, err := benchmark.Parse("goos: linux\nBenchmarkSecond/80-hosts-10 \t 3\t 33.5 ns/op\t 65152 bytes/s/host\nPASS\n")
	is.NoErr(err)
	is.Equal(len(l), 1)
	is.Equal(l[0].Name, "BenchmarkSecond/80-hosts")
	v, ok := l[0].Get("bytes/s/host")
	is.True(ok)
	is.Equal(v, 65152.0)
	_, ok = l[0].Get("MB/s")
	is.True(!ok)
	_, err = benchmark.Parse("BenchmarkX 3 x ns/op")
	is.True(err != nil)
}
