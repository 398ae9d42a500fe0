package command

import (
	"context"
	"encoding/json"
	"strconv"

	"siskinrun/internal/config/change"
	"siskinrun/internal/config/operatorclient"
)

func init() {
	subcommands = append(subcommands, addEvacuation)
}

// evacuationStatus is what the operators' address tells of one failure domain.
type evacuationStatus struct {
	FailureDomain string `json:"failure-domain"`
	Evacuated     bool   `json:"evacuated"`
	Upstreams     int    `json:"upstreams"`
	Running       int    `json:"running"`
}

// addEvacuation adds the subcommands that evacuate failure domains.
func addEvacuation(c *Command) {
	n := c.app.Command("evacuation", "Take the upstreams of a failure domain out of use for a while.")
	for _, e := range []struct{ name, help, kind string }{
		{"begin", "Send nothing more to the upstreams of a failure domain.", change.BeginEvacuation},
		{"finish", "Let the upstreams of a failure domain get work again.", change.FinishEvacuation},
	} {
		s, domain := &changeFlags{}, ""
		k := n.Command(e.name, e.help)
		s.add(k)
		k.Arg("domain", "Name of the failure domain.").Required().StringVar(&domain)
		c.handle(k.FullCommand(), func(ctx context.Context) error {
			return c.runChange(ctx, s, &change.Change{Kind: e.kind, Name: domain})
		})
	}
	t := &fleetFlags{}
	k := n.Command("status", "List the failure domains, which are evacuated, and what still runs there.")
	t.add(k)
	c.handle(k.FullCommand(), func(ctx context.Context) error { return c.evacuationStatus(ctx, t) })
}

func (c *Command) evacuationStatus(ctx context.Context, t *fleetFlags) error {
	return t.withClient(ctx, func(ctx context.Context, k *operatorclient.Client) error {
		b, err := k.Do(ctx, "GET", "/v1/evacuations", nil)
		if err != nil {
			return err
		}
		var l []evacuationStatus
		if err := json.Unmarshal(b, &l); err != nil {
			return err
		}
		rows := [][]string{{"FAILURE-DOMAIN", "EVACUATED", "UPSTREAMS", "RUNNING"}}
		for _, e := range l {
			rows = append(rows, []string{e.FailureDomain, strconv.FormatBool(e.Evacuated), strconv.Itoa(e.Upstreams), strconv.Itoa(e.Running)})
		}
		return c.printRows(t, l, rows)
	})
}
