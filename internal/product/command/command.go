package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"siskinrun/internal/wire/dialect"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Command parses the command line and runs its subcommands.
type Command struct {
	// Out receives results.
	Out io.Writer
	// Err receives errors and progress messages.
	Err io.Writer
	// Dialects are the wire formats that settings may name.
	Dialects map[string]*dialect.Dialect

	app      *kingpin.Application
	handlers map[string]func(ctx context.Context) error
}

// NewCommand returns a command line that writes to the standard streams.
func NewCommand() *Command {
	c := &Command{
		Out:      os.Stdout,
		Err:      os.Stderr,
		app:      kingpin.New("siskinrun", "Serves online and batch inference on one fleet."),
		Dialects: map[string]*dialect.Dialect{},
		handlers: map[string]func(context.Context) error{},
	}
	c.app.Terminate(nil)
	c.app.HelpFlag.Short('h')
	for _, add := range subcommands {
		add(c)
	}
	return c
}

// subcommands are the functions that each add a subcommand to a command line. The files of the package append to it.
var subcommands = []func(*Command){}

// Run parses the arguments, runs the subcommand and returns the exit status.
func (c *Command) Run(args []string) int {
	c.app.UsageWriter(c.Out)
	c.app.ErrorWriter(c.Err)
	n, err := c.app.Parse(args)
	if err != nil {
		fmt.Fprintln(c.Err, "siskinrun:", err)
		return exitUsage
	}
	f := c.handlers[n]
	if f == nil {
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := f(ctx); err != nil {
		fmt.Fprintln(c.Err, "siskinrun:", err)
		return exitFailed
	}
	return exitOK
}

// handle registers the function that runs the subcommand with this full name.
func (c *Command) handle(name string, f func(ctx context.Context) error) {
	c.handlers[name] = f
}
