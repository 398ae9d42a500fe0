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
	pollInterval = 100 * time.Millisecond
	// freshnessLease is the freshness lease in baseSettings.
	freshnessLease = 4 * time.Second
	// withdrawalLimit bounds the time until a withdrawal takes effect on a host that is not partitioned.
	withdrawalLimit = 5 * time.Second
)

// groupStatuses returns the status of the replica groups on one control host.
func (f *fleet) groupStatuses(ctx context.Context, host string) ([]groupstatus.Status, error) {
	c := f.client(host)
	c.Timeout = time.Second
	b, err := c.Do(ctx, "GET", "/v1/groups", nil)
	if err != nil {
		return nil, err
	}
	var l []groupstatus.Status
	return l, json.Unmarshal(b, &l)
}

// waitUntil repeats try until it returns nil, and fails the test when ctx ends first.
func (f *fleet) waitUntil(ctx context.Context, what string, try func() error) {
	f.t.Helper()
	for {
		err := try()
		if err == nil {
			return
		}
		if f.timer.Sleep(ctx, pollInterval) != nil {
			f.t.Fatalf("%s: %v", what, err)
		}
	}
}

// checkRepaired returns an error that names a group whose leader does not report it as repaired, if any.
func (f *fleet) checkRepaired(ctx context.Context) error {
	repaired := map[uint32]bool{}
	for _, h := range []string{"control-0", "control-1", "control-2"} {
		l, err := f.groupStatuses(ctx, h)
		if err != nil {
			continue
		}
		for _, s := range l {
			repaired[s.Group] = repaired[s.Group] || s.Leading && s.Repaired
		}
	}
	for g := range uint32(3) {
		if !repaired[g] {
			return errors.Newf("group %d is not repaired", g)
		}
	}
	return nil
}

// grantKey grants a further key. version is the version in force.
func (f *fleet) grantKey(ctx context.Context, id string, version uint64) (string, error) {
	s := key.NewSecret()
	o, err := f.client().SendChange(ctx, &change.Change{
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

// sendCompletion sends a streamed completion to a host and returns the response with its body open.
func (f *fleet) sendCompletion(ctx context.Context, host, secret string, tokens int) (*http.Response, error) {
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

// TestDiskReplacementThenHostLoss empties the disk of a control host, replaces the member and then kills another control
// host. The replaced member must hold the whole state: keys and batch results must still be served.
func TestDiskReplacementThenHostLoss(t *testing.T) {
	is := is.New(t)
	f, ctx := runFleet(t)
	l := f.generator()
	l.Rate = 0
	l.BatchItems = 200
	f.waitUntil(ctx, "start", func() error { return l.CheckReady(ctx) })
	s, err := l.Run(ctx)
	is.NoErr(err)
	is.Equal(s.FaultCount, 0)

	old := identity.Identity{}
	f.waitUntil(ctx, "member", func() error {
		g, err := f.groupStatuses(ctx, "control-1")
		if err == nil {
			old = g[0].Self
		}
		return err
	})
	f.kill("control-1")
	is.NoErr(os.RemoveAll(f.hosts["control-1"].DataFolder))
	f.start("control-1")
	_, err = f.grantKey(ctx, "while-lost", 2)
	is.NoErr(err)
	b, err := json.Marshal(map[string]any{"old": old, "host": "control-1"})
	is.NoErr(err)
	f.waitUntil(ctx, "replace", func() error {
		c := f.client("control-0")
		c.Timeout = 20 * time.Second
		_, err := c.Do(ctx, "POST", "/v1/groups/replace", b)
		return err
	})
	f.waitUntil(ctx, "repair", func() error { return f.checkRepaired(ctx) })

	f.kill("control-0")
	_, err = f.grantKey(ctx, "after-second-loss", 3)
	is.NoErr(err)
	k, err := f.client("control-1").Get(ctx, "/v1/keys")
	is.NoErr(err)
	is.Equal(len(k.Keys), 3)
	l.Hosts = []string{f.hosts["control-1"].Callers, f.hosts["control-2"].Callers, f.hosts["entry-3"].Callers}
	f.waitUntil(ctx, "results", func() error { return l.CheckSameResults(ctx) })
}

// TestFrozenHostServesNoWithdrawnKey suspends the leader of the configuration, withdraws a key meanwhile and resumes
// the process after its freshness lease. The host must refuse the withdrawn key from its first call on, and later serve
// another key again.
func TestFrozenHostServesNoWithdrawnKey(t *testing.T) {
	is := is.New(t)
	f, ctx := runFleet(t)
	f.waitUntil(ctx, "start", func() error { return f.generator().CheckReady(ctx) })
	other, err := f.grantKey(ctx, "other", 2)
	is.NoErr(err)
	leader := ""
	f.waitUntil(ctx, "leader", func() error {
		g, err := f.groupStatuses(ctx, "control-0")
		if err == nil {
			leader = g[0].Leader.Host
		}
		return err
	})
	is.NoErr(f.processes[leader].Process.Signal(syscall.SIGSTOP))
	frozen := f.timer.Now()
	var reachable []string
	for _, n := range f.names() {
		if n != leader {
			reachable = append(reachable, n)
		}
	}
	o, err := f.client(reachable...).SendChange(ctx, &change.Change{ID: "withdraw", Base: 3, Kind: change.WithdrawKey, Name: "k"})
	is.NoErr(err)
	is.Equal(o.Version, uint64(4))
	is.NoErr(f.timer.Sleep(ctx, freshnessLease+time.Second-f.timer.Now().Sub(frozen)))
	is.NoErr(f.processes[leader].Process.Signal(syscall.SIGCONT))
	for range 20 {
		r, err := f.sendCompletion(ctx, leader, f.secret, 1)
		is.NoErr(err)
		is.True(r.StatusCode == http.StatusUnauthorized || r.StatusCode == http.StatusServiceUnavailable)
		is.Equal(r.Header.Get("Siskin-Verdict"), "not-run")
		_ = r.Body.Close()
	}
	f.waitUntil(ctx, "recovery", func() error {
		r, err := f.sendCompletion(ctx, leader, other, 1)
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

// TestWithdrawnKeyEndsOpenStreams withdraws a key while every host serves a stream for it. Each stream must end with the
// refusal within withdrawalLimit.
func TestWithdrawnKeyEndsOpenStreams(t *testing.T) {
	is := is.New(t)
	f, ctx := runFleet(t)
	f.waitUntil(ctx, "start", func() error { return f.generator().CheckReady(ctx) })
	const endless = 100_000
	var streams []*http.Response
	for _, n := range f.names() {
		r, err := f.sendCompletion(ctx, n, f.secret, endless)
		is.NoErr(err)
		is.Equal(r.StatusCode, http.StatusOK)
		streams = append(streams, r)
	}
	_, err := f.client().SendChange(ctx, &change.Change{ID: "withdraw", Base: 2, Kind: change.WithdrawKey, Name: "k"})
	is.NoErr(err)
	w, cancel := context.WithTimeout(ctx, withdrawalLimit)
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
