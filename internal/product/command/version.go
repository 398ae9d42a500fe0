package command

import (
	"context"
	"fmt"
	"runtime/debug"
)

func init() {
	subcommands = append(subcommands, addVersion)
}

// addVersion adds the subcommand that prints the version of the build.
func addVersion(c *Command) {
	n := c.app.Command("version", "Print the version of this build.")
	c.handle(n.FullCommand(), func(context.Context) error {
		v := "unknown"
		if b, ok := debug.ReadBuildInfo(); ok {
			v = b.Main.Version + " " + b.GoVersion
		}
		_, err := fmt.Fprintln(c.Out, v)
		return err
	})
}
