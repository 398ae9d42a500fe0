package listing

import (
	"sort"

	"siskinrun/internal/config/difference"
	"siskinrun/internal/config/hoststatus"
	"siskinrun/internal/config/revision"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
)

// Listing is a response to operators in which only the requested parts are set.
type Listing struct {
	// Version is the configuration version in force on the answering host.
	Version uint64 `json:"version"`
	// Teams are the teams by name.
	Teams map[string]team.Team `json:"teams,omitempty"`
	// Routes are the routes by name.
	Routes map[string]route.Route `json:"routes,omitempty"`
	// Models are the models by name.
	Models map[string]model.Model `json:"models,omitempty"`
	// Keys are the granted keys, sorted by ID.
	Keys []Key `json:"keys,omitempty"`
	// Revisions are the kept versions, newest first.
	Revisions []revision.Revision `json:"revisions,omitempty"`
	// Differences are the fields in which two versions differ.
	Differences []difference.Difference `json:"differences,omitempty"`
	// Hosts are the hosts, sorted by name.
	Hosts []hoststatus.Status `json:"hosts,omitempty"`
}

// Key is a granted key without its hash, against which a secret could be checked.
type Key struct {
	// ID names the key.
	ID string `json:"id"`
	// Team is the team that the key belongs to.
	Team string `json:"team"`
}

// All lists every part of a configuration.
func All(c *configuration.Configuration) *Listing {
	l := &Listing{Version: c.Version, Teams: c.Teams, Routes: c.Routes, Models: c.Models}
	l.Keys = Keys(c, "").Keys
	return l
}

// Teams lists the teams of a configuration.
func Teams(c *configuration.Configuration) *Listing {
	return &Listing{Version: c.Version, Teams: c.Teams}
}

// Keys lists the keys of one team, or of all teams if the name is empty.
func Keys(c *configuration.Configuration, team string) *Listing {
	l := &Listing{Version: c.Version}
	for _, k := range c.Keys {
		if team == "" || team == k.Team {
			l.Keys = append(l.Keys, Key{ID: k.ID, Team: k.Team})
		}
	}
	sort.Slice(l.Keys, func(i, j int) bool { return l.Keys[i].ID < l.Keys[j].ID })
	return l
}

// Configuration returns the teams, routes and models of the listing.
func (l *Listing) Configuration() *configuration.Configuration {
	return &configuration.Configuration{
		Version: l.Version,
		Teams:   l.Teams,
		Routes:  l.Routes,
		Models:  l.Models,
	}
}
