package connector

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/host"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/signal"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/reachability"
	"siskinrun/pkg/refusal"
)

const (
	// doubtShare is the share of its timeout after which a connection is tried through a gateway beside.
	doubtShare = 0.4
	// suspectShare is the same for a path that may be lost like others.
	suspectShare = 0.04
	// checkInterval is how often lost paths are tried, and checkSpacing the least time between two checks.
	checkInterval = 300 * time.Millisecond
	checkSpacing  = 20 * time.Millisecond
	// throughTimeouts is how many times the timeout of a connection one through a gateway may take in all.
	throughTimeouts = 2
	// maxGateways is the number of gateways through which one connection is tried.
	maxGateways = 3
)

// link calls other hosts.
type link interface {
	Handle(method string, h rpc.Handler)
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
	Send(ctx context.Context, to, method string, body []byte) bool
}

// tunnels opens connections through other hosts.
type tunnels interface {
	Open(ctx context.Context, gateway string, u upstream.Upstream) (net.Conn, error)
	Full() bool
}

// picker knows the upstreams to which no connection comes about.
type picker interface {
	Unreachable() []upstream.Upstream
	MarkReachable(name string)
}

// connections are the open connections to upstreams.
type connections interface {
	Interrupt(address string)
}

// Connector opens the connections of this host to upstreams.
type Connector struct {
	// Table holds the paths to upstreams.
	Table *reachability.Table
	// Link carries the questions to other hosts.
	Link link
	// Tunnels opens connections through gateways.
	Tunnels tunnels
	// Busy returns the number of calls and tunnels that this host has in flight.
	Busy func() int
	// Picker is told which upstreams are reached again.
	Picker picker
	// Connections are interrupted where they are silent and their path is lost.
	Connections connections
	// Hosts returns the hosts that may serve as gateways.
	Hosts func() []host.Host
	// Upstream returns an upstream that takes calls, by its name.
	Upstream func(name string) (upstream.Upstream, bool)
	// Dialer, if set, replaces the dialer of the standard library.
	Dialer func(ctx context.Context, address string) (net.Conn, error)
	// ConnectTimeout bounds the wait for one connection.
	ConnectTimeout time.Duration
	// Group runs connections beside each other.
	Group *group.Group
	// Timer is the clock.
	Timer *timer.Service
	// Log receives a line when the paths to a service are lost and regained.
	Log zerolog.Logger
	// Metrics counts connections by their path.
	Metrics metrics.Registry

	// wake makes the next check begin at once.
	wake signal.Signal
	mu   sync.Mutex
	// waiting are the connections that wait for the next check.
	waiting []question
	// referred are hosts that others use as gateways.
	referred []string
	// askers holds when each host last asked this one.
	askers map[string]time.Time
	// due says that the lost paths are to be tried in the next check.
	due atomic.Bool
	// probing are the upstreams to which a connection is tried without a call.
	probing map[string]bool
	// looks are the searches for the side on which connections broke, unsure those that are about to ask others.
	looks  map[lookKey]*look
	unsure []*look
}

// Register registers the handler of peers' questions and must be called before the link runs.
func (c *Connector) Register() {
	c.wake = signal.NewSignal()
	c.probing = map[string]bool{}
	c.askers = map[string]time.Time{}
	c.looks = map[lookKey]*look{}
	c.Link.Handle(methodAsk, c.handleAsk)
	c.Link.Handle(methodRegained, c.handleRegained)
	c.Link.Handle(methodAgain, c.handleAgain)
}

// Direct reports whether this host reaches an upstream by itself, as far as it knows.
func (c *Connector) Direct(upstream string) bool {
	return upstream == "" || c.Table.Direct(upstream)
}

// Sound reports whether nothing speaks against the open connections to an upstream.
func (c *Connector) Sound(upstream string) bool {
	return c.Direct(upstream) && !c.Table.Suspect(upstream, c.Timer.Now())
}

// Connect connects to an upstream and returns the gateway through which, empty for none. Nothing has been sent if it fails.
func (c *Connector) Connect(ctx context.Context, u upstream.Upstream) (conn net.Conn, gateway string, err error) {
	if c.Direct(u.Name) {
		return c.connectAnyway(ctx, u)
	}
	return c.connectLost(ctx, u)
}

// connectLost connects through a gateway, or directly if no gateway is known and the path has come back meanwhile.
func (c *Connector) connectLost(ctx context.Context, u upstream.Upstream) (net.Conn, string, error) {
	if !c.Direct(u.Name) {
		k, g, err := c.connectThrough(ctx, u)
		if err == nil || ctx.Err() != nil || !c.Direct(u.Name) {
			return k, g, err
		}
	}
	k, err := c.Dial(ctx, u)
	return k, "", err
}

// connectAnyway connects directly, and through a gateway as well if that fails or takes long; the first connection holds.
func (c *Connector) connectAnyway(ctx context.Context, u upstream.Upstream) (net.Conn, string, error) {
	if u.Name == "" {
		k, err := c.Dial(ctx, u)
		return k, "", err
	}
	direct, stop := context.WithCancel(ctx)
	defer stop()
	o := &other{connector: c, upstream: u, came: stop, ended: make(chan struct{})}
	cancel := c.Timer.After(c.patience(u), func(time.Time) { o.start(ctx) })
	k, err := c.Dial(direct, u)
	cancel()
	if err == nil {
		o.abandon()
		return k, "", nil
	}
	if ctx.Err() != nil {
		o.abandon()
		return nil, "", err
	}
	o.start(ctx)
	k, g, err := o.wait(ctx)
	if err != nil && ctx.Err() == nil {
		return c.connectLost(ctx, u) // a gateway may have become known, or the path come back, since
	}
	return k, g, err
}

// patience returns how long a direct connection may take until one through a gateway is tried as well.
func (c *Connector) patience(u upstream.Upstream) time.Duration {
	share := doubtShare
	if c.Table.Suspect(u.Name, c.Timer.Now()) {
		share = suspectShare
	}
	return time.Duration(share * float64(c.ConnectTimeout))
}

// Dial connects to an upstream by this host itself, and notes whether that worked.
func (c *Connector) Dial(ctx context.Context, u upstream.Upstream) (net.Conn, error) {
	began := c.Timer.Now()
	k, err := c.dial(ctx, u.Address)
	switch {
	case err == nil:
		c.worked(u.Name)
	case ctx.Err() == nil:
		c.failed(u, began, err)
	}
	return k, err
}

// failed notes that a connection that began at a time failed.
func (c *Connector) failed(u upstream.Upstream, began time.Time, err error) {
	n := c.Timer.Now()
	lost, certain := false, false
	if late(err) {
		lost, certain = c.Table.TimedOut(u.Name, began, n, c.ConnectTimeout)
	} else {
		lost = c.Table.Failed(u.Name, n)
	}
	if lost {
		c.Log.Warn().Str("upstream", u.Name).Str("service", u.Service).Msg("upstream out of reach")
	}
	if lost || certain {
		c.wake.Set()
	}
}

// DialForPeer connects to an upstream for another host, which tells nothing of the calls of this one.
func (c *Connector) DialForPeer(ctx context.Context, u upstream.Upstream) (net.Conn, error) {
	if !c.Table.Direct(u.Name) {
		return nil, noPath
	}
	k, err := c.dial(ctx, u.Address)
	if err != nil {
		c.Table.Refuted(u.Name, c.Timer.Now())
		return nil, err
	}
	c.worked(u.Name)
	return k, nil
}

func (c *Connector) worked(name string) {
	n := c.Timer.Now()
	linked := c.Table.Linked(n)
	if !c.Table.Worked(name, n) {
		return
	}
	c.Log.Info().Str("upstream", name).Msg("upstream reached again")
	c.wake.Set() // the picker is told
	if !linked {
		c.tellAskers()
	}
}

func (c *Connector) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.ConnectTimeout)
	defer cancel()
	if c.Dialer != nil {
		return c.Dialer(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// connectThrough connects through the best gateways that are known, in turn. If none is, other hosts are asked first.
func (c *Connector) connectThrough(ctx context.Context, u upstream.Upstream) (net.Conn, string, error) {
	ctx, cancel := context.WithTimeout(ctx, throughTimeouts*c.ConnectTimeout)
	defer cancel()
	l := c.Table.Gateways(u.Name, c.Timer.Now())
	if len(l) == 0 && c.Table.Open(u.Name) {
		c.await(ctx, u.Name)
		l = c.Table.Gateways(u.Name, c.Timer.Now())
	}
	for _, h := range l[:min(len(l), maxGateways)] {
		k, err := c.open(ctx, h, u)
		if err == nil {
			c.Table.Opened(h)
			c.count("through-gateway")
			return k, h, nil
		}
	}
	c.count("no-gateway")
	return nil, "", noPath
}

// noPath refuses a connection to an upstream that neither this host nor a gateway reaches.
var noPath = refusal.NewNotRun(503, "no-path", "neither this host nor one that it asked reaches the upstream")

// open opens a tunnel and notes why it failed if it did.
func (c *Connector) open(ctx context.Context, gateway string, u upstream.Upstream) (net.Conn, error) {
	opening, cancel := context.WithTimeout(ctx, c.ConnectTimeout)
	defer cancel()
	k, err := c.Tunnels.Open(opening, gateway, u)
	if err == nil {
		return k, nil
	}
	switch code := refusal.Of(err).Code; {
	case ctx.Err() != nil: // the connection is no longer wanted
	case code == "upstream-unreachable", code == "unknown-upstream":
		c.Table.Unreached(gateway, u.Name)
		c.wake.Set()
	default:
		c.Table.Avoid(gateway, c.Timer.Now())
	}
	return nil, err
}

func (c *Connector) count(name string) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1)
}
