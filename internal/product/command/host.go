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
	fleetFlags
	old  identity.Identity
	host string
}

// addHost adds the subcommands that show the replica groups and replace a control host.
func addHost(c *Command) {
	n := c.app.Command("host", "Show the replica groups of the control hosts and replace a host.")
	t := &fleetFlags{}
	s := n.Command("status", "Show leader, members, lag and repair state of each replica group.")
	t.add(s)
	c.handle(s.FullCommand(), func(ctx context.Context) error { return c.hostStatus(ctx, t) })

	f := &replaceFlags{}
	r := n.Command("replace", "Replace a lost member by the disk of another host; repeat the command to resume.")
	f.fleetFlags.add(r)
	r.Flag("old-host", "Host of the lost member.").Required().StringVar(&f.old.Host)
	r.Flag("old-disk", "Disk of the lost member, as host status shows it.").Required().StringVar(&f.old.Disk)
	r.Arg("host", "Host whose disk replaces it.").Required().StringVar(&f.host)
	c.handle(r.FullCommand(), func(ctx context.Context) error { return c.hostReplace(ctx, f) })
}

// hostStatus prints the status of each group as its leader reports it, or else as the first answering host does.
func (c *Command) hostStatus(ctx context.Context, t *fleetFlags) error {
	return t.withClient(ctx, func(ctx context.Context, k *operatorclient.Client) error {
		l, err := groupStatuses(ctx, k)
		if err != nil {
			return err
		}
		rows := [][]string{{"GROUP", "LEADER", "MEMBER", "DISK", "VOTER", "LAG", "SILENCE", "REPAIRED"}}
		for _, s := range l {
			for _, m := range s.Members {
				rows = append(rows, memberRow(s, m))
			}
		}
		return c.printRows(t, l, rows)
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

// groupStatuses asks every host and returns the leader's status of each group, or the first one if no leader answers.
func groupStatuses(ctx context.Context, k *operatorclient.Client) ([]groupstatus.Status, error) {
	byGroup := map[uint32]groupstatus.Status{}
	var lastErr error
	for _, a := range k.Addresses {
		one := &operatorclient.Client{Addresses: []string{a}, Secret: k.Secret, TLS: k.TLS, Timer: k.Timer, Timeout: time.Second}
		b, err := one.Do(ctx, "GET", "/v1/groups", nil)
		if err != nil {
			lastErr = err
			continue
		}
		var l []groupstatus.Status
		if err := json.Unmarshal(b, &l); err != nil {
			return nil, err
		}
		for _, s := range l {
			if _, ok := byGroup[s.Group]; !ok || s.Leading {
				byGroup[s.Group] = s
			}
		}
	}
	if len(byGroup) == 0 {
		return nil, errors.Wrap(lastErr, "no control host answered")
	}
	var l []groupstatus.Status
	for _, s := range byGroup {
		l = append(l, s)
	}
	slices.SortFunc(l, func(a, b groupstatus.Status) int { return int(a.Group) - int(b.Group) })
	return l, nil
}

// hostReplace repeats the request while its outcome is unknown, until the member is replaced in every group.
func (c *Command) hostReplace(ctx context.Context, f *replaceFlags) error {
	b, err := json.Marshal(struct {
		Old  identity.Identity `json:"old"`
		Host string            `json:"host"`
	}{f.old, f.host})
	if err != nil {
		return err
	}
	return f.withClient(ctx, func(ctx context.Context, k *operatorclient.Client) error {
		for {
			_, err := k.Do(ctx, "POST", "/v1/groups/replace", b)
			if err == nil {
				break
			}
			if !strings.Contains(err.Error(), "outcome-unknown") {
				return err
			}
			fmt.Fprintln(c.Err, "the member is not replaced in all groups yet, will send again")
		}
		_, err := fmt.Fprintf(c.Out, "%s has replaced %s\n", f.host, f.old)
		return err
	})
}
