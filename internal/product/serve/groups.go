package serve

import (
	"context"
	"encoding/json"

	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/state/groupstatus"
	"siskinrun/internal/state/identity"
	"siskinrun/pkg/refusal"
)

// replacement asks that the disk of a host takes the place of an old member.
type replacement struct {
	Old  identity.Identity `json:"old"`
	Host string            `json:"host"`
}

var notControl = refusal.NewNotRun(503, "not-control", "this host keeps no replicated state; ask a control host")

// showGroups tells how the replica groups of this host stand.
func (p *parts) showGroups(context.Context, *operatorapi.Request) ([]byte, error) {
	if p.control == nil {
		return nil, notControl
	}
	l := []groupstatus.Status{}
	for _, g := range p.control.Groups() {
		l = append(l, p.control.Status(g))
	}
	return json.Marshal(l)
}

// replace puts a new disk in the place of an old member, going on where an earlier request stopped.
func (p *parts) replace(ctx context.Context, r *operatorapi.Request) ([]byte, error) {
	if p.control == nil {
		return nil, notControl
	}
	q := replacement{}
	if err := json.Unmarshal(r.Body, &q); err != nil {
		return nil, refusal.NewNotRun(400, "bad-request", err.Error())
	}
	if q.Old.IsZero() || q.Host == "" {
		return nil, refusal.NewNotRun(400, "bad-request", "the old member and the new host are needed")
	}
	if err := p.control.Replace(ctx, q.Old, q.Host); err != nil {
		return nil, err
	}
	return json.Marshal(q)
}
