package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/config/change"
	"siskinrun/internal/data/key"
	"siskinrun/internal/state/groupstatus"
	"siskinrun/internal/state/identity"
)

const (
	pause = 100 * time.Millisecond
	// lease is the freshness lease of the settings above.
	lease = 4 * time.Second
	// bound is how long a withdrawal may take on a host that is not cut off.
	bound = 5 * time.Second
)

// groups returns how the replica groups stand on one control host.
func (f *fleet) groups(ctx context.Context, host string) ([]groupstatus.Status, error) {
	c := f.console(host)
	c.Timeout = time.Second
	b, err := c.Do(ctx, "GET", "/v1/groups", nil)
	if err != nil {
		return nil, err
	}
	var l []groupstatus.Status
	return l, json.Unmarshal(b, &l)
}

// until repeats f until it returns nil.
func (f *fleet) until(ctx context.Context, what string, try func() error) {
	f.t.Helper()
	for {
		err := try()
		if err == nil {
			return
		}
		if f.timer.Sleep(ctx, pause) != nil {
			f.t.Fatalf("%s: %v", what, err)
		}
	}
}

// repaired reports as an error which group is not repaired.
func (f *fleet) repaired(ctx context.Context) error {
	whole := map[uint32]bool{}
	for _, h := range []string{"control-0", "control-1", "control-2"} {
		l, err := f.groups(ctx, h)
		if err != nil {
			continue
		}
		for _, s := range l {
			whole[s.Group] = whole[s.Group] || s.Leading && s.Repaired
		}
	}
	for g := range uint32(3) {
		if !whole[g] {
			return errors.Newf("group %d is not repaired", g)
		}
	}
	return nil
}

// grant grants a further key against the version in force.
func (f *fleet) grant(ctx context.Context, id string, version uint64) (string, error) {
	s := key.NewSecret()
	o, err := f.console().SendChange(ctx, &change.Change{
		ID: "grant-" + id, Base: version, Kind: change.GrantKey, Name: id, Key: &key.Key{ID: id, Team: "t", Hash: key.Hash(s)},
	})
	if err != nil {
		return "", err
	}
	if o.Version != version+1 {
		return "", errors.Newf("grant of %s: %s", id, o.Message)
	}
	return s, nil
}

// call sends a completion to a host and returns the status and the body as it comes.
func (f *fleet) call(ctx context.Context, host, secret string, tokens int) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": "p", "stream": true, "max_tokens": tokens})
	if err != nil {
		return nil, err
	}
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+f.hosts[host].Callers+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+secret)
	q.Close = true
	return http.DefaultClient.Do(q)
}

// TestEmptiedDiskThenSecondLoss empties a control host's disk, replaces it, and loses another host right after.
func TestEmptiedDiskThenSecondLoss(t *testing.T) {
	is := is.New(t)
	f, ctx := runFleet(t)
	l := f.load()
	l.Rate = 0
	l.BatchItems = 200
	f.until(ctx, "start", func() error { return l.CheckReady(ctx) })
	s, err := l.Run(ctx)
	is.NoErr(err)
	is.Equal(s.FaultCount, 0)

	old := identity.Identity{}
	f.until(ctx, "member", func() error {
		g, err := f.groups(ctx, "control-1")
		if err == nil {
			old = g[0].Self
		}
		return err
	})
	f.kill("control-1")
	is.NoErr(os.RemoveAll(f.hosts["control-1"].DataFolder))
	f.start("control-1")
	_, err = f.grant(ctx, "while-lost", 2)
	is.NoErr(err)
	b, err := json.Marshal(map[string]any{"old": old, "host": "control-1"})
	is.NoErr(err)
	f.until(ctx, "replace", func() error {
		c := f.console("control-0")
		c.Timeout = 20 * time.Second
		_, err := c.Do(ctx, "POST", "/v1/groups/replace", b)
		return err
	})
	f.until(ctx, "repair", func() error { return f.repaired(ctx) })

	f.kill("control-0")
	_, err = f.grant(ctx, "after-second-loss", 3)
	is.NoErr(err)
	k, err := f.console("control-1").Get(ctx, "/v1/keys")
	is.NoErr(err)
	is.Equal(len(k.Keys), 3)
	l.Hosts = []string{f.hosts["control-1"].Callers, f.hosts["control-2"].Callers, f.hosts["entry-3"].Callers}
	f.until(ctx, "results", func() error { return l.CheckSameResults(ctx) })
}

// TestFrozenHostServesNoWithdrawnKey stops a process, withdraws a key meanwhile and lets it go on.
func TestFrozenHostServesNoWithdrawnKey(t *testing.T) {
	is := is.New(t)
	f, ctx := runFleet(t)
	f.until(ctx, "start", func() error { return f.load().CheckReady(ctx) })
	other, err := f.grant(ctx, "other", 2)
	is.NoErr(err)
	leader := ""
	f.until(ctx, "leader", func() error {
		g, err := f.groups(ctx, "control-0")
		if err == nil {
			leader = g[0].Leader.Host
		}
		return err
	})
	is.NoErr(f.processes[leader].Process.Signal(syscall.SIGSTOP))
	frozen := f.timer.Now()
	var asked []string
	for _, n := range f.names() {
		if n != leader {
			asked = append(asked, n)
		}
	}
	o, err := f.console(asked...).SendChange(ctx, &change.Change{ID: "withdraw", Base: 3, Kind: change.WithdrawKey, Name: "k"})
	is.NoErr(err)
	is.Equal(o.Version, uint64(4))
	is.NoErr(f.timer.Sleep(ctx, lease+time.Second-f.timer.Now().Sub(frozen)))
	is.NoErr(f.processes[leader].Process.Signal(syscall.SIGCONT))
	for range 20 {
		r, err := f.call(ctx, leader, f.secret, 1)
		is.NoErr(err)
		is.True(r.StatusCode == http.StatusUnauthorized || r.StatusCode == http.StatusServiceUnavailable)
		is.Equal(r.Header.Get("Siskin-Verdict"), "not-run")
		_ = r.Body.Close()
	}
	f.until(ctx, "recovery", func() error {
		r, err := f.call(ctx, leader, other, 1)
		if err != nil {
			return err
		}
		defer func() { _ = r.Body.Close() }()
		if r.StatusCode != http.StatusOK {
			return errors.Newf("status %d", r.StatusCode)
		}
		return nil
	})
}

// TestWithdrawnKeyEndsOpenStreams withdraws a key under a running stream on every host.
func TestWithdrawnKeyEndsOpenStreams(t *testing.T) {
	is := is.New(t)
	f, ctx := runFleet(t)
	f.until(ctx, "start", func() error { return f.load().CheckReady(ctx) })
	const endless = 100_000
	var streams []*http.Response
	for _, n := range f.names() {
		r, err := f.call(ctx, n, f.secret, endless)
		is.NoErr(err)
		is.Equal(r.StatusCode, http.StatusOK)
		streams = append(streams, r)
	}
	_, err := f.console().SendChange(ctx, &change.Change{ID: "withdraw", Base: 2, Kind: change.WithdrawKey, Name: "k"})
	is.NoErr(err)
	w, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	for _, r := range streams {
		stop := context.AfterFunc(w, func() { _ = r.Body.Close() })
		b, err := io.ReadAll(r.Body)
		is.True(stop())
		is.True(err != nil)
		is.True(strings.Contains(string(b), `"code":"key-withdrawn"`))
		is.True(!strings.Contains(string(b), "[DONE]"))
	}
}
