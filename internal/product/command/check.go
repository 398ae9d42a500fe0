package command

import (
	"context"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/inspect"
)

func init() {
	subcommands = append(subcommands, addCheck)
}

// addCheck adds the subcommand that checks settings and prints the merged result, or checks a data folder.
func addCheck(c *Command) {
	f := &settingsFlags{}
	secrets := false
	var folder, host string
	n := c.app.Command("check", "Check the settings and print the merged result with all defaults.")
	f.add(n)
	n.Flag("secrets", "Also read the secret files, as serve does.").BoolVar(&secrets)
	n.Flag("data-folder", "Check the data folder of a stopped host instead, without changing it.").StringVar(&folder)
	n.Flag("host", "Host that the data folder belongs to.").StringVar(&host)
	c.handle(n.FullCommand(), func(context.Context) error {
		if folder != "" {
			return c.inspectFolder(folder, host)
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

// inspectFolder verifies a data folder and prints the state of each replica group in it.
func (c *Command) inspectFolder(folder, host string) error {
	if host == "" {
		return errors.New("--data-folder requires --host")
	}
	l, err := inspect.NewInspector(folder, host).Run()
	if err != nil {
		return err
	}
	return c.printJSON(l)
}
