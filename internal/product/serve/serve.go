package serve

import (
	"context"
	"net"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/logwriter"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/wire/dialect"
)

const (
	handOverTimeout = 5 * time.Second
	handBackTimeout = time.Second
)

// Serve is one host of a fleet.
type Serve struct {
	// Name is the host's name in the settings.
	Name string
	// Settings are the facts of the fleet, with the secrets read.
	Settings *settings.Settings
	// Folder, if set, replaces the data folder of the settings.
	Folder string
	// Listeners are listeners that are open already, by address.
	Listeners map[string]net.Listener
	// Dial, if set, replaces the dialer between hosts.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Lines, if set, is the writer behind Log, which runs as long as the host.
	Lines *logwriter.Writer
	// Dialect, if set, replaces the product's own wire formats.
	Dialect *dialect.Dialect
	// Reload, if set, reads the settings again.
	Reload func() (*settings.Settings, error)
	// Hangups tells that the settings have changed.
	Hangups <-chan os.Signal
	// Log takes JSON lines.
	Log zerolog.Logger

	timer   *timer.Service
	metrics metrics.Registry
}

// Run serves until ctx ends, and then stops without cutting a call.
func (s *Serve) Run(ctx context.Context) error {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.timer = timer.NewService()
	s.metrics = metrics.NewRegistry()
	if m := s.Settings.Limits.MemoryBytes; m > 0 {
		debug.SetMemoryLimit(m)
	}
	defer s.lines(base)()
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

// lines runs the writer of the log and returns the function that ends it once everything was logged.
func (s *Serve) lines(ctx context.Context) (end func()) {
	if s.Lines == nil {
		return func() {}
	}
	s.Lines.Timer = s.timer
	ctx, cancel := context.WithCancel(ctx)
	g := group.NewGroup(ctx)
	g.Go("log", s.Lines.Run)
	return func() {
		cancel()
		_ = g.Wait() // the writer returns no error
	}
}

// listen returns the open listener of an address or opens one.
func (s *Serve) listen(address string) (net.Listener, error) {
	if l, ok := s.Listeners[address]; ok {
		return l, nil
	}
	l, err := net.Listen("tcp", address)
	return l, errors.Wrap(err, "listen")
}

// start runs everything that must live longer than the last call.
func (p *parts) start(g *group.Group) {
	g.Go("timer", p.serveHost.timer.Run)
	g.Go("link", p.link.Run)
	if p.control != nil {
		g.Go("control", p.control.Run)
	}
	if p.control != nil && p.serveHost.Dialect == nil {
		g.Go("planner", p.planner.Run)
	}
	if p.serveHost.Settings.UsesSeeds() {
		g.Go("follow", p.follow)
		g.Go("reload", p.reload)
		g.Go("form-ledgers", p.formLedgers)
	}
	if p.metrics != nil {
		g.Go("metrics", p.metrics.Run)
	}
	g.Go("spread", p.spread.Run)
	g.Go("roster", p.roster.Run)
	g.Go("grant", p.grant.Run)
	g.Go("batch", p.batch.Run)
	if p.serveHost.Dialect == nil {
		g.Go("announce", p.announce.Run)
	} else {
		g.Go("control-address", p.serveControl)
	}
	g.Go("operator", p.operator.Run)
	g.Go("loads", (&loads{parts: p}).run)
	g.Go("reach", p.reach)
}

// serve runs callers and batch work until ctx or base ends, then hands over what this host leads.
func (p *parts) serve(ctx, base context.Context) error {
	w, cancel := context.WithCancel(base)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		p.roster.AnnounceStopping()
		cancel()
	})
	defer stop()
	g := group.NewGroup(base)
	g.Go("http", func(base context.Context) error {
		err := p.answerCallers(w)
		p.handBack(base)
		return err
	})
	g.Go("drive", func(context.Context) error {
		if p.serveHost.Dialect != nil && p.callers == nil {
			return nil
		}
		err := p.drive.Run(w)
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	})
	g.Go("hand-over", func(context.Context) error {
		<-w.Done()
		p.handOver(base)
		return nil
	})
	return g.Wait()
}

// answerCallers serves callers until ctx ends, without cutting a call.
func (p *parts) answerCallers(ctx context.Context) error {
	if p.serveHost.Dialect != nil {
		return p.serveCallers(ctx)
	}
	return p.caller.Run(ctx)
}

// handBack returns unspent units of the teams' rates once nothing more is admitted.
func (p *parts) handBack(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, handBackTimeout)
	defer cancel()
	p.grant.ReturnAll(c)
}

// handOver gives the leaderships of this host to others.
func (p *parts) handOver(ctx context.Context) {
	if p.control == nil || ctx.Err() != nil {
		return
	}
	c, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := p.control.Drain(c); err != nil {
		p.serveHost.Log.Warn().Err(err).Msg("leadership not handed over")
	}
}
