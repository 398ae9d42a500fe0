package command

import (
	"context"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/inspect"
)

func init() {
	subcommands = append(subcommands, addCheck)
}

// addCheck adds the subcommand that reads settings and prints what they come to.
func addCheck(c *Command) {
	f := &files{}
	secrets := false
	var folder, host string
	n := c.app.Command("check", "Check the settings and print them merged, with every default.")
	f.add(n)
	n.Flag("secrets", "Read the secret files as well, as serve does.").BoolVar(&secrets)
	n.Flag("data-folder", "Check the data folder of a stopped host instead; nothing in it is changed.").StringVar(&folder)
	n.Flag("host", "Host that the data folder belongs to.").StringVar(&host)
	c.add(n.FullCommand(), func(context.Context) error {
		if folder != "" {
			return c.inspect(folder, host)
		}
		s, err := f.load()
		if err != nil {
			return err
		}
		if secrets {
			if err := s.ReadSecrets(); err != nil {
				return err
			}
		}
		b, err := s.Print()
		if err != nil {
			return err
		}
		c.printf("%s\n", b)
		return nil
	})
}

// inspect verifies a data folder and prints how each replica group stands on it.
func (c *Command) inspect(folder, host string) error {
	if host == "" {
		return errors.New("--host is needed beside --data-folder")
	}
	l, err := inspect.NewInspector(folder, host).Run()
	if err != nil {
		return err
	}
	return c.printJSON(l)
}
