package streamregistry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/host"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/fleet/streamregistry"
)

// messageOverheadBytes is what the link adds to a message: frame, method name and the headers of its session.
const messageOverheadBytes = 60

// network connects hosts in memory.
type network struct {
	mu    sync.Mutex
	hosts map[string]*node
	group *group.Group
}

// node is one host of a network.
type node struct {
	network  *network
	name     string
	domain   string
	registry *streamregistry.Registry
	handlers map[string]rpc.Handler
	// control hosts take no calls.
	control bool
	// silent hosts answer nothing.
	silent   bool
	received int
	sent     int
	// peers are the hosts to which this one sent.
	peers map[string]bool
	// callers are the hosts that sent to this one.
	callers map[string]bool
}

func newNetwork(t testing.TB, n, domains int) *network {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &network{hosts: map[string]*node{}, group: group.NewGroup(ctx)}
	c := timer.NewService()
	w.group.Go("timer", c.Run)
	t.Cleanup(func() {
		cancel()
		_ = w.group.Wait()
	})
	var l []host.Host
	for i := range n {
		h := host.Host{Name: fmt.Sprint("h", i), FailureDomain: fmt.Sprint("d", i%domains)}
		l = append(l, h)
		w.hosts[h.Name] = &node{
			network: w, name: h.Name, domain: h.FailureDomain, peers: map[string]bool{}, callers: map[string]bool{},
		}
	}
	var control []host.Host
	for i := range controlHosts {
		h := host.Host{Name: fmt.Sprint("c", i), FailureDomain: fmt.Sprint("d", i%domains)}
		control = append(control, h)
		w.hosts[h.Name] = &node{
			network: w, name: h.Name, domain: h.FailureDomain, peers: map[string]bool{}, callers: map[string]bool{}, control: true,
		}
	}
	for _, x := range w.hosts {
		x.registry = &streamregistry.Registry{
			Link: x, Name: x.name, FailureDomain: x.domain, Group: w.group, Timer: c, Metrics: metrics.NewRegistry(),
			Hosts:        func() []host.Host { return l },
			ControlHosts: func() []host.Host { return control },
		}
		x.start()
	}
	return w
}

// controlHosts is the number of control hosts of a network, the most that the target sets aside.
const controlHosts = 8

// each calls f for the hosts that take calls, or for the control hosts.
func (w *network) each(control bool, f func(x *node)) {
	for _, x := range w.hosts {
		if x.control == control {
			f(x)
		}
	}
}

// start gives the host a new, empty run.
func (x *node) start() {
	x.handlers = map[string]rpc.Handler{}
	x.registry.Register()
}

func (x *node) Handle(method string, h rpc.Handler) {
	x.handlers[method] = h
}

func (x *node) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	w := x.network
	w.mu.Lock()
	y := w.hosts[to]
	h, silent := y.handlers[method], y.silent
	x.peers[to], y.callers[x.name] = true, true
	x.sent += len(body) + messageOverheadBytes
	y.received += len(body) + messageOverheadBytes
	w.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if h == nil {
		return nil, errors.New("unknown method")
	}
	return h(ctx, x.name, body)
}

func (x *node) Send(ctx context.Context, to, method string, body []byte) bool {
	w := x.network
	w.mu.Lock()
	silent := w.hosts[to].silent
	w.mu.Unlock()
	if silent {
		return false
	}
	_, err := x.Call(ctx, to, method, body)
	return err == nil
}

// known returns the share of n streams, begun at h0, that a host finds.
func (w *network) known(t *testing.T, asked string, n int) float64 {
	t.Helper()
	found := 0
	for i := range n {
		s, ok := w.hosts[asked].registry.Find(t.Context(), fmt.Sprint("call-", i))
		if ok {
			is.New(t).Equal(s, streamstart.Start{Service: "lm", Version: "v2"})
			found++
		}
	}
	return float64(found) / float64(n)
}

func TestStreamsAreFoundFromAnyHost(t *testing.T) {
	const streams = 60
	for _, c := range []struct {
		name  string
		fault func(w *network)
		least float64
	}{
		{"no fault", func(*network) {}, 1},
		{"the first host is gone", func(w *network) { w.hosts["h0"].silent = true }, 1},
		{"the first host's failure domain is cut off", func(w *network) {
			for _, h := range w.hosts {
				h.silent = h.silent || h.domain == "d0"
			}
		}, 1},
		{"three hosts are killed", func(w *network) {
			for _, n := range []string{"h0", "h3", "h1"} {
				w.hosts[n].start()
			}
		}, 1},
		{"two of three failure domains are killed", func(w *network) {
			for _, n := range []string{"h0", "h1", "h3", "h4", "h6", "h7"} {
				w.hosts[n].start()
			}
		}, 1},
		{"all hosts that take calls are killed", func(w *network) { w.each(false, (*node).start) }, 1},
		{"they are killed, and a control host", func(w *network) {
			w.each(false, (*node).start)
			w.hosts["c0"].start()
		}, 1},
		{"they are killed, and half of the control hosts are silent", func(w *network) {
			w.each(false, (*node).start)
			for _, n := range []string{"c0", "c2", "c3"} {
				w.hosts[n].silent = true
			}
		}, 0.5},
		{"all hosts are killed", func(w *network) {
			w.each(false, (*node).start)
			w.each(true, (*node).start)
		}, 0},
		{"all hosts but one have the former build", func(w *network) {
			for n, h := range w.hosts {
				if n != "h5" {
					clear(h.handlers)
				}
			}
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(t, 9, 3)
			for i := range streams {
				w.hosts["h0"].registry.Record(fmt.Sprint("call-", i), streamstart.Start{Service: "lm", Version: "v2"})
			}
			is.NoErr(w.hosts["h0"].registry.Timer.Sleep(t.Context(), 50*time.Millisecond))
			c.fault(w)
			is.True(w.known(t, "h5", streams) >= c.least)
		})
	}
}

// TestContradictingRecordsAreUnknown guards against a record under an ID that a client used again, which names the version of
// the other stream.
func TestContradictingRecordsAreUnknown(t *testing.T) {
	for _, c := range []struct {
		name  string
		again string
		fault func(w *network)
	}{
		{"at the same host", "h0", func(*network) {}},
		{"at another host", "h4", func(*network) {}},
		{"at another host, and all hosts that take calls are killed", "h4", func(w *network) { w.each(false, (*node).start) }},
		{"while the first host is silent", "h4", func(w *network) { w.hosts["h0"].silent = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(t, 9, 3)
			sleep := func() { is.NoErr(w.hosts["h0"].registry.Timer.Sleep(t.Context(), 50*time.Millisecond)) }
			w.hosts["h0"].registry.Record("call", streamstart.Start{Service: "lm", Version: "v1"})
			sleep()
			w.hosts[c.again].registry.Record("call", streamstart.Start{Service: "lm", Version: "v2"})
			sleep()
			c.fault(w)
			_, ok := w.hosts["h5"].registry.Find(t.Context(), "call")
			is.True(!ok)
		})
	}
}

func TestUnknownStreamIsToldSoon(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 9, 3)
	for _, h := range w.hosts {
		h.silent = true
	}
	s := time.Now()
	_, ok := w.hosts["h1"].registry.Find(t.Context(), "call")
	is.True(!ok)
	is.True(time.Since(s) < time.Second)
	_, ok = w.hosts["h1"].registry.Find(t.Context(), "")
	is.True(!ok)
}

func TestUnknownVersionIsNotRecorded(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 3, 3)
	w.hosts["h0"].registry.Record("call", streamstart.Start{Service: "lm"})
	_, ok := w.hosts["h0"].registry.Find(t.Context(), "call")
	is.True(!ok)
}

// TestRecordsStayWithinTheBudgetOfAHost plays a second of the target's streams, 6,500 over 320 hosts, and the same for
// each host of smaller fleets.
func TestRecordsStayWithinTheBudgetOfAHost(t *testing.T) {
	const (
		streamsPerHost  = 21
		maxBytesPerHost = 19_000
		maxSessions     = 64
	)
	for _, n := range []int{9, 80, 320} {
		t.Run(fmt.Sprint(n, " hosts"), func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(t, n, min(n/3, 15))
			for i := range n {
				for j := range streamsPerHost {
					w.hosts[fmt.Sprint("h", i)].registry.Record(fmt.Sprintf("%08x%08x", i, j), streamstart.Start{Service: "huvo11a", Version: "v1.12"})
				}
			}
			is.NoErr(w.hosts["h0"].registry.Timer.Sleep(t.Context(), 300*time.Millisecond))
			w.mu.Lock()
			defer w.mu.Unlock()
			total, most, sessions := 0, 0, 0
			control := 0
			for _, h := range w.hosts {
				total += h.sent
				sessions = max(sessions, len(h.peers)+len(h.callers))
				if h.control {
					control = max(control, h.received)
					continue
				}
				most = max(most, h.sent+h.received)
			}
			t.Logf("%d hosts: %d bytes sent a second and host, %d sent and received by the busiest, %d received by the busiest control host, %d sessions at most",
				n, total/n, most, control, sessions)
			is.True(most <= maxBytesPerHost)
			is.True(sessions <= maxSessions)
		})
	}
}

// BenchmarkRecord is what a record adds to the first event of a stream: the messages themselves wait for nobody.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{9, 80, 320} {
		b.Run(fmt.Sprint(n, " hosts"), func(b *testing.B) {
			w := newNetwork(b, n, min(n/3, 15))
			r := w.hosts["h0"].registry
			for b.Loop() {
				r.Record("9c41d07be2a35f68", streamstart.Start{Service: "huvo11a", Version: "v1.12"})
			}
		})
	}
}
