package command

import (
	"context"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/operatorclient"
	"siskinrun/internal/measure/burnpage"
	"siskinrun/internal/measure/burnreport"
)

func init() {
	subcommands = append(subcommands, addBurn)
}

// addBurn adds the subcommand that shows the burn rates of the teams' error budgets.
func addBurn(c *Command) {
	t := &fleetFlags{}
	var html string
	var from []string
	n := c.app.Command("burn", "Show the burn rate of each team's error budget over all hosts.")
	t.add(n)
	n.Flag("html", "File to write the report to as an HTML page.").StringVar(&html)
	n.Flag("from", "Saved JSON report to read instead of a fleet; several are merged.").StringsVar(&from)
	c.handle(n.FullCommand(), func(ctx context.Context) error {
		if len(from) > 0 {
			r, err := readBurnReports(from)
			if err != nil {
				return err
			}
			return c.outputBurn(r, t.json, html)
		}
		return t.withClient(ctx, func(ctx context.Context, k *operatorclient.Client) error {
			g, err := askHosts[*burnreport.Report](ctx, k, "/v1/burn")
			if err != nil {
				return err
			}
			r := burnreport.Merge(g.answers)
			r.Missing = append(r.Missing, g.missing...)
			return c.outputBurn(r, t.json, html)
		})
	})
}

func readBurnReports(files []string) (*burnreport.Report, error) {
	var l []*burnreport.Report
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		r := &burnreport.Report{}
		if err := json.Unmarshal(b, r); err != nil {
			return nil, errors.Wrapf(err, "read %s", f)
		}
		if err := r.Validate(); err != nil {
			return nil, errors.Wrapf(err, "read %s", f)
		}
		l = append(l, r)
	}
	return burnreport.Merge(l), nil
}

func (c *Command) outputBurn(r *burnreport.Report, asJSON bool, html string) error {
	b := burnpage.NewView(r)
	if html != "" {
		p, err := b.Page()
		if err != nil {
			return err
		}
		if err := p.Save(html); err != nil {
			return err
		}
	}
	if asJSON {
		return c.printJSON(r)
	}
	return b.Print(c.Out)
}
