package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskinrun/internal/base/clientmemory"
	"siskinrun/internal/product/settings"
)

// TestTheLargestJobFitsIntoEveryMemory guards against settings that are accepted and with which a job of the largest length is
// refused for lack of memory though nobody else holds any.
func TestTheLargestJobFitsIntoEveryMemory(t *testing.T) {
	base := writeFile(t, "b.jsonc", baseJSON)
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(r)
		body := rapid.IntRange(1<<10, 16<<20).Draw(r, "body-bytes")
		least := 4*int64(body)*7/4 + 32_000_000
		l := settings.Limits{BodyBytes: body, MemoryBytes: rapid.Int64Range(least, max(least, 400_000_000)).Draw(r, "memory-bytes")*4/3 + 1}
		start := time.Unix(0, 0)
		a := clientmemory.Account{Bytes: l.ClientBytes(), Large: l.LargeBytes()}
		ok, _ := a.Open(1, "a", false, 40<<10, start)
		is.True(ok)
		ok, _ = a.Grow(1, int64(body)/2, start)
		is.True(ok)
		ok, _ = a.Grow(1, int64(body)+1, start) // while the body is copied to a larger buffer
		is.True(ok)
		a.Shrink(1, int64(body)/2)
		a.Run(1, start)
		if !a.GrowLarge(1, 3*int64(body)) {
			ok, _ = a.Grow(1, 3*int64(body), start)
			is.True(ok)
		}
	})
	is := is.New(t)
	_, err := settings.Load(base, writeFile(t, "o.jsonc", `{"limits": {"body-bytes": 4194304, "memory-bytes": 61000000}}`))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "limits.memory-bytes: is 61000000, too little for a request with body-bytes 4194304: at least 61360128"))
	_, err = settings.Load(base, writeFile(t, "p.jsonc", `{"limits": {"body-bytes": 4194304, "memory-bytes": 61360128}}`))
	is.NoErr(err)
}
