package operatorapi

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
	// awaitTimeout limits the wait until an accepted change is in force on this host.
	awaitTimeout = 2 * time.Second
)

// httpStatuses maps the status of an outcome to the HTTP status of the response; any other is 500.
var httpStatuses = map[string]int{
	changeoutcome.Applied:   200,
	changeoutcome.Conflict:  409,
	changeoutcome.Reused:    409,
	changeoutcome.Invalid:   422,
	changeoutcome.Forgotten: 410,
}

// grantRequest asks for a key whose secret this host generates.
type grantRequest struct {
	ChangeID string `json:"change-id"`
	Base     uint64 `json:"base"`
	By       string `json:"by"`
	ID       string `json:"id"`
	Team     string `json:"team"`
}

// grantResponse carries the secret of a new key, which is returned only this once.
type grantResponse struct {
	*changeoutcome.Outcome
	Secret string `json:"secret"`
}

func (s *Server) addEndpoints() {
	s.Handle("GET", "/v1/configuration", s.getConfiguration)
	s.Handle("GET", "/v1/versions", s.getVersions)
	s.Handle("GET", "/v1/diff", s.getDiff)
	s.Handle("GET", "/v1/teams", s.getTeams)
	s.Handle("GET", "/v1/keys", s.getKeys)
	s.Handle("GET", "/v1/hosts", s.getHosts)
	s.Handle("POST", "/v1/changes", s.postChange)
	s.Handle("POST", "/v1/keys", s.postKey)
}

func (s *Server) getConfiguration(context.Context, *Request) ([]byte, error) {
	return json.Marshal(listing.All(s.Configuration.View()))
}

func (s *Server) getTeams(context.Context, *Request) ([]byte, error) {
	return json.Marshal(listing.Teams(s.Configuration.View()))
}

func (s *Server) getKeys(_ context.Context, r *Request) ([]byte, error) {
	return json.Marshal(listing.Keys(s.Configuration.View(), r.Query("team")))
}

func (s *Server) getHosts(ctx context.Context, _ *Request) ([]byte, error) {
	return json.Marshal(&listing.Listing{
		Version: s.Configuration.View().Version,
		Hosts:   s.Configuration.Hosts(ctx),
	})
}

func (s *Server) getVersions(ctx context.Context, r *Request) ([]byte, error) {
	n, err := uintParameter(r, "most", defaultVersions)
	if err != nil {
		return nil, err
	}
	l, err := s.Configuration.Versions(ctx, int(min(n, 1<<20)))
	if err != nil {
		return nil, err
	}
	return json.Marshal(&listing.Listing{Version: s.Configuration.View().Version, Revisions: l})
}

func (s *Server) getDiff(ctx context.Context, r *Request) ([]byte, error) {
	v := s.Configuration.View().Version
	to, err := uintParameter(r, "to", v)
	if err != nil {
		return nil, err
	}
	from, err := uintParameter(r, "from", max(to, 1)-1)
	if err != nil {
		return nil, err
	}
	d, err := s.Configuration.Diff(ctx, from, to)
	if err != nil {
		return nil, err
	}
	return json.Marshal(&listing.Listing{Version: v, Differences: d})
}

func (s *Server) postChange(ctx context.Context, r *Request) ([]byte, error) {
	c, err := change.Decode(r.Body)
	if err != nil {
		return nil, refusal.NewNotRun(400, "bad-change", err.Error())
	}
	if s.Check != nil {
		if err := s.Check(ctx, c); err != nil {
			return nil, err
		}
	}
	p, err := s.propose(ctx, c)
	if err != nil {
		return nil, err
	}
	return encodeOutcome(p.Status, p)
}

// postKey grants a key with a secret generated here, of which only the hash is stored.
func (s *Server) postKey(ctx context.Context, r *Request) ([]byte, error) {
	g := &grantRequest{}
	d := json.NewDecoder(bytes.NewReader(r.Body))
	d.DisallowUnknownFields()
	if err := d.Decode(g); err != nil {
		return nil, refusal.NewNotRun(400, "bad-grant", err.Error())
	}
	n := key.NewSecret()
	c := &change.Change{
		ID:   g.ChangeID,
		Base: g.Base,
		By:   g.By,
		Kind: change.GrantKey,
		Key:  &key.Key{ID: g.ID, Team: g.Team, Hash: key.Hash(n)},
	}
	p, err := s.propose(ctx, c)
	if err != nil {
		return nil, err
	}
	if p.Status != changeoutcome.Applied {
		if k, ok := s.Configuration.View().Keys[g.ID]; ok && p.Status == changeoutcome.Reused && k.Team == g.Team {
			p.Message += "; the secret of a granted key is returned only once and not stored: withdraw the key and grant another"
		}
		return encodeOutcome(p.Status, p)
	}
	return encodeOutcome(p.Status, &grantResponse{Outcome: p, Secret: n})
}

// propose sends a change to the replica group and waits until an applied one is in force on this host.
func (s *Server) propose(ctx context.Context, c *change.Change) (*changeoutcome.Outcome, error) {
	c.At = s.Timer.Now().UTC().Round(0)
	b, err := c.Encode()
	if err != nil {
		return nil, err
	}
	if _, err := change.Decode(b); err != nil {
		return nil, refusal.NewNotRun(400, "bad-change", err.Error())
	}
	a, err := s.Client.Propose(ctx, configurationGroup, b)
	if err != nil {
		s.Log.Warn().Err(err).Str("change-id", c.ID).Msg("outcome of the change is unknown")
		return nil, err
	}
	p, err := changeoutcome.Decode(a)
	if err != nil {
		return nil, err
	}
	s.Log.Info().Str("change-id", c.ID).Str("kind", c.Kind).Str("by", c.By).
		Str("status", p.Status).Uint64("version", p.Version).Msg("change")
	s.await(ctx, p)
	return p, nil
}

func (s *Server) await(ctx context.Context, p *changeoutcome.Outcome) {
	if p.Status != changeoutcome.Applied {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	if err := s.Configuration.Await(ctx, p.Version); err != nil {
		s.Log.Warn().Uint64("version", p.Version).Msg("accepted change is not yet in force on this host")
	}
}

// encodeOutcome encodes a response under the HTTP status of its outcome.
func encodeOutcome[T any](status string, v *T) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil || httpStatuses[status] == 200 {
		return b, err
	}
	s, ok := httpStatuses[status]
	if !ok {
		s = 500
	}
	return nil, &statusError{status: s, body: b}
}

func uintParameter(r *Request, name string, fallback uint64) (uint64, error) {
	q := r.Query(name)
	if q == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(q, 10, 64)
	if err != nil {
		return 0, refusal.NewNotRun(400, "bad-parameter", name+" must be a whole number")
	}
	return n, nil
}
