package roster

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/link"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/news"
	"siskinrun/internal/data/report"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/membership"
)

const (
	// Period is the time between questions to peers in a small fleet.
	Period = 200 * time.Millisecond
	// RelayPeriod is the time in which a driver gathers counts for the hosts of its failure domain.
	RelayPeriod = 150 * time.Millisecond
	// Flush is the time in which urgent news is gathered before it goes out.
	Flush = 20 * time.Millisecond

	answerTimeout = 250 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// fanOut is the number of peers to which urgent news goes at once.
	fanOut = 8
	// relayFanOut is the number of peers to which a host passes on urgent news of others.
	relayFanOut = 4
	probers     = 3

	methodAsk   = "roster/ask"
	methodTell  = "roster/tell"
	methodProbe = "roster/probe"
)

// Roster tells which hosts and upstreams exist, and how busy the upstreams are.
type Roster struct {
	// Link carries news between hosts.
	Link peers
	// Name is the name of this host.
	Name string
	// FailureDomain is where this host runs.
	FailureDomain string
	// Boot distinguishes the runs of this host and grows with each; zero means the time of the start.
	Boot uint64
	// Open takes in hosts that the link did not name at the start.
	Open bool
	// Self is what this host tells of itself besides its name, domain and run.
	Self news.Host
	// Expiry is the age at which an announcement no longer counts; zero means the usual one.
	Expiry time.Duration
	// Driver, if set, returns the host that drives the batch work of an upstream, and so must hear of calls there.
	Driver func(upstream string) string
	// Seed starts the random choice of peers.
	Seed uint64
	// Timer tells the time.
	Timer *timer.Service
	// Log takes hosts that come and go.
	Log zerolog.Logger
	// Metrics counts messages and bytes.
	Metrics metrics.Registry

	once        sync.Once
	mu          sync.Mutex
	membership  *membership.Membership
	asking      map[string]bool
	subscribers []func([]upstream.Upstream)
	publish     sync.Mutex
	version     uint64
	samples     sync.Map
	view        atomic.Pointer[[]upstream.Upstream]
	group       *group.Group
	relays      relays
	// passed counts the periods since the last question.
	passed int
}

// sample is what is known of the load of one upstream.
type sample struct {
	report   report.Report
	measured time.Time
	reported bool
	peers    int
}

// peers calls other hosts.
type peers interface {
	Handle(method string, h link.Handler)
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
	Send(ctx context.Context, to, method string, body []byte) bool
	Names() []string
}

// Register registers the handlers of peers' news and must be called before the link runs.
func (r *Roster) Register() {
	r.once.Do(r.init)
	r.Link.Handle(methodAsk, r.answer)
	r.Link.Handle(methodTell, r.hear)
	r.Link.Handle(methodProbe, r.probe)
}

// Run exchanges news with peers until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	r.once.Do(r.init)
	g := group.NewGroup(ctx)
	r.mu.Lock()
	r.group = g
	r.mu.Unlock()
	periods := make(chan struct{}, 1)
	flushes := make(chan struct{}, 1)
	stopPeriods := r.Timer.Every(Period, func(time.Time) { signal(periods) })
	defer stopPeriods()
	stopFlushes := r.Timer.Every(Flush, func(time.Time) {
		if r.urgent() {
			signal(flushes)
		}
	})
	defer stopFlushes()
	due := make(chan struct{}, 1)
	stopRelays := r.Timer.Every(RelayPeriod, func(time.Time) {
		if r.relays.any() {
			signal(due)
		}
	})
	defer stopRelays()
	r.group.Go("relay", func(ctx context.Context) error {
		return repeat(ctx, due, r.relay)
	})
	r.group.Go("question", func(ctx context.Context) error {
		return repeat(ctx, periods, r.question)
	})
	r.group.Go("flush", func(ctx context.Context) error {
		return repeat(ctx, flushes, r.flush)
	})
	return r.group.Wait()
}

// urgent reports whether there is news to send at once.
func (r *Roster) urgent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.HasUrgent()
}

// Stop tells the other hosts that this one takes on nothing more.
func (r *Roster) Stop() {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membership.Stop()
}

// Meet takes in hosts that were not named at the start.
func (r *Roster) Meet(names []string) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membership.Meet(names)
}

// Announce takes the announcement of an upstream and reports whether it counts.
func (r *Roster) Announce(u upstream.Upstream) bool {
	r.once.Do(r.init)
	r.mu.Lock()
	ok := r.membership.Announce(r.Timer.Now(), u)
	r.mu.Unlock()
	r.refresh(false)
	return ok
}

// Leave ends an incarnation of an upstream and reports whether it was not known to have ended.
func (r *Roster) Leave(name string, incarnation uint64) bool {
	r.once.Do(r.init)
	r.mu.Lock()
	ok := r.membership.Leave(r.Timer.Now(), name, incarnation)
	r.mu.Unlock()
	r.refresh(false)
	return ok
}

// Report takes the load of an upstream.
func (r *Roster) Report(l report.Report) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membership.Report(r.Timer.Now(), l)
	r.sample()
}

// Upstreams returns the upstreams known now, leaving ones marked; the slice must not be changed.
func (r *Roster) Upstreams() []upstream.Upstream {
	v := r.view.Load()
	if v == nil {
		return nil
	}
	return *v
}

// Load returns the newest load known of an upstream and when it was measured.
func (r *Roster) Load(name string) (report.Report, time.Time, bool) {
	v, ok := r.samples.Load(name)
	if !ok {
		return report.Report{}, time.Time{}, false
	}
	s := v.(*sample)
	return s.report, s.measured, s.reported
}

// Busy tells peers how many requests this host has in flight at an upstream.
func (r *Roster) Busy(name string, n int) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membership.Busy(r.Timer.Now(), name, n)
}

// Peers returns how many requests other hosts are known to have in flight at an upstream.
func (r *Roster) Peers(name string) int {
	v, ok := r.samples.Load(name)
	if !ok {
		return 0
	}
	return v.(*sample).peers
}

// Alive reports whether a host answers, as far as known here.
func (r *Roster) Alive(host string) bool {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.Alive(host)
}

// Hosts returns the hosts of the fleet as known here.
func (r *Roster) Hosts() []news.Host {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.Hosts()
}

// Subscribe calls f with the upstreams whenever they change; f must not call the roster's changing methods.
func (r *Roster) Subscribe(f func([]upstream.Upstream)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

func (r *Roster) init() {
	if r.Boot == 0 {
		r.Boot = uint64(r.Timer.Now().UnixNano())
	}
	if r.Metrics == nil {
		r.Metrics = metrics.NewRegistry()
	}
	r.asking = map[string]bool{}
	r.membership = membership.NewMembership(r.Name, r.FailureDomain, r.Boot, r.Link.Names(), r.Seed)
	r.membership.Open = r.Open
	r.membership.Introduce(r.Self)
	r.membership.Expiry = r.Expiry
}

// sample publishes the loads and counts that have changed, for readers that take no lock.
func (r *Roster) sample() {
	for _, n := range r.membership.Touched() {
		s := &sample{peers: r.membership.Peers(n)}
		s.report, s.measured, s.reported = r.membership.Load(n)
		if !s.reported && s.peers == 0 {
			r.samples.Delete(n)
			continue
		}
		r.samples.Store(n, s)
	}
}

// refresh publishes the upstreams and tells subscribers if they changed, or looks for expired ones.
func (r *Roster) refresh(expired bool) {
	r.publish.Lock()
	defer r.publish.Unlock()
	r.mu.Lock()
	v := r.membership.Version()
	if v == r.version && !expired {
		r.mu.Unlock()
		return
	}
	r.version = v
	u := r.membership.Upstreams(r.Timer.Now())
	l := slices.Clone(r.subscribers)
	r.mu.Unlock()
	old := r.view.Swap(&u)
	if old != nil && slices.EqualFunc(*old, u, equal) || old == nil && len(u) == 0 {
		return
	}
	for _, f := range l {
		f(u)
	}
}

// equal reports whether two upstreams differ in nothing but their ages.
func equal(a, b upstream.Upstream) bool {
	return a.Name == b.Name && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Kind == b.Kind && a.Service == b.Service && a.Role == b.Role && a.Slots == b.Slots &&
		a.Fencing == b.Fencing && a.Incarnation == b.Incarnation && a.Leaving == b.Leaving &&
		slices.Equal(a.Models, b.Models)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func repeat(ctx context.Context, due <-chan struct{}, f func(context.Context)) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
			f(ctx)
		}
	}
}
