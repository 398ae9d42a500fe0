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
	"siskinrun/internal/measure/loadgen"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/state/groupstatus"
)

var (
	// joiningNetwork is the prefix of the hosts' IP addresses in this test, which are also their names.
	joiningNetwork = reserveNetwork(14)
	// firstEntry is the first entry host.
	firstEntry = joiningNetwork + "31"
)

// newJoiningFleet writes the settings of three hosts that store the configuration, three that store ledgers and two
// entry hosts. The settings of each list only the host itself and the seeds.
func newJoiningFleet(t testing.TB) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{
		t: t, folder: t.TempDir(), hosts: map[string]settings.Host{}, processes: map[string]*exec.Cmd{},
		logs: map[string]*bytes.Buffer{}, timer: timer.NewService(), ownOverlays: true,
	}
	f.program = buildProgram(t)
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
			f.writeJoiningHost(k.first+i, string(rune('a'+i)), k.keeps)
		}
	}
	f.settings, err = settings.Load(filepath.Join(f.folder, "base.jsonc"), filepath.Join(f.folder, joiningNetwork+"31.jsonc"))
	is.NoErr(err)
	return f
}

// writeJoiningHost adds a host to the fleet and writes its overlay.
func (f *fleet) writeJoiningHost(number int, domain string, keeps []string) {
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

// voters returns the voters of a group as its leader reports them once the group is repaired.
func (f *fleet) voters(ctx context.Context, group uint32, hosts ...string) ([]string, error) {
	for _, h := range hosts {
		l, err := f.groupStatuses(ctx, h)
		if err != nil {
			continue
		}
		for _, s := range l {
			if s.Group == group && s.Leading && s.Repaired {
				return voterIDs(s), nil
			}
		}
	}
	return nil, errors.Newf("group %d has no leader that reports it as repaired", group)
}

func voterIDs(s groupstatus.Status) []string {
	var l []string
	for _, m := range s.Members {
		if m.Voter {
			l = append(l, m.Identity.String())
		}
	}
	return l
}

// checkCompletion sends a completion and returns an error unless the answer is complete.
func (f *fleet) checkCompletion(ctx context.Context, host string) error {
	r, err := f.sendCompletion(ctx, host, f.secret, 4)
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

// newServedJoiningFleet returns a joining fleet whose firstEntry has served calls and a batch job, and their generator.
func newServedJoiningFleet(t *testing.T) (*fleet, *loadgen.Generator, context.Context) {
	t.Helper()
	is := is.New(t)
	f := newJoiningFleet(t)
	ctx := f.run()
	f.waitUntil(ctx, "first answer", func() error { return f.checkCompletion(ctx, firstEntry) })
	l := f.generator()
	l.Hosts = []string{f.hosts[firstEntry].Callers}
	l.Rate = 5
	l.BatchItems = 100
	s, err := l.Run(ctx)
	is.NoErr(err)
	is.Equal(s.FaultCount, 0)
	return f, l, ctx
}

// TestHostsJoinThroughSeedsAndRepairThemselves starts hosts whose settings list only the seeds, empties the disks of
// two ledger hosts one after the other, and adds an entry host later. The new disks must replace the lost voters without
// a command, the batch results must survive, and the late host must serve calls.
func TestHostsJoinThroughSeedsAndRepairThemselves(t *testing.T) {
	is := is.New(t)
	f, l, ctx := newServedJoiningFleet(t)

	ledgerHosts := []string{joiningNetwork + "21", joiningNetwork + "22", joiningNetwork + "23"}
	for _, h := range ledgerHosts[:2] {
		var before []string
		var err error
		f.waitUntil(ctx, "group repaired before the loss", func() error {
			before, err = f.voters(ctx, 1, ledgerHosts...)
			return err
		})
		f.kill(h)
		is.NoErr(os.RemoveAll(f.hosts[h].DataFolder))
		f.start(h)
		f.waitUntil(ctx, "new disk of "+h, func() error {
			now, err := f.voters(ctx, 1, ledgerHosts...)
			if err == nil && (len(now) != len(before) || strings.Join(now, " ") == strings.Join(before, " ")) {
				return errors.Newf("the voters are %s", now)
			}
			return err
		})
	}
	f.waitUntil(ctx, "results", func() error { return l.CheckSameResults(ctx) })

	f.writeJoiningHost(39, "c", nil)
	late := joiningNetwork + "39"
	f.start(late)
	f.waitUntil(ctx, "answer of the late host", func() error { return f.checkCompletion(ctx, late) })
}

// TestAcknowledgedStateSurvivesALostDiskAndTheKillOfAllHosts empties one disk of each kind while all hosts are down, after
// they have acknowledged a configuration, a key and a batch job.
func TestAcknowledgedStateSurvivesALostDiskAndTheKillOfAllHosts(t *testing.T) {
	is := is.New(t)
	f, l, ctx := newServedJoiningFleet(t)
	for n := range f.hosts {
		is.NoErr(f.processes[n].Process.Kill())
	}
	for n := range f.hosts {
		_ = f.processes[n].Wait()
	}
	for _, n := range []string{joiningNetwork + "12", joiningNetwork + "22"} {
		is.NoErr(os.RemoveAll(f.hosts[n].DataFolder))
	}
	for _, n := range f.names() {
		f.start(n)
	}
	f.waitUntil(ctx, "answer with the key of before", func() error { return f.checkCompletion(ctx, firstEntry) })
	f.waitUntil(ctx, "results of before", func() error { return l.CheckSameResults(ctx) })
}
