package configuration

import (
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/service"
	"siskinrun/internal/data/team"
	"siskinrun/internal/state/formation"
)

// Configuration is one immutable version of all teams, keys, routes and models.
type Configuration struct {
	// Version grows by one with each accepted change.
	Version uint64 `json:"version"`
	// Edition is the operator's number of a configuration installed as a whole, 0 if it was built by single changes.
	Edition uint64 `json:"edition,omitempty"`
	// Teams are the teams by name.
	Teams map[string]team.Team `json:"teams"`
	// Keys are the API keys by ID.
	Keys map[string]key.Key `json:"keys"`
	// Routes are the routes by name.
	Routes map[string]route.Route `json:"routes"`
	// Models are the models by name.
	Models map[string]model.Model `json:"models"`
	// Services are the services by name. If there are none, any service name is valid.
	Services map[string]service.Service `json:"services,omitempty"`
	// Retiring is the set of hosts that are giving up their stored state.
	Retiring map[string]bool `json:"retiring,omitempty"`
	// Evacuated is the set of failure domains whose upstreams get no work.
	Evacuated map[string]bool `json:"evacuated,omitempty"`
	// Ledgers is the initial membership of the batch ledgers' replica groups, if it is decided here.
	Ledgers formation.Formation `json:"ledgers,omitzero"`
}
