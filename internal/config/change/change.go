package change

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/delta"
	"siskinrun/internal/config/validation"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
	"siskinrun/internal/state/formation"
)

// Kinds of changes.
const (
	SetTeam     = "set-team"
	RemoveTeam  = "remove-team"
	SetRoute    = "set-route"
	RemoveRoute = "remove-route"
	SetModel    = "set-model"
	RemoveModel = "remove-model"
	GrantKey    = "grant-key"
	WithdrawKey = "withdraw-key"
	Replace     = "replace"
	RollBack    = "roll-back"
	// Install replaces teams, routes, models, keys and services by an edition of the configuration.
	Install = "install"
	// Retire makes a host give up the replicated state that it holds.
	Retire = "retire"
	// BeginEvacuation takes the upstreams of a failure domain out of use; it changes nothing if they are already.
	BeginEvacuation = "begin-evacuation"
	// FinishEvacuation lets the upstreams of a failure domain get work again; it changes nothing if they may already.
	FinishEvacuation = "finish-evacuation"
	// Form sets the initial membership of the batch ledgers, once.
	Form = "form"
)

const (
	maxIDBytes = 128
	maxByBytes = 128
	// maxEvacuated bounds the configuration; no fleet has as many failure domains.
	maxEvacuated   = 1024
	maxDomainBytes = 256
)

// Change is one change that an operator makes, based on a version that the operator has seen.
type Change struct {
	// ID is chosen by the operator and stays the same when the change is resent.
	ID string `json:"id"`
	// Base is the version that the change was made against.
	Base uint64 `json:"base"`
	// By names the operator.
	By string `json:"by,omitempty"`
	// At is when a host received the change.
	At time.Time `json:"at,omitzero"`
	// Kind says which of the fields below are used.
	Kind string `json:"kind"`
	// Name is the entry that is set, removed, granted or withdrawn, the host that retires, or the failure domain that is evacuated.
	Name string `json:"name,omitempty"`
	// Team is the team to set.
	Team *team.Team `json:"team,omitempty"`
	// Route is the route to set.
	Route *route.Route `json:"route,omitempty"`
	// Model is the model to set.
	Model *model.Model `json:"model,omitempty"`
	// Key is the key to grant, with the hash of its secret and never the secret itself.
	Key *key.Key `json:"key,omitempty"`
	// Edition is the number that the operator gives to an installed configuration.
	Edition uint64 `json:"edition,omitempty"`
	// Document is the text of the whole configuration as the operator wrote it, kept to be read back.
	Document []byte `json:"document,omitempty"`
	// Whole holds the teams, routes and models that replace all others, without a version and, unless installed, without keys.
	Whole *configuration.Configuration `json:"whole,omitempty"`
	// Ledgers is the initial membership of the batch ledgers, for a change that forms them.
	Ledgers *formation.Formation `json:"ledgers,omitempty"`
	// To is the version whose teams, routes and models are restored by a rollback.
	To uint64 `json:"to,omitempty"`
}

// Decode reads a change strictly and checks that its fields fit its kind.
func Decode(b []byte) (*Change, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	c := &Change{}
	if err := d.Decode(c); err != nil {
		return nil, errors.Wrap(err, "decode change")
	}
	if d.More() {
		return nil, errors.New("decode change: bytes follow the change")
	}
	return c, c.check()
}

// Encode returns the change as JSON.
func (c *Change) Encode() ([]byte, error) {
	return json.Marshal(c)
}

// Digest returns a hash of the change without its base, operator and time, so that a resend has the same digest.
func (c *Change) Digest() ([sha256.Size]byte, error) {
	n := *c
	n.Base, n.By, n.At = 0, "", time.Time{}
	b, err := json.Marshal(&n)
	return sha256.Sum256(b), err
}

// Apply returns the next version of a configuration and the delta to it, or the problems that make the change invalid.
func (c *Change) Apply(
	now *configuration.Configuration,
	version func(uint64) (*configuration.Configuration, bool),
) (*configuration.Configuration, *delta.Delta, []validation.Problem) {
	n := *now
	n.Version++
	var p []validation.Problem
	switch c.Kind {
	case SetTeam:
		n.Teams = with(now.Teams, c.Name, *c.Team)
	case RemoveTeam:
		n.Teams, p = without(now.Teams, "teams", c.Name)
	case SetRoute:
		n.Routes = with(now.Routes, c.Name, *c.Route)
	case RemoveRoute:
		n.Routes, p = without(now.Routes, "routes", c.Name)
	case SetModel:
		n.Models = with(now.Models, c.Name, *c.Model)
	case RemoveModel:
		n.Models, p = without(now.Models, "models", c.Name)
	case GrantKey:
		n.Keys, p = grant(now.Keys, *c.Key)
	case WithdrawKey:
		n.Keys, p = without(now.Keys, "keys", c.Name)
	case Replace:
		n.Teams, n.Routes, n.Models = c.Whole.Teams, c.Whole.Routes, c.Whole.Models
	case RollBack:
		p = c.rollBack(&n, version)
	case Install:
		return c.install(now, &n)
	case Retire:
		n.Retiring = with(now.Retiring, c.Name, true)
	case BeginEvacuation:
		n.Evacuated, p = evacuate(now.Evacuated, c.Name)
	case FinishEvacuation:
		n.Evacuated = maps.Clone(now.Evacuated)
		delete(n.Evacuated, c.Name)
	case Form:
		if !now.Ledgers.IsZero() {
			p = []validation.Problem{{Field: "ledgers", Message: "are formed already"}}
		}
		n.Ledgers = *c.Ledgers
	}
	if len(p) > 0 {
		return nil, nil, p
	}
	d := delta.Between(now, &n)
	return &n, d, validation.ValidateDelta(&n, d)
}

// install replaces teams, routes, models, keys and services, whatever the base of the change.
func (c *Change) install(now, n *configuration.Configuration) (*configuration.Configuration, *delta.Delta, []validation.Problem) {
	n.Edition = c.Edition
	n.Teams, n.Routes, n.Models = c.Whole.Teams, c.Whole.Routes, c.Whole.Models
	n.Keys, n.Services = c.Whole.Keys, c.Whole.Services
	if p := validation.Validate(n); len(p) > 0 {
		return nil, nil, p
	}
	return n, delta.Between(now, n), nil
}

// rollBack restores the teams, routes and models of an earlier version and leaves keys as they are.
func (c *Change) rollBack(
	n *configuration.Configuration,
	version func(uint64) (*configuration.Configuration, bool),
) []validation.Problem {
	old, ok := version(c.To)
	if !ok {
		return []validation.Problem{{Field: "to", Message: "that version is not kept"}}
	}
	n.Teams, n.Routes, n.Models = old.Teams, old.Routes, old.Models
	return nil
}

func (c *Change) check() error {
	if c.ID == "" || len(c.ID) > maxIDBytes {
		return errors.Newf("id must have 1 to %d bytes", maxIDBytes)
	}
	if len(c.By) > maxByBytes {
		return errors.Newf("by must have up to %d bytes", maxByBytes)
	}
	need := map[string]bool{
		SetTeam:     c.Team != nil && c.Name != "",
		RemoveTeam:  c.Name != "",
		SetRoute:    c.Route != nil && c.Name != "",
		RemoveRoute: c.Name != "",
		SetModel:    c.Model != nil && c.Name != "",
		RemoveModel: c.Name != "",
		GrantKey:    c.Key != nil && c.Key.ID != "",
		WithdrawKey: c.Name != "",
		Replace:     c.Whole != nil,
		RollBack:    c.To != 0,
		Install:     c.Whole != nil && c.Edition != 0,
		Retire:      c.Name != "",
		Form:        c.Ledgers != nil && c.Ledgers.Formed,

		BeginEvacuation:  c.Name != "",
		FinishEvacuation: c.Name != "",
	}
	ok, known := need[c.Kind]
	if !known {
		return errors.Newf("kind %q is unknown", c.Kind)
	}
	if !ok {
		return errors.Newf("a field that %s needs is missing", c.Kind)
	}
	if c.Whole != nil && (c.Whole.Version != 0 || len(c.Whole.Keys) > 0 && c.Kind != Install) {
		return errors.New("whole has a version or keys")
	}
	return nil
}

func with[T any](m map[string]T, name string, v T) map[string]T {
	n := make(map[string]T, len(m)+1)
	maps.Copy(n, m)
	n[name] = v
	return n
}

// evacuate adds a failure domain to the evacuated ones, in a copy.
func evacuate(m map[string]bool, domain string) (map[string]bool, []validation.Problem) {
	if len(domain) > maxDomainBytes {
		return nil, []validation.Problem{{Field: "evacuated", Message: "has a name that is too long"}}
	}
	if len(m) >= maxEvacuated && !m[domain] {
		return nil, []validation.Problem{{Field: "evacuated", Message: "holds too many failure domains"}}
	}
	return with(m, domain, true), nil
}

func without[T any](m map[string]T, section, name string) (map[string]T, []validation.Problem) {
	if _, ok := m[name]; !ok {
		return nil, []validation.Problem{{Field: section + "." + name, Message: "does not exist"}}
	}
	n := maps.Clone(m)
	delete(n, name)
	return n, nil
}

func grant(m map[string]key.Key, k key.Key) (map[string]key.Key, []validation.Problem) {
	if _, ok := m[k.ID]; ok {
		return nil, []validation.Problem{{Field: "keys." + k.ID, Message: "is granted already"}}
	}
	return with(m, k.ID, k), nil
}
