package batch

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/host"
	"siskinrun/internal/base/leadership"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/statemachine"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/file"
	"siskinrun/internal/data/item"
	"siskinrun/internal/data/itemanswer"
	"siskinrun/internal/data/job"
	"siskinrun/internal/data/submission"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/jobs/executor"
	"siskinrun/internal/jobs/filestore"
	"siskinrun/internal/jobs/ledger"
	"siskinrun/internal/state/control"
	"siskinrun/internal/state/proposal"
)

var hostNames = []string{"a", "b", "c"}

// leadingClient is a client that also reports the leadership of its host.
type leadingClient struct {
	*proposal.Client
	control *control.Service
}

func (t leadingClient) Lead(g uint32) leadership.Status { return t.control.Lead(g) }

// instantFleet is a fleet in which each host has its own upstream, which answers at once.
type instantFleet struct {
	mu      sync.Mutex
	removed string
	runs    map[int]int
}

func (f *instantFleet) Hosts() []host.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var h []host.Host
	for _, n := range hostNames {
		if n != f.removed {
			h = append(h, host.Host{Name: n, FailureDomain: n})
		}
	}
	return h
}

func (f *instantFleet) remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removed = name
}

func (*instantFleet) Upstreams() []upstream.Upstream {
	var u []upstream.Upstream
	for _, n := range hostNames {
		u = append(u, upstream.Upstream{Name: "upstream-" + n, FailureDomain: n})
	}
	return u
}

func (*instantFleet) RouteOf(i item.Item) string { return i.Target }

func (*instantFleet) Revision() (uint64, time.Time) { return 1, time.Time{} }

func (*instantFleet) Targets(upstream.Upstream) []string { return []string{"m", "/invoice"} }

func (*instantFleet) Window(string) int { return 64 }
func (*instantFleet) Keep(string) int   { return 64 }

func (f *instantFleet) Run(_ context.Context, _ string, i item.Item) (itemanswer.Answer, error) {
	f.mu.Lock()
	f.runs[i.Index]++
	f.mu.Unlock()
	return itemanswer.Answer{Status: 200, Body: fmt.Appendf(nil, `{"n":%d}`, i.Index)}, nil
}

// cluster is three control hosts with logs on disk, connected over loopback.
type cluster struct {
	fleet     *instantFleet
	services  map[string]*Service
	stops     map[string]func()
	folder    string
	addresses map[string]string
	controls  map[string]*control.Service
}

func newCluster(t testing.TB) *cluster {
	is := is.New(t)
	r := &cluster{
		fleet:     &instantFleet{runs: map[int]int{}},
		services:  map[string]*Service{},
		stops:     map[string]func(){},
		folder:    t.TempDir(),
		addresses: map[string]string{},
		controls:  map[string]*control.Service{},
	}
	listeners := map[string]net.Listener{}
	for _, n := range hostNames {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners[n] = l
		r.addresses[n] = l.Addr().String()
	}
	for i, n := range hostNames {
		r.start(t, n, listeners[n], uint64(i))
	}
	t.Cleanup(func() {
		for _, stop := range r.stops {
			stop()
		}
	})
	return r
}

func (r *cluster) start(t testing.TB, name string, x net.Listener, seed uint64) {
	is := is.New(t)
	s := timer.NewService()
	l := &rpc.Endpoint{
		Name: name, Listener: x, Peers: r.addresses, Secret: []byte("s"), Timer: s, Log: zerolog.Nop(),
	}
	m := map[uint32]statemachine.Machine{}
	ledgers := map[uint32]*ledger.Ledger{}
	for g := uint32(1); g <= fakeGroups; g++ {
		f, err := filestore.NewStore(filepath.Join(r.folder, name, fmt.Sprint(g)))
		is.NoErr(err)
		ledgers[g] = ledger.NewLedger(f)
		m[g] = ledgers[g]
	}
	c := &control.Service{
		Name: name, Folder: filepath.Join(r.folder, name, "log"), Hosts: hostNames, Machines: m, Link: l, Timer: s,
		Log: zerolog.Nop(), Metrics: metrics.NewRegistry(), Seed: seed,
	}
	c.Register()
	r.controls[name] = c
	p := &proposal.Client{Link: l, Control: c, Hosts: hostNames, Timer: s}
	b := &Service{
		Groups: fakeGroups, Replicas: hostNames, Ledgers: ledgers, Proposer: leadingClient{p, c}, Peers: l,
		Directory: fakeDirectory{}, Timer: s, Random: rand.New(rand.NewPCG(seed, 9)), Log: zerolog.Nop(),
	}
	b.Register()
	d := &executor.Executor{
		Host: name, Incarnation: fmt.Sprint(seed), Groups: fakeGroups, Ledgers: b,
		Fleet: r.fleet, Routes: r.fleet, Windows: r.fleet, Runner: r.fleet,
		Timer: s, Log: zerolog.Nop(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := group.NewGroup(ctx)
	h.Go("timer", s.Run)
	h.Go("link", l.Run)
	h.Go("control", c.Run)
	h.Go("batch", b.Run)
	h.Go("executor", d.Run)
	r.services[name] = b
	r.stops[name] = sync.OnceFunc(func() {
		cancel()
		_ = h.Wait()
	})
}

// upload waits until the upstreams are claimed and stores a file of n items.
func (r *cluster) upload(t testing.TB, n int, endpoint string) file.File {
	is := is.New(t)
	b := r.services["a"]
	is.NoErr(b.Timer.Sleep(t.Context(), MaxClaimTTL+time.Second))
	f, err := b.UploadFile(t.Context(), "large", "f", file.Purpose, strings.NewReader(input(n, endpoint)))
	is.NoErr(err)
	return f
}

func (r *cluster) submit(t testing.TB, f file.File, endpoint string) job.Job {
	j, err := r.services["b"].CreateJob(t.Context(), "large", submission.Submission{File: f.ID, Endpoint: endpoint})
	is.New(t).NoErr(err)
	return j
}

// await waits until a job meets a condition and returns it.
func (r *cluster) await(t testing.TB, j job.Job, met func(job.Job) bool) job.Job {
	is := is.New(t)
	for !met(j) {
		b := r.services["b"]
		is.NoErr(b.Timer.Sleep(t.Context(), 10*time.Millisecond))
		var err error
		j, err = b.GetJob(t.Context(), "large", j.ID)
		is.NoErr(err)
	}
	return j
}

// results returns the results of a job as a host serves them.
func (r *cluster) results(t testing.TB, name string, j job.Job) string {
	var w bytes.Buffer
	is.New(t).NoErr(r.services[name].Results(t.Context(), "large", j.ID, &w))
	return w.String()
}

// TestReplicatedJob checks that all hosts serve the same results of a job that ran on a cluster.
func TestReplicatedJob(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newCluster(t)
	const endpoint = "/v1/chat/completions"
	j := r.await(t, r.submit(t, r.upload(t, 1000, endpoint), endpoint), job.Job.Ended)
	is.Equal(j.Completed, 1000)
	first := r.results(t, "a", j)
	is.Equal(strings.Count(first, "\n"), 1000)
	is.Equal(r.results(t, "b", j), first)
	is.Equal(r.results(t, "c", j), first)
}

// TestHostFailsAndRejoins guards against items that are lost or sent twice when a host stops while it runs items
// that may not be repeated, and against stale results when it rejoins.
func TestHostFailsAndRejoins(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newCluster(t)
	j := r.submit(t, r.upload(t, 5000, "/invoice"), "/invoice")
	r.await(t, j, func(j job.Job) bool { return j.Completed > 500 })
	r.stops["a"]()
	r.fleet.remove("a")
	j = r.await(t, j, job.Job.Ended)
	is.Equal(j.Completed+j.MayHaveRun, 5000)
	t.Logf("%d items may have run", j.MayHaveRun)
	is.True(j.MayHaveRun <= 64) // the window of an upstream
	l, err := net.Listen("tcp", r.addresses["a"])
	is.NoErr(err)
	r.start(t, "a", l, 10)
	r.fleet.remove("")
	first := r.results(t, "b", j)
	is.Equal(strings.Count(first, "\n"), 5000)
	is.Equal(r.results(t, "c", j), first)
	is.Equal(r.results(t, "a", j), first)
	for i, n := range r.fleet.runs {
		if n != 1 {
			t.Errorf("item %d was sent %d times", i, n)
		}
	}
}

// syncs returns the number of syncs of all logs of all hosts.
func (r *cluster) syncs() uint64 {
	n := uint64(0)
	for _, c := range r.controls {
		for _, g := range c.Groups() {
			n += c.Status(g).Syncs
		}
	}
	return n
}

// BenchmarkDurable leases, completes and records items on three hosts with synced logs.
func BenchmarkDurable(b *testing.B) {
	is := is.New(b)
	r := newCluster(b)
	const endpoint = "/v1/chat/completions"
	f := r.upload(b, b.N, endpoint)
	before := r.syncs()
	b.ResetTimer()
	j := r.await(b, r.submit(b, f, endpoint), job.Job.Ended)
	b.StopTimer()
	b.ReportMetric(float64(r.syncs()-before)/float64(len(r.controls))/float64(b.N), "syncs/item")
	is.Equal(j.Completed, b.N)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "items/s")
}
