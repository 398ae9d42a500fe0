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

// standInFlags are the flags of a stand-in upstream.
type standInFlags struct {
	upstream      upstream.Upstream
	listen        string
	hosts         []string
	secretFile    string
	step          time.Duration
	stepPerStream time.Duration
	prefill       time.Duration
	cacheBlocks   int
	work          time.Duration
}

func (s *standInFlags) add(n *kingpin.CmdClause) {
	u := &s.upstream
	n.Flag("kind", "engine or service.").Default(upstream.Engine).EnumVar(&u.Kind, upstream.Engine, upstream.Service)
	n.Flag("name", "Name of the upstream.").Required().StringVar(&u.Name)
	n.Flag("service", "Service name that routes refer to.").Required().StringVar(&u.Service)
	n.Flag("failure-domain", "Failure domain that the upstream runs in.").Required().StringVar(&u.FailureDomain)
	n.Flag("model", "Loaded model as model@version or model@version+adapter; repeatable.").StringsVar(&u.Models)
	n.Flag("slots", "Maximum number of concurrent requests.").Default("8").IntVar(&u.Slots)
	n.Flag("fencing", "Refuse orders with an old fencing token.").BoolVar(&u.Fencing)
	n.Flag("listen", "Address to listen on for requests.").Default("127.0.0.1:0").StringVar(&s.listen)
	n.Flag("announce", "Upstreams' address of a host to announce to; repeatable.").Required().StringsVar(&s.hosts)
	n.Flag("secret-file", "File with the upstreams' secret.").Required().StringVar(&s.secretFile)
	n.Flag("step", "Time between tokens of an engine with one stream.").Default("20ms").DurationVar(&s.step)
	n.Flag("step-each", "Time that each further stream adds between tokens.").Default("1ms").DurationVar(&s.stepPerStream)
	n.Flag("prefill", "Prefill time of a prompt block that is not cached.").Default("5ms").DurationVar(&s.prefill)
	n.Flag("cache-blocks", "Capacity of the prefix cache in prompt blocks.").Default("4096").IntVar(&s.cacheBlocks)
	n.Flag("work", "Time that a call of a plain service takes.").Default("5ms").DurationVar(&s.work)
}

// addStandIn adds the subcommand that runs a stand-in upstream.
func addStandIn(c *Command) {
	s := &standInFlags{}
	n := c.app.Command("stand-in", "Run a stand-in for a model engine or a plain service.")
	s.add(n)
	c.handle(n.FullCommand(), func(ctx context.Context) error {
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

func (s *standInFlags) run(ctx context.Context, l net.Listener, secret string) error {
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
		Step: s.step, StepPerStream: s.stepPerStream, PrefillPerBlock: s.prefill, CacheBlocks: s.cacheBlocks, Faults: faultinjection.NewInjector(),
	}
	g.Go("engine", e.Run)
	return g.Wait()
}
