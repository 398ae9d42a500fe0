package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/config/listing"
	"siskinrun/internal/data/key"
	"siskinrun/pkg/refusal"
)

const (
	configurationGroup = 0
	defaultVersions    = 50
	// awaitTimeout bounds the wait until an accepted change is in force on this host.
	awaitTimeout = 2 * time.Second
)

// statuses are the HTTP statuses of outcomes.
var statuses = map[string]int{
	changeoutcome.Applied:   200,
	changeoutcome.Conflict:  409,
	changeoutcome.Reused:    409,
	changeoutcome.Invalid:   422,
	changeoutcome.Forgotten: 410,
}

// grantRequest asks for a key whose secret this host makes.
type grantRequest struct {
	ChangeID string `json:"change-id"`
	Base     uint64 `json:"base"`
	By       string `json:"by"`
	ID       string `json:"id"`
	Team     string `json:"team"`
}

// grantAnswer carries the secret of a new key, which is told this once.
type grantAnswer struct {
	*changeoutcome.Outcome
	Secret string `json:"secret"`
}

func (o *Operator) addOwn() {
	o.Handle("GET", "/v1/configuration", o.getConfiguration)
	o.Handle("GET", "/v1/versions", o.getVersions)
	o.Handle("GET", "/v1/diff", o.getDiff)
	o.Handle("GET", "/v1/teams", o.getTeams)
	o.Handle("GET", "/v1/keys", o.getKeys)
	o.Handle("GET", "/v1/hosts", o.getHosts)
	o.Handle("POST", "/v1/changes", o.postChange)
	o.Handle("POST", "/v1/keys", o.postKey)
}

func (o *Operator) getConfiguration(context.Context, *Request) ([]byte, error) {
	return json.Marshal(listing.Whole(o.Spread.View()))
}

func (o *Operator) getTeams(context.Context, *Request) ([]byte, error) {
	return json.Marshal(listing.Teams(o.Spread.View()))
}

func (o *Operator) getKeys(_ context.Context, r *Request) ([]byte, error) {
	return json.Marshal(listing.Keys(o.Spread.View(), r.Query("team")))
}

func (o *Operator) getHosts(ctx context.Context, _ *Request) ([]byte, error) {
	return json.Marshal(&listing.Listing{
		Version: o.Spread.View().Version,
		Hosts:   o.Spread.Hosts(ctx),
	})
}

func (o *Operator) getVersions(ctx context.Context, r *Request) ([]byte, error) {
	n, err := number(r, "most", defaultVersions)
	if err != nil {
		return nil, err
	}
	l, err := o.Spread.Versions(ctx, int(min(n, 1<<20)))
	if err != nil {
		return nil, err
	}
	return json.Marshal(&listing.Listing{Version: o.Spread.View().Version, Revisions: l})
}

func (o *Operator) getDiff(ctx context.Context, r *Request) ([]byte, error) {
	v := o.Spread.View().Version
	to, err := number(r, "to", v)
	if err != nil {
		return nil, err
	}
	from, err := number(r, "from", max(to, 1)-1)
	if err != nil {
		return nil, err
	}
	d, err := o.Spread.Diff(ctx, from, to)
	if err != nil {
		return nil, err
	}
	return json.Marshal(&listing.Listing{Version: v, Differences: d})
}

func (o *Operator) postChange(ctx context.Context, r *Request) ([]byte, error) {
	c, err := change.Decode(r.Body)
	if err != nil {
		return nil, refusal.NewNotRun(400, "bad-change", err.Error())
	}
	p, err := o.propose(ctx, c)
	if err != nil {
		return nil, err
	}
	return state(p.Status, p)
}

// postKey grants a key with a secret made here, of which only the hash is kept.
func (o *Operator) postKey(ctx context.Context, r *Request) ([]byte, error) {
	g := &grantRequest{}
	d := json.NewDecoder(bytes.NewReader(r.Body))
	d.DisallowUnknownFields()
	if err := d.Decode(g); err != nil {
		return nil, refusal.NewNotRun(400, "bad-grant", err.Error())
	}
	s := key.NewSecret()
	c := &change.Change{
		ID:   g.ChangeID,
		Base: g.Base,
		By:   g.By,
		Kind: change.GrantKey,
		Key:  &key.Key{ID: g.ID, Team: g.Team, Hash: key.Hash(s)},
	}
	p, err := o.propose(ctx, c)
	if err != nil {
		return nil, err
	}
	if p.Status != changeoutcome.Applied {
		if k, ok := o.Spread.View().Keys[g.ID]; ok && p.Status == changeoutcome.Reused && k.Team == g.Team {
			p.Message += "; the secret of a granted key is told once and not kept: withdraw the key and grant another"
		}
		return state(p.Status, p)
	}
	return state(p.Status, &grantAnswer{Outcome: p, Secret: s})
}

// propose sends a change to the replicas and waits until it is in force on this host.
func (o *Operator) propose(ctx context.Context, c *change.Change) (*changeoutcome.Outcome, error) {
	c.At = o.Timer.Now().UTC().Round(0)
	b, err := c.Encode()
	if err != nil {
		return nil, err
	}
	if _, err := change.Decode(b); err != nil {
		return nil, refusal.NewNotRun(400, "bad-change", err.Error())
	}
	a, err := o.Client.Propose(ctx, configurationGroup, b)
	if err != nil {
		o.Log.Warn().Err(err).Str("change-id", c.ID).Msg("change without an outcome")
		return nil, err
	}
	p, err := changeoutcome.Decode(a)
	if err != nil {
		return nil, err
	}
	o.Log.Info().Str("change-id", c.ID).Str("kind", c.Kind).Str("by", c.By).
		Str("status", p.Status).Uint64("version", p.Version).Msg("change")
	o.await(ctx, p)
	return p, nil
}

func (o *Operator) await(ctx context.Context, p *changeoutcome.Outcome) {
	if p.Status != changeoutcome.Applied {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	if err := o.Spread.Await(ctx, p.Version); err != nil {
		o.Log.Warn().Uint64("version", p.Version).Msg("accepted change is not in force on this host yet")
	}
}

// state encodes an answer under the HTTP status of its outcome.
func state[T any](status string, v *T) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil || statuses[status] == 200 {
		return b, err
	}
	s, ok := statuses[status]
	if !ok {
		s = 500
	}
	return nil, &stated{status: s, body: b}
}

func number(r *Request, name string, or uint64) (uint64, error) {
	q := r.Query(name)
	if q == "" {
		return or, nil
	}
	n, err := strconv.ParseUint(q, 10, 64)
	if err != nil {
		return 0, refusal.NewNotRun(400, "bad-parameter", name+" must be a whole number")
	}
	return n, nil
}
