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
	// Edition is the number that the operator gave to the whole configuration, 0 if it was built by single changes.
	Edition uint64 `json:"edition,omitempty"`
	// Teams are the teams by name.
	Teams map[string]team.Team `json:"teams"`
	// Keys are the granted keys by ID.
	Keys map[string]key.Key `json:"keys"`
	// Routes are the routes by name.
	Routes map[string]route.Route `json:"routes"`
	// Models are the models by name.
	Models map[string]model.Model `json:"models"`
	// Services are the services by name; where there are none, any name will do.
	Services map[string]service.Service `json:"services,omitempty"`
	// Retiring are the hosts that give up the state that they keep.
	Retiring map[string]bool `json:"retiring,omitempty"`
	// Ledgers is the first membership of the groups that keep batch ledgers, where it is decided here.
	Ledgers formation.Formation `json:"ledgers,omitzero"`
}
