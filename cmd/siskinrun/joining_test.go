package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/state/groupstatus"
)

// joiningNetwork holds the addresses of the hosts of this test, which are their names.
const joiningNetwork = "127.0.14."

// newJoiningFleet writes settings of three hosts with the configuration, three with ledgers and two entry hosts, each
// of which names itself and the seeds alone.
func newJoiningFleet(t testing.TB) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{
		t: t, folder: t.TempDir(), hosts: map[string]settings.Host{}, processes: map[string]*exec.Cmd{},
		logs: map[string]*bytes.Buffer{}, timer: timer.NewService(), apart: true,
	}
	f.program = filepath.Join(f.folder, "siskinrun")
	out, err := exec.Command("go", "build", "-o", f.program, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	b, err := os.ReadFile("../../examples/joining/base.jsonc")
	is.NoErr(err)
	b = bytes.ReplaceAll(b, []byte("127.0.13."), []byte(joiningNetwork))
	is.NoErr(os.WriteFile(filepath.Join(f.folder, "base.jsonc"), b, 0o600))
	for _, k := range []struct {
		first int
		count int
		keeps []string
	}{{11, 3, []string{settings.KeepsConfiguration}}, {21, 3, []string{settings.KeepsLedgers}}, {31, 2, nil}} {
		for i := range k.count {
			f.addJoining(k.first+i, string(rune('a'+i)), k.keeps)
		}
	}
	f.settings, err = settings.Load(filepath.Join(f.folder, "base.jsonc"), filepath.Join(f.folder, joiningNetwork+"31.jsonc"))
	is.NoErr(err)
	return f
}

// addJoining writes the settings of one host.
func (f *fleet) addJoining(number int, domain string, keeps []string) {
	f.t.Helper()
	is := is.New(f.t)
	n := fmt.Sprint(joiningNetwork, number)
	h := settings.Host{FailureDomain: domain, Keeps: keeps, Label: fmt.Sprint("host-", number)}
	h.Peers, h.Callers, h.Upstreams, h.Operators = n+":7430", n+":7431", n+":7432", n+":7433"
	if len(keeps) > 0 {
		h.DataFolder = filepath.Join(f.folder, "data-"+n)
	}
	f.hosts[n] = h
	b, err := json.Marshal(map[string]any{"fleet": map[string]any{"hosts": map[string]settings.Host{n: h}}})
	is.NoErr(err)
	is.NoErr(os.WriteFile(filepath.Join(f.folder, n+".jsonc"), b, 0o600))
}

// voters returns the hosts that vote on a group, as its leader tells.
func (f *fleet) voters(ctx context.Context, group uint32, hosts ...string) ([]string, error) {
	for _, h := range hosts {
		l, err := f.groups(ctx, h)
		if err != nil {
			continue
		}
		for _, s := range l {
			if s.Group == group && s.Leading && s.Repaired {
				return names(s), nil
			}
		}
	}
	return nil, errors.Newf("group %d has no leader that finds it repaired", group)
}

func names(s groupstatus.Status) []string {
	var l []string
	for _, m := range s.Members {
		if m.Voter {
			l = append(l, m.Identity.String())
		}
	}
	return l
}

// answered sends a completion and returns an error unless the whole answer comes.
func (f *fleet) answered(ctx context.Context, host string) error {
	r, err := f.call(ctx, host, f.secret, 4)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode != 200 || !strings.Contains(string(b), "[DONE]") {
		return errors.Newf("status %d: %s", r.StatusCode, b)
	}
	return nil
}

// TestHostsJoinThroughSeedsAndRepairThemselves starts real processes that know the seeds alone, empties the disks of
// two hosts with ledgers one after the other, and adds an entry host later.
func TestHostsJoinThroughSeedsAndRepairThemselves(t *testing.T) {
	is := is.New(t)
	f := newJoiningFleet(t)
	t.Cleanup(func() {
		for n, l := range f.logs {
			if t.Failed() {
				t.Logf("%s:\n%s", n, l)
			}
		}
	})
	ctx := f.run()
	entry := joiningNetwork + "31"
	f.until(ctx, "first answer", func() error { return f.answered(ctx, entry) })
	l := f.load()
	l.Hosts = []string{f.hosts[entry].Callers}
	l.Rate = 5
	l.BatchItems = 100
	s, err := l.Run(ctx)
	is.NoErr(err)
	is.Equal(s.FaultCount, 0)

	keepers := []string{joiningNetwork + "21", joiningNetwork + "22", joiningNetwork + "23"}
	for _, h := range keepers[:2] {
		var before []string
		f.until(ctx, "repaired before", func() error {
			before, err = f.voters(ctx, 1, keepers...)
			return err
		})
		f.kill(h)
		is.NoErr(os.RemoveAll(f.hosts[h].DataFolder))
		f.start(h)
		f.until(ctx, "another disk of "+h, func() error {
			now, err := f.voters(ctx, 1, keepers...)
			if err == nil && (len(now) != len(before) || strings.Join(now, " ") == strings.Join(before, " ")) {
				return errors.Newf("the voters are %s", now)
			}
			return err
		})
	}
	f.until(ctx, "results", func() error { return l.CheckSameResults(ctx) })

	f.addJoining(39, "c", nil)
	late := joiningNetwork + "39"
	f.start(late)
	f.until(ctx, "answer of a late host", func() error { return f.answered(ctx, late) })
}
