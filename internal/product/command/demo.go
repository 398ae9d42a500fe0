package command

import (
	"context"

	"github.com/rs/zerolog"

	"siskinrun/internal/product/demo"
)

func init() {
	subcommands = append(subcommands, addDemo)
}

// addDemo adds the subcommand that runs a small fleet in one process.
func addDemo(c *Command) {
	d := &demo.Demo{}
	verbose := false
	n := c.app.Command("demo", "Run a fleet of three hosts with stand-in upstreams in one process.")
	n.Flag("once", "Send one call of each kind and a batch job, check the answers and stop.").BoolVar(&d.Once)
	n.Flag("fault", "Make every stand-in misbehave: die, silent, crossed, late, short or slow.").StringVar(&d.Fault)
	n.Flag("verbose", "Print the log of the hosts.").BoolVar(&verbose)
	c.handle(n.FullCommand(), func(ctx context.Context) error {
		d.Out = c.Out
		d.Log = c.logger(zerolog.ErrorLevel)
		if verbose {
			d.Log = c.logger(zerolog.InfoLevel)
		}
		return d.Run(ctx)
	})
}

// logger returns a logger of JSON lines to Err at the given level.
func (c *Command) logger(l zerolog.Level) zerolog.Logger {
	return zerolog.New(zerolog.SyncWriter(c.Err)).Level(l).With().Timestamp().Logger()
}
