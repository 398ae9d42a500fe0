package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/operatorclient"
	"siskinrun/internal/data/key"
	"siskinrun/internal/measure/loadgen"
	"siskinrun/internal/product/server"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/standin/engine"
	"siskinrun/internal/standin/service"
)

const (
	teamName        = "demo"
	startTimeout    = 30 * time.Second
	pollInterval    = 100 * time.Millisecond
	batchItems      = 200
	impossibleEvery = 20
	answerTokens    = 12
	promptBytes     = 300
)

// streamedBody is the body of a streamed call.
const streamedBody = `{"model":"demo-model","stream":true,"messages":[{"role":"user","content":"hello"}]}`

// Demo is a fleet of three hosts in three failure domains, each with stand-in engines and a stand-in service.
type Demo struct {
	// Out receives addresses, the key, example commands and results.
	Out io.Writer
	// Log receives the logs of the hosts.
	Log zerolog.Logger
	// Once sends one call of each kind and a batch job, checks the answers and stops.
	Once bool
	// Fault, if set, is the fault that every stand-in injects.
	Fault string

	timer     *timer.Service
	folder    string
	settings  *settings.Settings
	listeners map[string]net.Listener
	secret    string
	engines   []*engine.Engine
	services  []*service.Service
}

// Run starts the fleet and serves until ctx ends, or until the calls of Once have been checked.
func (d *Demo) Run(ctx context.Context) error {
	f, err := os.MkdirTemp("", "siskinrun-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(f) }()
	d.folder = f
	d.timer = timer.NewService()
	if err := d.prepare(); err != nil {
		return err
	}
	w, cancel := context.WithCancel(ctx)
	defer cancel()
	g := group.NewGroup(w)
	g.Go("timer", d.timer.Run)
	for n := range d.settings.Fleet.Hosts {
		h := &server.Server{Name: n, Settings: d.settings, Listeners: d.listeners, Log: d.Log.With().Str("host", n).Logger()}
		g.Go(n, h.Run)
	}
	if err := d.startStandIns(g); err != nil {
		return err
	}
	g.Go("demo", func(ctx context.Context) error {
		if d.Once {
			defer cancel()
		}
		return d.runCalls(ctx)
	})
	return g.Wait()
}

// runCalls configures the fleet, waits until it is ready and prints how to use it. With Once it sends the calls as well.
func (d *Demo) runCalls(ctx context.Context) error {
	if err := d.configure(ctx); err != nil {
		return err
	}
	l := d.newGenerator()
	if err := d.awaitReady(ctx, l); err != nil {
		return err
	}
	d.printUsage()
	if !d.Once {
		<-ctx.Done()
		return ctx.Err()
	}
	s, err := l.RunOnce(ctx)
	if err != nil {
		return err
	}
	if err := s.Print(d.Out); err != nil {
		return err
	}
	if s.FaultCount > 0 || s.Batch.Completed+s.Batch.Failed != batchItems {
		return errors.New("not every answer was right")
	}
	fmt.Fprintln(d.Out, "every answer was right")
	return nil
}

// configure puts the configuration of the settings in force and grants a key.
func (d *Demo) configure(ctx context.Context) error {
	c := &operatorclient.Client{Secret: d.settings.OperatorSecret, Timer: d.timer, Timeout: startTimeout}
	for _, h := range d.settings.Fleet.Hosts {
		c.Addresses = append(c.Addresses, h.Operators)
	}
	d.secret = key.NewSecret()
	k := &key.Key{ID: "demo-key", Team: teamName, Hash: key.Hash(d.secret)}
	for _, h := range []*change.Change{
		{ID: "demo-configuration", Kind: change.Replace, Whole: d.settings.Configuration()},
		{ID: "demo-key", Base: 1, Kind: change.GrantKey, Name: k.ID, Key: k},
	} {
		o, err := c.SendChange(ctx, h)
		if err != nil {
			return err
		}
		if o.Version != h.Base+1 {
			return errors.Newf("change %s: %s", h.ID, o.Message)
		}
	}
	return nil
}

// newGenerator returns a load generator that sends calls of each kind and a batch job to all hosts.
func (d *Demo) newGenerator() *loadgen.Generator {
	l := &loadgen.Generator{
		Label:           "demo",
		Keys:            map[string]string{teamName: d.secret},
		Model:           "demo-model",
		Path:            "/quotes/new",
		Tokens:          answerTokens,
		PromptBytes:     promptBytes,
		BatchItems:      batchItems,
		ImpossibleEvery: impossibleEvery,
		Seed:            1,
		Timer:           d.timer,
	}
	for _, h := range d.settings.Fleet.Hosts {
		l.Hosts = append(l.Hosts, h.Callers)
	}
	return l
}

// awaitReady waits until every host accepts completions.
func (d *Demo) awaitReady(ctx context.Context, l *loadgen.Generator) error {
	end := d.timer.Now().Add(startTimeout)
	for {
		err := l.CheckReady(ctx)
		if err == nil {
			return nil
		}
		if d.timer.Now().After(end) {
			return errors.Wrap(err, "the fleet did not become ready")
		}
		if err := d.timer.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// printUsage prints the addresses, the key and commands to paste into a shell.
func (d *Demo) printUsage() {
	for n, h := range d.settings.Fleet.Hosts {
		fmt.Fprintf(d.Out, "%s in %s: callers %s, upstreams %s, operators %s\n", n, h.FailureDomain, h.Callers, h.Upstreams, h.Operators)
	}
	fmt.Fprintf(d.Out, "operators' secret file: %s\n", d.settings.ResolvePath("fleet.operator-secret-file", d.settings.Fleet.OperatorSecretFile))
	a := d.newGenerator().Hosts[0]
	fmt.Fprintf(d.Out, "\nexport SISKIN_KEY=%s\n", d.secret)
	fmt.Fprintf(d.Out, "curl -N http://%s/v1/chat/completions -H \"Authorization: Bearer $SISKIN_KEY\" -d '%s'\n", a, streamedBody)
	fmt.Fprintf(d.Out, "curl http://%s/quotes/new -H \"Authorization: Bearer $SISKIN_KEY\" -H 'Idempotency-Key: quote-1' -d 'a quote'\n\n", a)
}
