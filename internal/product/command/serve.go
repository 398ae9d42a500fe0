package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/logwriter"
	"siskinrun/internal/product/server"
)

func init() {
	subcommands = append(subcommands, addServe)
}

// addServe adds the subcommand that runs one host.
func addServe(c *Command) {
	f := &settingsFlags{}
	var name, level string
	n := c.app.Command("serve", "Run one host of a fleet until SIGINT or SIGTERM.")
	f.add(n)
	n.Flag("host", "Name of the host in the settings.").Required().Envar("SISKINRUN_HOST").StringVar(&name)
	n.Flag("log-level", "Minimum log level: debug, info, warn or error.").Default("info").
		EnumVar(&level, "debug", "info", "warn", "error")
	c.handle(n.FullCommand(), func(ctx context.Context) error {
		s, err := f.load()
		if err != nil {
			return err
		}
		if err := s.ReadSecrets(); err != nil {
			return err
		}
		l, err := zerolog.ParseLevel(level)
		if err != nil {
			return err
		}
		w, ok := c.Dialects[s.Fleet.Dialect]
		if s.Fleet.Dialect != "" && !ok {
			return errors.Newf("unknown dialect %q in the settings", s.Fleet.Dialect)
		}
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
		logWriter := &logwriter.Writer{Out: c.Out}
		h := &server.Server{
			LogWriter: logWriter,
			Dialect:   w,
			Name:      name,
			Settings:  s,
			Reload:    f.load,
			Hangups:   hangups,
			Log:       zerolog.New(logWriter).Level(l).With().Timestamp().Str("host", name).Logger(),
		}
		return h.Run(ctx)
	})
}
