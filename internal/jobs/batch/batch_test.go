package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/host"
	"siskinrun/internal/data/file"
	"siskinrun/internal/data/item"
	"siskinrun/internal/data/itemanswer"
	"siskinrun/internal/data/job"
	"siskinrun/internal/data/submission"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/executor"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// input returns a file of n items for an endpoint.
func input(n int, endpoint string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"c%d","method":"POST","url":%q,"body":{"model":"m","n":%d}}`+"\n", i, endpoint, i)
	}
	return b.String()
}

func submit(t *testing.T, b *Service, team string, n int, endpoint string) job.Job {
	is := is.New(t)
	f, err := b.UploadFile(t.Context(), team, "f", file.Purpose, strings.NewReader(input(n, endpoint)))
	is.NoErr(err)
	j, err := b.CreateJob(t.Context(), team, submission.Submission{File: f.ID, Endpoint: endpoint})
	is.NoErr(err)
	return j
}

// TestUploadRefusals guards against accepting invalid files and against refused uploads that leave stored bytes.
func TestUploadRefusals(t *testing.T) {
	good := `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}`
	tests := []struct {
		name string
		team string
		body string
		code string
		text string
	}{
		{"invalid JSON", "large", good + "\nnonsense\n", "bad-line", "line 2"},
		{"method other than POST", "large", strings.Replace(good, "POST", "GET", 1), "bad-line", "line 1"},
		{"no custom_id", "large", strings.Replace(good, `"a"`, `""`, 1), "bad-line", "line 1"},
		{"repeated custom_id", "large", good + "\n\n" + good, "bad-line", "line 3"},
		{"second model", "large", good + "\n" + strings.Replace(strings.Replace(good, `"m"`, `"n"`, 1), `"a"`, `"b"`, 1), "bad-line", "line 2"},
		{"long line", "large", good + "\n" + strings.Repeat("x", MaxLineBytes+1), "bad-line", "line 2"},
		{"empty file", "large", "\n\n", "empty-file", ""},
		{"quota exceeded", "small", input(20, "/invoice"), "quota-exceeded", ""},
		{"unknown team", "none", good, "unknown-team", ""},
	}
	_, b, _ := newHosts(t)
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			_, err := b.UploadFile(t.Context(), x.team, "f", file.Purpose, strings.NewReader(x.body))
			r := refusal.Of(err)
			is.True(r != nil)
			is.Equal(r.Code, x.code)
			is.Equal(r.Verdict, verdict.NotRun)
			is.True(strings.Contains(r.Message, x.text))
			is.Equal(b.Ledgers[1].StoredBytes(x.team)+b.Ledgers[2].StoredBytes(x.team)+b.Ledgers[3].StoredBytes(x.team), int64(0))
		})
	}
}

// TestFileOfAnotherTeamIsUnknown guards against access to the files of other teams and to deleted files.
func TestFileOfAnotherTeamIsUnknown(t *testing.T) {
	is := is.New(t)
	_, a, b := newHosts(t)
	f, err := b.UploadFile(t.Context(), "large", "f", file.Purpose, strings.NewReader(input(3, "/invoice")))
	is.NoErr(err)
	is.Equal(f.Lines, 3)
	_, err = a.GetFile(t.Context(), "other", f.ID)
	is.Equal(refusal.Of(err).Status, 404)
	var c bytes.Buffer
	is.NoErr(a.FileContent(t.Context(), "large", f.ID, &c))
	is.Equal(c.String(), input(3, "/invoice"))
	is.NoErr(b.DeleteFile(t.Context(), "large", f.ID))
	_, err = a.GetFile(t.Context(), "large", f.ID)
	is.Equal(refusal.Of(err).Status, 404)
}

// TestResentJobIsAcceptedOnce guards against a second job when a request is sent again after a lost answer, or with
// the same contents in another file.
func TestResentJobIsAcceptedOnce(t *testing.T) {
	is := is.New(t)
	c, a, b := newHosts(t)
	ctx := t.Context()
	upload := func(n int) file.File {
		f, err := a.UploadFile(ctx, "large", "f", file.Purpose, strings.NewReader(input(n, "/invoice")))
		is.NoErr(err)
		return f
	}
	f := upload(4)
	s := submission.Submission{File: f.ID, Endpoint: "/invoice", Key: "k"}
	calls := 0
	c.dropAnswer = func(m string) bool { calls++; return m == methodCommand && calls < 3 }
	j, err := b.CreateJob(ctx, "large", s)
	is.NoErr(err)
	c.dropAnswer = nil
	again, err := a.CreateJob(ctx, "large", s)
	is.NoErr(err)
	is.Equal(again.ID, j.ID)
	s.File = upload(4).ID // the same contents in a new file
	again, err = b.CreateJob(ctx, "large", s)
	is.NoErr(err)
	is.Equal(again.ID, j.ID)
	s.File = upload(5).ID
	_, err = b.CreateJob(ctx, "large", s)
	is.Equal(refusal.Of(err).Code, "key-conflict")
	l, err := b.ListJobs(ctx, "large", "", 10)
	is.NoErr(err)
	is.Equal(len(l), 1)
	_, err = b.GetJob(ctx, "other", j.ID)
	is.Equal(refusal.Of(err).Status, 404)
}

// TestUnknownAcceptanceIsReported guards against the verdict not-run when the answers to all attempts are lost.
func TestUnknownAcceptanceIsReported(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, _, b := newHosts(t)
	f, err := b.UploadFile(t.Context(), "large", "f", file.Purpose, strings.NewReader(input(2, "/invoice")))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	n := 0
	c.dropAnswer = func(m string) bool {
		if m == methodCommand {
			n++
		}
		return m == methodCommand && n > 1 // the key is bound but the acceptance is not confirmed
	}
	_, err = b.CreateJob(ctx, "large", submission.Submission{File: f.ID, Endpoint: "/invoice"})
	r := refusal.Of(err)
	is.Equal(r.Code, "acceptance-unknown")
	is.Equal(r.Verdict, verdict.MayHaveRun)
}

// TestKeyOfUnacceptedJobIsReused guards against a key that stays bound to a job that was never accepted and whose
// file was deleted.
func TestKeyOfUnacceptedJobIsReused(t *testing.T) {
	is := is.New(t)
	_, _, b := newHosts(t)
	ctx := t.Context()
	upload := func() file.File {
		f, err := b.UploadFile(ctx, "large", "f", file.Purpose, strings.NewReader(input(2, "/invoice")))
		is.NoErr(err)
		return f
	}
	f := upload()
	s := submission.Submission{File: f.ID, Endpoint: "/invoice", Key: "k"}
	e, err := b.file(ctx, "large", f.ID)
	is.NoErr(err)
	a, err := b.acceptance("large", s, e)
	is.NoErr(err)
	k := reservation("large", s, e, a)
	_, err = b.Command(ctx, b.keyGroup("large", k.Key), &entry.Command{Kind: &entry.Command_Reserve{Reserve: k}})
	is.NoErr(err)
	is.NoErr(b.DeleteFile(ctx, "large", f.ID))
	s.File = upload().ID
	j, err := b.CreateJob(ctx, "large", s)
	is.NoErr(err)
	is.Equal(j.File, s.File)
}

// TestNonRepeatableCalls guards against sending a call twice under one key: a second request gets the recorded
// answer, or a refusal while there is none.
func TestNonRepeatableCalls(t *testing.T) {
	is := is.New(t)
	c, a, b := newHosts(t)
	ctx := t.Context()
	n := 0
	c.dropAnswer = func(string) bool { n++; return n == 1 } // the first answer is lost and the call retried
	f, _, err := a.OpenCall(ctx, "large", "k", []byte("p"))
	is.NoErr(err)
	_, _, err = b.OpenCall(ctx, "large", "k", []byte("p"))
	is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
	_, _, err = b.OpenCall(ctx, "large", "k", []byte("q"))
	is.Equal(refusal.Of(err).Code, "key-conflict")
	is.NoErr(a.CloseCall(ctx, "large", "k", f, []byte("answer")))
	_, w, err := b.OpenCall(ctx, "large", "k", []byte("p"))
	is.NoErr(err)
	is.Equal(string(w), "answer")
	f, _, err = a.OpenCall(ctx, "large", "l", []byte("p"))
	is.NoErr(err)
	is.NoErr(a.ForgetCall(ctx, "large", "l", f))
	_, _, err = b.OpenCall(ctx, "large", "l", []byte("p"))
	is.NoErr(err)
}

// fakeFleet is one host with one upstream, on which run stands in for each item.
type fakeFleet struct {
	run  func(ctx context.Context, i item.Item) (itemanswer.Answer, error)
	mu   sync.Mutex
	runs map[int]int
}

func (f *fakeFleet) Hosts() []host.Host { return []host.Host{{Name: "h", FailureDomain: "d"}} }

func (f *fakeFleet) Upstreams() []upstream.Upstream {
	return []upstream.Upstream{{Name: "u", FailureDomain: "d", Slots: 8}}
}

func (f *fakeFleet) RouteOf(i item.Item) string { return i.Target }

func (f *fakeFleet) Revision() (uint64, time.Time) { return 1, time.Time{} }

func (f *fakeFleet) Targets(upstream.Upstream) []string { return []string{"m", "/invoice"} }

func (f *fakeFleet) Window(string) int { return 8 }
func (f *fakeFleet) Keep(string) int   { return 8 }

func (f *fakeFleet) Run(ctx context.Context, _ string, i item.Item) (itemanswer.Answer, error) {
	f.mu.Lock()
	f.runs[i.Index]++
	f.mu.Unlock()
	return f.run(ctx, i)
}

// startExecutor runs an executor on b, the host without ledgers, and the sweeps of the control host.
func startExecutor(t *testing.T, control, b *Service, f *fakeFleet) (stop func()) {
	f.runs = map[int]int{}
	d := &executor.Executor{
		Host: "h", Incarnation: "1", Groups: fakeGroups, Ledgers: b, Fleet: f, Routes: f, Windows: f, Runner: f, Timer: b.Timer,
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("executor", d.Run)
	g.Go("sweep", control.Run)
	stop = func() {
		cancel()
		_ = g.Wait()
	}
	t.Cleanup(stop)
	return stop
}

// wait waits until a job has ended and returns it.
func wait(t *testing.T, b *Service, j job.Job) job.Job {
	is := is.New(t)
	for !j.Ended() {
		is.NoErr(b.Timer.Sleep(t.Context(), 10*time.Millisecond))
		var err error
		j, err = b.GetJob(t.Context(), j.Team, j.ID)
		is.NoErr(err)
	}
	return j
}

// TestJobRunsToItsEnd checks the counts and results of a job with one failed item, from the leader, another host
// and a replica while the leader is unreachable.
func TestJobRunsToItsEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, a, b := newHosts(t)
	startExecutor(t, a, b, &fakeFleet{run: func(_ context.Context, i item.Item) (itemanswer.Answer, error) {
		if i.Index == 7 {
			return itemanswer.Answer{Status: 400, Body: []byte("no JSON")}, nil
		}
		return itemanswer.Answer{Status: 200, Body: fmt.Appendf(nil, `{"n":%d}`, i.Index)}, nil
	}})
	j := wait(t, b, submit(t, b, "large", 300, "/v1/chat/completions"))
	is.Equal(j.State, job.Completed)
	is.Equal(j.Completed, 299)
	is.Equal(j.Failed, 1)
	var fromLeader, fromOtherHost, failed bytes.Buffer
	is.NoErr(a.Results(t.Context(), "large", j.ID, &fromLeader))
	is.NoErr(b.Results(t.Context(), "large", j.ID, &fromOtherHost))
	is.NoErr(b.Errors(t.Context(), "large", j.ID, &failed))
	is.Equal(fromLeader.String(), fromOtherHost.String())
	l := strings.Split(strings.TrimSpace(fromOtherHost.String()), "\n")
	is.Equal(len(l), 300)
	for i, s := range l {
		o := outputLine{}
		is.NoErr(json.Unmarshal([]byte(s), &o))
		is.Equal(o.CustomID, fmt.Sprintf("c%d", i))
		is.Equal(o.Verdict, verdict.Ran)
	}
	is.Equal(strings.TrimSpace(failed.String()), l[7])
	is.Equal(refusal.Of(b.Results(t.Context(), "other", j.ID, &fromOtherHost)).Status, 404)
	c.unreachable = true // an ended job can be read from any replica
	fromOtherHost.Reset()
	is.NoErr(b.Results(t.Context(), "large", j.ID, &fromOtherHost))
	is.Equal(fromLeader.String(), fromOtherHost.String())
}

// TestCancelStopsRunningItems guards against a cancel that returns while items run, and against wrong verdicts of
// cancelled items.
func TestCancelStopsRunningItems(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, a, b := newHosts(t)
	begun := make(chan struct{}, 100)
	f := &fakeFleet{run: func(ctx context.Context, _ item.Item) (itemanswer.Answer, error) {
		begun <- struct{}{}
		<-ctx.Done()
		return itemanswer.Answer{}, refusal.NewMayHaveRun(504, "stopped", "")
	}}
	startExecutor(t, a, b, f)
	j := submit(t, b, "large", 50, "/invoice")
	<-begun
	j, err := b.CancelJob(t.Context(), "large", j.ID)
	is.NoErr(err)
	is.Equal(j.State, job.Cancelled)
	f.mu.Lock()
	n := len(f.runs)
	f.mu.Unlock()
	is.True(n <= 8)
	is.Equal(j.MayHaveRun, n)
	is.Equal(j.Cancelled, 50-n)
	var w bytes.Buffer
	is.NoErr(a.Results(t.Context(), "large", j.ID, &w))
	is.Equal(strings.Count(w.String(), `"may-have-run"`), n)
	is.Equal(strings.Count(w.String(), `"not-run"`), 50-n)
}

// TestShutdownFinishesNonRepeatableItems guards against a shutdown that interrupts items that may not be repeated,
// waits for those that may, or keeps leases.
func TestShutdownFinishesNonRepeatableItems(t *testing.T) {
	t.Parallel()
	for _, endpoint := range []string{"/invoice", "/v1/chat/completions"} {
		t.Run(endpoint, func(t *testing.T) {
			is := is.New(t)
			_, a, b := newHosts(t)
			begun := make(chan struct{}, 100)
			stop := startExecutor(t, a, b, &fakeFleet{run: func(ctx context.Context, _ item.Item) (itemanswer.Answer, error) {
				begun <- struct{}{}
				if err := b.Timer.Sleep(ctx, 500*time.Millisecond); err != nil {
					return itemanswer.Answer{}, refusal.NewMayHaveRun(504, "stopped", "")
				}
				return itemanswer.Answer{Status: 200}, nil
			}})
			j := submit(t, b, "large", 50, endpoint)
			for range 8 {
				<-begun
			}
			stop()
			j, err := b.GetJob(t.Context(), "large", j.ID)
			is.NoErr(err)
			is.Equal(j.Leased, 0)
			is.Equal(j.MayHaveRun, 0)
			is.Equal(j.Completed == 8, endpoint == "/invoice")
			is.Equal(len(begun), 0)
		})
	}
}
