package server

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/clientguard"
	"siskinrun/internal/base/group"
	"siskinrun/internal/base/logwriter"
	"siskinrun/internal/base/steadylistener"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/wire/dialect"
)

const (
	// transferTimeout bounds the transfer of leadership to other hosts at the end.
	transferTimeout = 5 * time.Second
	// returnTimeout bounds the return of unspent rate units at the end.
	returnTimeout = time.Second
)

// Server runs one host of a fleet.
type Server struct {
	// Name is the host's name in the settings.
	Name string
	// Settings are the settings of the fleet, with the secrets read.
	Settings *settings.Settings
	// DataFolder, if set, replaces the data folder of the settings.
	DataFolder string
	// Listeners are listeners that are open already, by address.
	Listeners map[string]net.Listener
	// Dial, if set, replaces the dialer between hosts.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialUpstream, if set, replaces the dialer of connections to upstreams.
	DialUpstream func(ctx context.Context, address string) (net.Conn, error)
	// LogWriter, if set, is the writer behind Log; the host runs it until its last log line.
	LogWriter *logwriter.Writer
	// Dialect, if set, replaces the product's own wire formats.
	Dialect *dialect.Dialect
	// Reload, if set, reads the settings from their file again.
	Reload func() (*settings.Settings, error)
	// Hangups receives the signals after which the settings are read again at once.
	Hangups <-chan os.Signal
	// Log takes JSON lines.
	Log zerolog.Logger

	timer   *timer.Service
	metrics metrics.Registry
	// clients is the account of what the host's clients hold.
	clients *clientguard.Guard
}

// Run serves until ctx ends and then lets the calls in flight finish before it stops.
func (s *Server) Run(ctx context.Context) error {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.timer = timer.NewService()
	s.metrics = metrics.NewRegistry()
	s.limitMemory()
	defer s.startTimer(base)()
	defer s.startLog(base)()
	g := group.NewGroup(base)
	p, err := s.build(g)
	if err != nil {
		return err
	}
	p.start(g)
	g.Go("callers", func(base context.Context) error {
		defer cancel()
		return p.serve(ctx, base)
	})
	s.Log.Info().Uint64("run", p.seed).Msg("host started")
	err = g.Wait()
	s.Log.Info().Err(err).Msg("host stopped")
	return errors.Wrapf(err, "host %s", s.Name)
}

// startTimer starts the timer and returns the function that stops it, to be called when nothing waits for a time any more:
// calls are drained also after a component has failed.
func (s *Server) startTimer(ctx context.Context) (end func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	g := group.NewGroup(ctx)
	g.Go("timer", s.timer.Run)
	return func() {
		cancel()
		_ = g.Wait() // the timer returns the error of its context only
	}
}

// startLog starts the log writer and returns the function that stops it, to be called after the last log line.
func (s *Server) startLog(ctx context.Context) (end func()) {
	if s.LogWriter == nil {
		return func() {}
	}
	s.LogWriter.Timer = s.timer
	ctx, cancel := context.WithCancel(ctx)
	g := group.NewGroup(ctx)
	g.Go("log", s.LogWriter.Run)
	return func() {
		cancel()
		_ = g.Wait() // the writer returns no error
	}
}

// listen returns the listener of an address that is open already, or opens one.
func (s *Server) listen(address string) (net.Listener, error) {
	if l, ok := s.Listeners[address]; ok {
		return l, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &steadylistener.Listener{Listener: l, Timer: s.timer, Log: s.Log}, nil
}

// start runs the components that must outlive the last call.
func (p *components) start(g *group.Group) {
	g.Go("link", p.link.Run)
	if p.control != nil {
		g.Go("control", p.control.Run)
	}
	if p.control != nil && p.server.Dialect == nil {
		g.Go("planner", p.planner.Run)
	}
	if p.server.Settings.UsesSeeds() {
		g.Go("follow", p.updateHosts)
		g.Go("reload", p.reload)
		g.Go("form-ledgers", p.formLedgers)
	}
	if p.metricsPage != nil {
		g.Go("metrics", p.metricsPage.Run)
	}
	g.Go("member-features", p.followFeatures)
	g.Go("spread", p.distribution.Run)
	g.Go("roster", p.gossip.Run)
	g.Go("grant", p.rateLimiter.Run)
	g.Go("prompts", p.guard.Run)
	g.Go("permits", p.permits.Run)
	g.Go("batch", p.batch.Run)
	if p.server.Dialect == nil {
		g.Go("announce", p.upstreamServer.Run)
	} else {
		g.Go("control-address", p.serveControl)
	}
	g.Go("operator", p.operatorServer.Run)
	g.Go("loads", (&loadUpdater{components: p}).run)
	g.Go("paths", p.connector.Run)
}

// serve answers callers and runs batch items until ctx or base ends, or one of the two fails, then hands over the leadership of groups.
func (p *components) serve(ctx, base context.Context) error {
	w, cancel := context.WithCancel(base)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		p.drain.Begin(p.server.timer.Now())
		p.gossip.AnnounceStopping()
		cancel()
	})
	defer stop()
	g := group.NewGroup(base)
	defer context.AfterFunc(g.Context(), cancel)() // a part that fails ends the others
	g.Go("http", func(base context.Context) error {
		err := p.answerCallers(w)
		p.returnRates(base)
		return err
	})
	g.Go("tunnels", func(base context.Context) error {
		<-w.Done()
		p.drainTunnels(base, p.server.timer.Now())
		return nil
	})
	g.Go("drive", func(context.Context) error {
		if p.server.Dialect != nil && p.callerListener == nil {
			return nil
		}
		err := p.executor.Run(w)
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	})
	g.Go("hand-over", func(context.Context) error {
		<-w.Done()
		p.transferLeadership(base)
		return nil
	})
	return g.Wait()
}

// answerCallers serves callers until ctx ends and lets the calls in flight finish.
func (p *components) answerCallers(ctx context.Context) error {
	if p.server.Dialect != nil {
		return p.serveCallers(ctx)
	}
	return p.callerServer.Run(ctx)
}

// returnRates returns the unspent rate units of teams after the last call was admitted.
func (p *components) returnRates(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	p.rateLimiter.ReturnAll(c)
}

// transferLeadership transfers the leadership of this host's groups to other hosts.
func (p *components) transferLeadership(ctx context.Context) {
	if p.control == nil || ctx.Err() != nil {
		return
	}
	c, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := p.control.Drain(c); err != nil {
		p.server.Log.Warn().Err(err).Msg("leadership not handed over")
	}
}
