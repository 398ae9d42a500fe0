package command

import (
	"context"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/config/listing"
	"siskinrun/internal/config/operatorclient"
	"siskinrun/internal/data/key"
)

const secretMode = 0o600

func init() {
	subcommands = append(subcommands, addKey)
}

// grantResult is the JSON output of the subcommand grant.
type grantResult struct {
	*changeoutcome.Outcome
	ID     string `json:"id"`
	Team   string `json:"team"`
	Secret string `json:"secret,omitempty"`
}

// grantFlags are the flags of the subcommand grant.
type grantFlags struct {
	changeFlags
	id   string
	team string
	file string
}

// addKey adds the subcommands that grant, list and withdraw keys.
func addKey(c *Command) {
	n := c.app.Command("key", "Grant, list and withdraw keys.")
	l, team := &fleetFlags{}, ""
	list := n.Command("list", "List the granted keys.")
	l.add(list)
	list.Flag("team", "Only keys of this team.").StringVar(&team)
	c.handle(list.FullCommand(), func(ctx context.Context) error {
		return c.printListing(ctx, l, "/v1/keys?team="+team, keyRows)
	})

	g := &grantFlags{}
	grant := n.Command("grant", "Grant a key and print its secret, which the fleet does not store.")
	g.changeFlags.add(grant)
	grant.Arg("team", "Team that the key belongs to.").Required().StringVar(&g.team)
	grant.Flag("id", "ID of the key.").StringVar(&g.id)
	grant.Flag("secret-file", "File that the secret is stored in before the grant is sent, so that it can be sent again.").
		StringVar(&g.file)
	c.handle(grant.FullCommand(), func(ctx context.Context) error { return c.grantKey(ctx, g) })

	w, id := &changeFlags{}, ""
	withdraw := n.Command("withdraw", "Withdraw a key.")
	w.add(withdraw)
	withdraw.Arg("id", "ID of the key.").Required().StringVar(&id)
	c.handle(withdraw.FullCommand(), func(ctx context.Context) error {
		return c.runChange(ctx, w, &change.Change{Kind: change.WithdrawKey, Name: id})
	})
}

func keyRows(l *listing.Listing) [][]string {
	rows := [][]string{{"KEY", "TEAM"}}
	for _, k := range l.Keys {
		rows = append(rows, []string{k.ID, k.Team})
	}
	return rows
}

func (c *Command) grantKey(ctx context.Context, g *grantFlags) error {
	if g.changeFlags.id == "" {
		g.changeFlags.id = newChangeID()
	}
	if g.id == "" {
		g.id = "key-" + g.changeFlags.id
	}
	secret, err := g.secret()
	if err != nil {
		return err
	}
	h := &change.Change{Kind: change.GrantKey, Key: &key.Key{ID: g.id, Team: g.team, Hash: key.Hash(secret)}}
	return g.withClient(ctx, func(ctx context.Context, k *operatorclient.Client) error {
		o, err := g.send(ctx, k, h)
		if err != nil {
			return err
		}
		return c.printGrant(g, o, secret)
	})
}

func (c *Command) printGrant(g *grantFlags, o *changeoutcome.Outcome, secret string) error {
	if o.Status != changeoutcome.Applied {
		secret = ""
	}
	if g.json {
		if err := c.printJSON(&grantResult{Outcome: o, ID: g.id, Team: g.team, Secret: secret}); err != nil {
			return err
		}
		return outcomeError(o)
	}
	if err := outcomeError(o); err != nil {
		return err
	}
	c.printf("change %s: %s, %s\nkey %s of team %s: %s\n", o.ChangeID, o.Status, o.Message, g.id, g.team, secret)
	return nil
}

// secret returns the secret in the file. Without one it makes a new secret and writes it to the file, if one is given.
func (g *grantFlags) secret() (string, error) {
	if g.file == "" {
		return key.NewSecret(), nil
	}
	b, err := os.ReadFile(g.file)
	if err == nil {
		s := strings.TrimSpace(string(b))
		if s == "" {
			return "", errors.Newf("secret file %s is empty", g.file)
		}
		return s, nil
	}
	if !os.IsNotExist(err) {
		return "", errors.Wrap(err, "read secret file")
	}
	s := key.NewSecret()
	return s, errors.Wrap(os.WriteFile(g.file, []byte(s+"\n"), secretMode), "write secret file")
}
