package command

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/secret"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/standin/engine"
	"siskinrun/internal/standin/faultinjection"
	"siskinrun/internal/standin/service"
)

func init() {
	subcommands = append(subcommands, addStandIn)
}

// standIn are the flags of a stand-in upstream.
type standIn struct {
	upstream   upstream.Upstream
	listen     string
	hosts      []string
	secretFile string
	step       time.Duration
	stepEach   time.Duration
	prefill    time.Duration
	blocks     int
	work       time.Duration
}

func (s *standIn) add(n *kingpin.CmdClause) {
	u := &s.upstream
	n.Flag("kind", "engine or service.").Default(upstream.Engine).EnumVar(&u.Kind, upstream.Engine, upstream.Service)
	n.Flag("name", "Name of the upstream.").Required().StringVar(&u.Name)
	n.Flag("service", "Name that routes refer to.").Required().StringVar(&u.Service)
	n.Flag("failure-domain", "Where the upstream runs.").Required().StringVar(&u.FailureDomain)
	n.Flag("model", "A loaded model as model@version or model@version+adapter; may be repeated.").StringsVar(&u.Models)
	n.Flag("slots", "Requests that run side by side.").Default("8").IntVar(&u.Slots)
	n.Flag("fencing", "Refuse orders with an old fencing number.").BoolVar(&u.Fencing)
	n.Flag("listen", "Address that takes requests.").Default("127.0.0.1:0").StringVar(&s.listen)
	n.Flag("announce", "Upstreams' address of a host; may be repeated.").Required().StringsVar(&s.hosts)
	n.Flag("secret-file", "File with the upstreams' secret.").Required().StringVar(&s.secretFile)
	n.Flag("step", "Time between tokens of an engine with one stream.").Default("20ms").DurationVar(&s.step)
	n.Flag("step-each", "What each further stream adds to the time between tokens.").Default("1ms").DurationVar(&s.stepEach)
	n.Flag("prefill", "Time to read a block of a prompt that is not cached.").Default("5ms").DurationVar(&s.prefill)
	n.Flag("cache-blocks", "Prompt blocks that the cache holds.").Default("4096").IntVar(&s.blocks)
	n.Flag("work", "How long a call of a plain service takes.").Default("5ms").DurationVar(&s.work)
}

// addStandIn adds the subcommand that runs a stand-in upstream.
func addStandIn(c *Command) {
	s := &standIn{}
	n := c.app.Command("stand-in", "Run a stand-in for a model engine or a plain service.")
	s.add(n)
	c.add(n.FullCommand(), func(ctx context.Context) error {
		b, err := secret.Read(s.secretFile)
		if err != nil {
			return err
		}
		l, err := net.Listen("tcp", s.listen)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.Out, "%s listens on %s\n", s.upstream.Name, l.Addr())
		return s.run(ctx, l, string(b))
	})
}

func (s *standIn) run(ctx context.Context, l net.Listener, secret string) error {
	t := timer.NewService()
	s.upstream.Incarnation = uint64(t.Now().UnixNano())
	g := group.NewGroup(ctx)
	g.Go("timer", t.Run)
	if s.upstream.Kind == upstream.Service {
		v := &service.Service{
			Upstream: s.upstream, Listener: l, Hosts: s.hosts, Secret: secret, Timer: t, ProcessingTime: s.work, Faults: faultinjection.NewInjector(),
		}
		g.Go("service", v.Run)
		return g.Wait()
	}
	e := &engine.Engine{
		Upstream: s.upstream, Listener: l, Hosts: s.hosts, Secret: secret, Timer: t,
		Step: s.step, StepPerStream: s.stepEach, PrefillPerBlock: s.prefill, CacheBlocks: s.blocks, Faults: faultinjection.NewInjector(),
	}
	g.Go("engine", e.Run)
	return g.Wait()
}
