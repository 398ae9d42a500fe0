package server

import (
	"context"
	"encoding/json"

	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/state/groupstatus"
	"siskinrun/internal/state/identity"
	"siskinrun/pkg/refusal"
)

// replacement is a request to replace an old member by the disk of a host.
type replacement struct {
	Old  identity.Identity `json:"old"`
	Host string            `json:"host"`
}

var notControlHost = refusal.NewNotRun(503, "not-control", "this host keeps no replicated state; ask a control host")

// showGroups returns the status of the replica groups on this host.
func (p *components) showGroups(context.Context, *operatorapi.Request) ([]byte, error) {
	if p.control == nil {
		return nil, notControlHost
	}
	l := []groupstatus.Status{}
	for _, g := range p.control.Groups() {
		l = append(l, p.control.Status(g))
	}
	return json.Marshal(l)
}

// replace replaces an old member by a new disk and resumes where an earlier request stopped.
func (p *components) replace(ctx context.Context, r *operatorapi.Request) ([]byte, error) {
	if p.control == nil {
		return nil, notControlHost
	}
	q := replacement{}
	if err := json.Unmarshal(r.Body, &q); err != nil {
		return nil, refusal.NewNotRun(400, "bad-request", err.Error())
	}
	if q.Old.IsZero() || q.Host == "" {
		return nil, refusal.NewNotRun(400, "bad-request", "the request must name the old member and the new host")
	}
	if err := p.control.Replace(ctx, q.Old, q.Host); err != nil {
		return nil, err
	}
	return json.Marshal(q)
}
