package streamregistry

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/host"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/fleet/rendezvous"
	"siskinrun/internal/fleet/streamindex"
	"siskinrun/internal/fleet/streammessage"
	"siskinrun/pkg/refusal"
)

const (
	// copies is the number of hosts that keep each record: one of the own failure domain and one of the next.
	copies = 2
	// smallFleet is the number of hosts up to which one host more of each kind keeps it.
	smallFleet = 24
	// controlCopies is the number of control hosts that keep each record as well, which outlive a loss of all other hosts.
	controlCopies = 1
	// askedHosts is the number of hosts that are asked for a record, since nobody knows the failure domain that began a
	// stream, and hosts come and go.
	askedHosts = 16
	// rankingLifetime is the time for which a ranking of the hosts is used.
	rankingLifetime = 250 * time.Millisecond
	// findTimeout bounds a search, which a caller waits for.
	findTimeout = 250 * time.Millisecond
	// contradictionTimeout is how long a search goes on after its first record, to hear of another one under the same ID.
	contradictionTimeout = 30 * time.Millisecond

	methodRecord = "streams/record"
	methodFind   = "streams/find"
)

// transport calls other hosts.
type transport interface {
	Handle(method string, h rpc.Handler)
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
	Send(ctx context.Context, to, method string, body []byte) bool
}

// Registry records what began each stream on a few hosts, and finds it from any host.
type Registry struct {
	// Link carries the messages between hosts.
	Link transport
	// Name is the name of this host.
	Name string
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// Hosts returns the live hosts that keep records.
	Hosts func() []host.Host
	// ControlHosts returns the control hosts that are not among Hosts, and may be nil.
	ControlHosts func() []host.Host
	// Group runs the messages.
	Group *group.Group
	// Timer is the clock.
	Timer *timer.Service
	// Metrics counts records and searches.
	Metrics metrics.Registry

	mu    sync.Mutex
	index *streamindex.Index
	// entry and control are the rankings of the hosts as of rankedAt.
	entry    *rendezvous.Ranking
	control  *controlRanking
	rankedAt time.Time
}

// Register registers the handlers of peers' messages and must be called before the link runs.
func (r *Registry) Register() {
	r.index = streamindex.NewIndex()
	r.Link.Handle(methodRecord, r.handleRecord)
	r.Link.Handle(methodFind, r.handleFind)
}

// Record tells the hosts that keep the record of a call what began its stream, without waiting for them.
func (r *Registry) Record(call string, s streamstart.Start) {
	if !s.Known() {
		return
	}
	r.add(call, s)
	b, err := proto.Marshal(&streammessage.Record{Call: call, Service: s.Service, Version: s.Version})
	if err != nil {
		return // cannot happen: the strings come from valid announcements and headers
	}
	r.count("recorded")
	for _, h := range r.keepers(call) {
		if h == r.Name {
			continue
		}
		r.Group.Go("record-stream", func(ctx context.Context) error {
			r.Link.Send(ctx, h, methodRecord, b)
			return nil
		})
	}
}

// Find returns what began the stream of a call, as far as any reachable host knows.
func (r *Registry) Find(ctx context.Context, call string) (streamstart.Start, bool) {
	s, ok := r.known(call)
	if !ok && call != "" {
		s, ok = r.ask(ctx, call)
	}
	if !ok {
		r.count("unknown")
		return s, false
	}
	r.count("found")
	return s, true
}

// ask asks other hosts at once and returns the first record.
func (r *Registry) ask(ctx context.Context, call string) (streamstart.Start, bool) {
	b, err := proto.Marshal(&streammessage.Query{Call: call})
	if err != nil {
		return streamstart.Start{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	entry, control := r.rankings()
	l := append(entry.First(call, askedHosts), control.candidates(call)...)
	found := make(chan streamstart.Start, len(l))
	for _, h := range l {
		r.Group.Go("find-stream", func(context.Context) error {
			found <- r.askHost(ctx, h, b)
			return nil
		})
	}
	return r.agreed(ctx, found, len(l))
}

// agreed returns the record of up to n answers, nothing if two of them contradict each other.
func (r *Registry) agreed(ctx context.Context, found <-chan streamstart.Start, n int) (streamstart.Start, bool) {
	var first streamstart.Start
	over := make(chan struct{})
	for range n {
		select {
		case s := <-found:
			if !s.Known() || s == first {
				continue
			}
			if first.Known() {
				return streamstart.Start{}, false
			}
			first = s
			defer r.Timer.After(contradictionTimeout, func(time.Time) { close(over) })()
		case <-over:
			return first, true
		case <-ctx.Done():
			return first, first.Known()
		}
	}
	return first, first.Known()
}

// askHost returns what one host knows, nothing if it does not answer.
func (r *Registry) askHost(ctx context.Context, h string, query []byte) streamstart.Start {
	if h == r.Name {
		return streamstart.Start{}
	}
	b, err := r.Link.Call(ctx, h, methodFind, query)
	a := &streammessage.Record{}
	if err != nil || proto.Unmarshal(b, a) != nil {
		return streamstart.Start{}
	}
	return streamstart.Start{Service: a.Service, Version: a.Version}
}

func (r *Registry) handleRecord(_ context.Context, _ string, body []byte) ([]byte, error) {
	m := &streammessage.Record{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-record", err.Error())
	}
	r.add(m.Call, streamstart.Start{Service: m.Service, Version: m.Version})
	return nil, nil
}

func (r *Registry) handleFind(_ context.Context, _ string, body []byte) ([]byte, error) {
	q := &streammessage.Query{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-query", err.Error())
	}
	s, _ := r.known(q.Call)
	return proto.Marshal(&streammessage.Record{Service: s.Service, Version: s.Version})
}

// rankings returns the rankings of the hosts and of the control hosts, which are made anew from time to time.
func (r *Registry) rankings() (entry *rendezvous.Ranking, control *controlRanking) {
	n := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entry == nil || n.Sub(r.rankedAt) >= rankingLifetime {
		var l []host.Host
		if r.ControlHosts != nil {
			l = r.ControlHosts()
		}
		hosts := r.Hosts()
		r.entry = rendezvous.NewRanking(hosts, r.FailureDomain)
		r.control = newControlRanking(l, hosts)
		r.rankedAt = n
	}
	return r.entry, r.control
}

// keepers returns the hosts that keep the record of a call.
func (r *Registry) keepers(call string) []string {
	entry, control := r.rankings()
	n, c := copies, controlCopies
	if entry.Hosts() <= smallFleet {
		n, c = n+1, c+1
	}
	return append(entry.First(call, n), control.keepers(r.FailureDomain, call, c)...)
}

func (r *Registry) add(call string, s streamstart.Start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index.Add(r.Timer.Now(), call, s)
}

func (r *Registry) known(call string) (streamstart.Start, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.index.Find(call)
	return s, ok && s.Known()
}

func (r *Registry) count(name string) {
	metrics.GetOrRegisterCounter(name, r.Metrics).Inc(1)
}
