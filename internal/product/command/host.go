package command

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/operatorclient"
	"siskinrun/internal/state/groupstatus"
	"siskinrun/internal/state/identity"
)

func init() {
	subcommands = append(subcommands, addHost)
}

// replaceFlags are the flags of the subcommand that replaces a control host.
type replaceFlags struct {
	target
	old  identity.Identity
	host string
}

// addHost adds the subcommands that show and replace control hosts.
func addHost(c *Command) {
	n := c.app.Command("host", "Show the control hosts and replace one.")
	t := &target{}
	s := n.Command("status", "Show who leads each replica group, who lags and whether it is repaired.")
	t.add(s)
	c.add(s.FullCommand(), func(ctx context.Context) error { return c.hostStatus(ctx, t) })

	f := &replaceFlags{}
	r := n.Command("replace", "Put the disk of a host in the place of a lost member; give it again to go on.")
	f.target.add(r)
	r.Flag("old-host", "Host of the lost member.").Required().StringVar(&f.old.Host)
	r.Flag("old-disk", "Disk of the lost member, as the status shows it.").Required().StringVar(&f.old.Disk)
	r.Arg("host", "Host whose disk takes its place.").Required().StringVar(&f.host)
	c.add(r.FullCommand(), func(ctx context.Context) error { return c.hostReplace(ctx, f) })
}

// hostStatus shows each group as its leader sees it, or else as the first host that answers.
func (c *Command) hostStatus(ctx context.Context, t *target) error {
	return t.with(ctx, func(ctx context.Context, k *operatorclient.Client) error {
		l, err := standings(ctx, k)
		if err != nil {
			return err
		}
		if t.json {
			return c.printJSON(l)
		}
		rows := [][]string{{"GROUP", "LEADER", "MEMBER", "DISK", "VOTER", "LAG", "SILENCE", "REPAIRED"}}
		for _, s := range l {
			for _, m := range s.Members {
				rows = append(rows, memberRow(s, m))
			}
		}
		return c.printTable(rows)
	})
}

func memberRow(s groupstatus.Status, m groupstatus.Member) []string {
	return []string{
		strconv.Itoa(int(s.Group)),
		s.Leader.Host,
		m.Identity.Host,
		m.Identity.Disk,
		strconv.FormatBool(m.Voter),
		strconv.FormatUint(m.Lag, 10),
		m.Silence.Round(time.Millisecond).String(),
		strconv.FormatBool(s.Repaired),
	}
}

// standings asks every host and keeps what the leader of each group says.
func standings(ctx context.Context, k *operatorclient.Client) ([]groupstatus.Status, error) {
	best := map[uint32]groupstatus.Status{}
	var last error
	for _, a := range k.Addresses {
		one := &operatorclient.Client{Addresses: []string{a}, Secret: k.Secret, TLS: k.TLS, Timer: k.Timer, Timeout: time.Second}
		b, err := one.Do(ctx, "GET", "/v1/groups", nil)
		if err != nil {
			last = err
			continue
		}
		var l []groupstatus.Status
		if err := json.Unmarshal(b, &l); err != nil {
			return nil, err
		}
		for _, s := range l {
			if _, ok := best[s.Group]; !ok || s.Leading {
				best[s.Group] = s
			}
		}
	}
	if len(best) == 0 {
		return nil, errors.Wrap(last, "no control host answers")
	}
	var l []groupstatus.Status
	for _, s := range best {
		l = append(l, s)
	}
	slices.SortFunc(l, func(a, b groupstatus.Status) int { return int(a.Group) - int(b.Group) })
	return l, nil
}

// hostReplace repeats the request until every group is done.
func (c *Command) hostReplace(ctx context.Context, f *replaceFlags) error {
	b, err := json.Marshal(struct {
		Old  identity.Identity `json:"old"`
		Host string            `json:"host"`
	}{f.old, f.host})
	if err != nil {
		return err
	}
	return f.with(ctx, func(ctx context.Context, k *operatorclient.Client) error {
		for {
			_, err := k.Do(ctx, "POST", "/v1/groups/replace", b)
			if err == nil {
				break
			}
			if !strings.Contains(err.Error(), "outcome-unknown") {
				return err
			}
			fmt.Fprintln(c.Err, "not all groups are done yet; going on")
		}
		_, err := fmt.Fprintf(c.Out, "%s has taken the place of %s\n", f.host, f.old)
		return err
	})
}
