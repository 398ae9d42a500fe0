package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/state/groupstatus"
	"siskinrun/platform/wire"
)

// evacuationFleet is a platformFleet with three control hosts and a worker in each of two failure domains.
type evacuationFleet struct {
	*platformFleet
	controls []string
	workers  map[string]*platformWorker
	sent     int
}

func startEvacuationFleet(t *testing.T) (*evacuationFleet, context.Context) {
	t.Helper()
	f, ctx := preparePlatformFleet(t, platformControl, platformEntries, `"keeps": ["configuration"],`)
	e := &evacuationFleet{platformFleet: f, workers: map[string]*platformWorker{}}
	for i := range 3 {
		h := fmt.Sprint(platformNetwork, 11+i)
		e.controls = append(e.controls, h)
		f.write(h, string(rune('a'+i)), `"control": "`+h+`:7442", "keeps": ["configuration"], "data-folder": "`+
			filepath.Join(f.folder, "data-"+h)+`",`)
	}
	seeds := `"seeds": ["` + strings.Join(e.controls, `:7440", "`) + `:7440"], "failure-domains": [{"a": "r", "b": "r", "z": "r"}, null]`
	for _, h := range append(e.controls, f.entries...) {
		f.configure(h, `"seeds": ["`+f.control+`:7440"]`, seeds)
	}
	f.program = buildProgram(t)
	e.startHosts()
	f.await(ctx, "configuration", func() error { return f.post(ctx, wire.PathConfigReplace, platformConfiguration) })
	for _, z := range []string{"a", "b"} {
		w := &platformWorker{fleet: f, id: "w-" + z, service: "lm", zone: z, version: "v1", born: 1, alive: true, slots: 8}
		w.pace = func(string, int) time.Duration { return time.Millisecond }
		f.run(ctx, w)
		e.workers[z] = w
	}
	e.awaitServing(ctx, "a")
	e.awaitServing(ctx, "b")
	return e, ctx
}

func (e *evacuationFleet) startHosts() {
	for _, h := range append(e.controls, e.entries...) {
		if e.processes[h] == nil {
			e.start(h)
		}
	}
}

// order sends an order to a control host and returns the status of the answer.
func (e *evacuationFleet) order(ctx context.Context, host, path, body string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+":7442"+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r, err := e.http.Do(q)
	if err != nil {
		return 0, err
	}
	return r.StatusCode, r.Body.Close()
}

// accept sends an order to one control host after another until one accepts it.
func (e *evacuationFleet) accept(ctx context.Context, path string) {
	e.t.Helper()
	n := 0
	began := e.timer.Now()
	e.await(ctx, path, func() error {
		n++
		return e.try(ctx, e.controls[n%len(e.controls)], path)
	})
	e.t.Logf("%s accepted after %v and %d tries", path, e.timer.Now().Sub(began), n)
}

// call sends a call to each entry host and returns their statuses.
func (e *evacuationFleet) call(ctx context.Context) []int {
	var l []int
	for _, h := range e.entries {
		e.sent++
		c, err := e.open(ctx, h, streamRequest{id: fmt.Sprint("e-", e.sent), prompt: fmt.Sprintf("p%d:40,x:1", e.sent)})
		if err != nil {
			l = append(l, 0)
			continue
		}
		if c.status == http.StatusOK {
			_ = c.read(workerEvents)
		}
		_ = c.body.Close()
		l = append(l, c.status)
	}
	return l
}

// awaitServing returns once the worker of a failure domain gets calls.
func (e *evacuationFleet) awaitServing(ctx context.Context, zone string) {
	e.t.Helper()
	before := len(e.workers[zone].ran())
	e.await(ctx, "a call to the worker in "+zone, func() error {
		e.call(ctx)
		if len(e.workers[zone].ran()) == before {
			return errors.New("it gets none")
		}
		return nil
	})
}

// awaitRefusal returns once a call is refused with a code and told when to come back.
func (e *evacuationFleet) awaitRefusal(ctx context.Context, code string) {
	e.t.Helper()
	e.await(ctx, code, func() error {
		e.sent++
		c, err := e.open(ctx, e.entries[0], streamRequest{id: fmt.Sprint("e-", e.sent), prompt: fmt.Sprintf("p%d:40,x:1", e.sent)})
		if err != nil {
			return err
		}
		defer func() { _ = c.body.Close() }()
		b, err := io.ReadAll(c.body)
		if err == nil && (c.status != http.StatusServiceUnavailable || c.retryAfter <= 0 || !strings.Contains(string(b), code)) {
			err = errors.Newf("status %d, Retry-After %v, %s", c.status, c.retryAfter, b)
		}
		return err
	})
}

// awaitQuiet returns once the evacuation of a failure domain is in force on all hosts that serve: at most 5 s after its
// acknowledgement.
func (e *evacuationFleet) awaitQuiet() {
	time.Sleep(inForceTime)
}

// inForceTime is the time after an acknowledgement in which an evacuation is to be in force on reachable hosts.
const inForceTime = 5 * time.Second

// checkNoneSent sends calls through all entry hosts for a while and fails if the worker of an evacuated failure domain gets one.
func (e *evacuationFleet) checkNoneSent(ctx context.Context, zone string) {
	e.t.Helper()
	is := is.New(e.t)
	before := len(e.workers[zone].ran())
	for range 20 {
		e.call(ctx)
	}
	is.Equal(len(e.workers[zone].ran()), before)
}

// runProgram runs the command evacuation and returns what it prints.
func (e *evacuationFleet) runProgram(ctx context.Context, args ...string) string {
	e.t.Helper()
	secret := filepath.Join(e.folder, "secret") // on a trusted network any secret will do
	is.New(e.t).NoErr(os.WriteFile(secret, []byte("0123456789abcdef0123456789abcdef"), 0o600))
	args = append(append([]string{"evacuation"}, args...), "--address", e.controls[0]+":7441", "--operator-secret-file", secret, "--json")
	b, err := exec.CommandContext(ctx, e.program, args...).CombinedOutput()
	if err != nil {
		e.t.Fatalf("%v: %v\n%s", args, err, b)
	}
	return string(b)
}

// leader returns the control host that leads the configuration.
func (e *evacuationFleet) leader(ctx context.Context) string {
	e.t.Helper()
	var leader string
	e.await(ctx, "leader", func() error {
		for _, h := range e.controls {
			var l []groupstatus.Status
			r, err := e.http.Get("http://" + h + ":7441/v1/groups")
			if err != nil {
				continue
			}
			err = json.NewDecoder(r.Body).Decode(&l)
			_ = r.Body.Close()
			if err != nil {
				continue
			}
			for _, s := range l {
				if s.Group == 0 && s.Leading {
					leader = h
					return nil
				}
			}
		}
		return errors.New("none")
	})
	return leader
}

// TestEvacuationOutlivesALeaderAndARestartOfAllHosts guards against calls that reach upstreams of a failure domain from the
// time at which its evacuation is in force until it is withdrawn, while the leader is lost, all hosts are killed and start
// again; and against an acknowledged order that is lost.
func TestEvacuationOutlivesALeaderAndARestartOfAllHosts(t *testing.T) {
	is := is.New(t)
	e, ctx := startEvacuationFleet(t)
	for _, c := range []struct {
		path, body string
		status     int
	}{
		{wire.PathEvacuationBegin + "no-such-zone", "", 404},
		{wire.PathEvacuationFinish + "no-such-zone", "", 404},
		{wire.PathEvacuationBegin + "a", "x", 400},
		{"/siskinrun/Evacuations.Pause/a", "", 404},
		{wire.PathEvacuationFinish + "z", "", 200}, // known, and not evacuated
	} {
		s, err := e.order(ctx, e.controls[0], c.path, c.body)
		is.NoErr(err)
		is.Equal(s, c.status)
	}
	e.awaitServing(ctx, "a")
	e.accept(ctx, wire.PathEvacuationBegin+"a")
	e.awaitQuiet()
	e.checkNoneSent(ctx, "a")
	is.Equal(e.call(ctx), []int{200, 200, 200}) // the other failure domain takes the load
	e.accept(ctx, wire.PathEvacuationBegin+"a")

	lost := e.leader(ctx)
	e.kill(lost)
	e.checkNoneSent(ctx, "a")
	e.accept(ctx, wire.PathEvacuationBegin+"b")
	for _, h := range append(e.controls, e.entries...) { // all at once, right after the acknowledgement
		if p := e.processes[h]; p != nil {
			is.NoErr(p.Process.Kill())
		}
	}
	for _, h := range append(e.controls, e.entries...) {
		e.kill(h)
	}
	a, b := len(e.workers["a"].ran()), len(e.workers["b"].ran())
	e.startHosts()
	e.await(ctx, "hosts that serve", func() error { e.call(ctx); return e.ready(ctx) })
	for _, s := range e.call(ctx) {
		is.Equal(s, 503)
	}
	e.awaitRefusal(ctx, "upstream-evacuated") // calls don't reach the choice of an upstream
	is.Equal(len(e.workers["a"].ran()), a)
	is.Equal(len(e.workers["b"].ran()), b)

	e.runProgram(ctx, "begin", "b") // the state is so already
	is.True(strings.Contains(e.runProgram(ctx, "status"), `"evacuated": true`))
	e.runProgram(ctx, "finish", "b")
	e.accept(ctx, wire.PathEvacuationFinish+"b")
	e.awaitServing(ctx, "b")
	e.checkNoneSent(ctx, "a")
	e.accept(ctx, wire.PathEvacuationFinish+"a")
	e.awaitServing(ctx, "a")
	e.accept(ctx, wire.PathEvacuationBegin+"a") // a begin after a finish is no repetition of the first
	e.awaitQuiet()
	e.checkNoneSent(ctx, "a")
}

// TestOrdersCountMembersThatAreDown guards against an order that is accepted though a control host that is down was never heard
// from, so may not apply it once it is back, and against one that is refused, after a restart of the host that is asked, for a
// member that is lost but reported that it knows the order.
func TestOrdersCountMembersThatAreDown(t *testing.T) {
	is := is.New(t)
	e, ctx := startEvacuationFleet(t)
	e.accept(ctx, wire.PathEvacuationBegin+"a")
	lost, asked := e.controls[0], e.controls[1]
	e.kill(lost)
	time.Sleep(forgottenTime)
	e.kill(asked)
	e.start(asked)
	e.acceptAt(ctx, asked, wire.PathEvacuationFinish+"a")
	e.kill(asked)
	is.NoErr(os.Remove(filepath.Join(e.folder, "data-"+asked, "member-features")))
	e.start(asked)
	e.acceptAt(ctx, asked, wire.PathEvacuationFinish+"a") // the state is so already
	for range 5 {
		s, err := e.order(ctx, asked, wire.PathEvacuationBegin+"a", "")
		is.NoErr(err)
		is.Equal(s, http.StatusServiceUnavailable)
	}
	e.start(lost)
	e.acceptAt(ctx, asked, wire.PathEvacuationBegin+"a")
}

// forgottenTime is the time after which other hosts pass nothing on of a host that was killed: 30 s after it was declared dead.
const forgottenTime = 36 * time.Second

// acceptAt sends an order to a control host until it accepts it.
func (e *evacuationFleet) acceptAt(ctx context.Context, host, path string) {
	e.t.Helper()
	e.await(ctx, path, func() error { return e.try(ctx, host, path) })
}

// try sends an order to a control host and returns an error unless it is accepted.
func (e *evacuationFleet) try(ctx context.Context, host, path string) error {
	s, err := e.order(ctx, host, path, "")
	if err == nil && s != http.StatusOK {
		err = errors.Newf("status %d", s)
	}
	return err
}
