package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

// soundEntry is the entry of a worker as the pages have it, with its address and the millisecond of its start.
const soundEntry = `{"service":"lm","address":"%s","zone":"a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,` +
	`"stage":"dual","models":[{"name":"m","version":1,"adapters":[]}],"sequence":900000,"born":%d}`

// oddEntries returns entries that name no worker to use, made of a sound one.
func oddEntries() map[string]string {
	sound := fmt.Sprintf(soundEntry, "127.0.0.1:9", 9)
	odd := map[string]string{"no JSON": "\xff\xfe{", "an array": "[]", "two documents": sound + sound, "empty": ""}
	for _, n := range []int{1_000, 200_000} {
		odd[fmt.Sprint(n, " levels")] = strings.Replace(sound, `"adapters":[]`, `"adapters":`+strings.Repeat("[", n)+strings.Repeat("]", n), 1)
		odd[fmt.Sprint("as the document, ", n, " levels")] = strings.Repeat("[", n) + strings.Repeat("]", n)
	}
	for _, f := range []struct{ field, sound string }{
		{"slots", `8`}, {"sequence", `900000`}, {"born", `9`}, {"cold_remaining_ms", `0`},
	} {
		for _, v := range []string{`null`, `"1"`, `[]`, `{}`, `true`, `-1`, `1e400`, strings.Repeat("9", 30), strings.Repeat("9", 4000)} {
			odd[f.field+" "+v[:min(len(v), 12)]+fmt.Sprint(len(v))] = strings.Replace(sound, `"`+f.field+`":`+f.sound, `"`+f.field+`":`+v, 1)
		}
	}
	odd["born in the far future"] = strings.Replace(sound, `"born":9`, `"born":18446744073709551615`, 1)
	odd["no cold_remaining_ms"] = strings.Replace(sound, `"cold_remaining_ms":0,`, ``, 1)
	for _, p := range []string{"0", "-1", "65536", "99999", "+80", "8e3", "", "http", " 80", "00080"} {
		odd["port "+p] = strings.Replace(sound, ":9\"", ":"+p+"\"", 1)
	}
	for _, a := range []string{"0.0.0.0:80", "224.0.0.1:80", "127.0.0.1", "host:80", ":80", "255.255.255.255:80", "999.0.0.1:80"} {
		odd["address "+a] = strings.Replace(sound, "127.0.0.1:9", a, 1)
	}
	long := strings.Repeat("x", 100_000)
	for _, f := range []string{`"service":"lm"`, `"zone":"a"`, `"version":"v1"`, `"state":"ready"`} {
		name, _, _ := strings.Cut(f, ":")
		odd["long "+name] = strings.Replace(sound, f, name+`:"`+long+`"`, 1)
		odd["null "+name] = strings.Replace(sound, f, name+`:null`, 1)
		odd["number "+name] = strings.Replace(sound, f, name+`:7`, 1)
	}
	for _, m := range []string{`null`, `{}`, `7`, `[7]`, `[{"name":7,"version":1,"adapters":[]}]`, `[{"name":"m","version":[],"adapters":[]}]`, `[{"name":"m","version":1,"adapters":7}]`} {
		odd["models "+m] = strings.Replace(sound, `[{"name":"m","version":1,"adapters":[]}]`, m, 1)
	}
	odd["stage"] = strings.Replace(sound, `"stage":"dual"`, `"stage":7`, 1)
	return odd
}

// status sends a message to the control host and returns the status of its answer, zero for none.
func (f *platformFleet) status(ctx context.Context, path, body string) int {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.control+":7442"+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r, err := f.http.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// TestOddEntriesNameNoWorker guards against entries of another writer that are taken for workers, displace the worker whose ID
// they bear, end hosts or keep them from following the list.
func TestOddEntriesNameNoWorker(t *testing.T) {
	is := is.NewRelaxed(t)
	f, ctx := newPlatformFleet(t)
	f.startWorker(ctx, "i-sound", "v1")
	f.await(ctx, "readiness", func() error { return f.ready(ctx) })
	is.NoErr(f.timer.Sleep(ctx, time.Second))
	odd := oddEntries()
	n := 0
	for name, b := range odd {
		for _, id := range []string{fmt.Sprint("i-odd-", n), "i-sound"} {
			if s := f.status(ctx, wire.PathHeartbeat+id, b); s != http.StatusBadRequest {
				t.Errorf("%s as %s: status %d", name, id[:5], s)
			}
		}
		n++
	}
	sound := fmt.Sprintf(soundEntry, "127.0.0.1:9", 9)
	for _, id := range []string{"", "%FF%FE", "%00", "a%0Ab", strings.Repeat("i", 5000)} {
		if s := f.status(ctx, wire.PathHeartbeat+id, sound); s < 400 || s >= 500 {
			t.Errorf("the ID %.12q: status %d", id, s)
		}
		if s := f.status(ctx, wire.PathDeregister+id, `{"born":1}`); s < 400 || s >= 500 {
			t.Errorf("a leave under the ID %.12q: status %d", id, s)
		}
	}
	f.startWorker(ctx, "i-new", "v1")
	is.NoErr(f.timer.Sleep(ctx, 2*time.Second))
	served := map[string]int{}
	for i := range 30 {
		s, err := f.open(ctx, f.entries[i%len(f.entries)], streamRequest{id: fmt.Sprint("odd-", i)})
		is.NoErr(err)
		is.Equal(s.status, http.StatusOK)
		is.Equal(s.read(workerEvents+1), io.EOF)
		served[s.data[0]]++
	}
	for h, p := range f.processes {
		is.True(p.ProcessState == nil) // it goes on
		for _, line := range []string{`"upstream":"i-odd`, `"tried":["i-odd`} {
			if strings.Contains(f.logs[h].String(), line) {
				t.Errorf("%s took an odd entry for a worker", h)
			}
		}
	}
}

// TestOddIDKeepsNoHostFromFollowing guards against an entry under an ID that is no text, after which no host can tell others of
// its workers.
func TestOddIDKeepsNoHostFromFollowing(t *testing.T) {
	is := is.NewRelaxed(t)
	f, ctx := newPlatformFleet(t)
	_ = f.status(ctx, wire.PathHeartbeat+"%FF%FE", fmt.Sprintf(soundEntry, "127.0.0.1:9", 9))
	f.startWorker(ctx, "i-new", "v1")
	is.NoErr(f.timer.Sleep(ctx, 3*time.Second))
	for i, h := range f.entries {
		s, err := f.open(ctx, h, streamRequest{id: fmt.Sprint("follow-", i)})
		is.NoErr(err)
		is.Equal(s.status, http.StatusOK)
	}
}
