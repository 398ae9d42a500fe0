package server

import (
	"context"
	"slices"

	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/state/control"
	"siskinrun/internal/state/identity"
	"siskinrun/pkg/refusal"
)

var (
	unknownLedgerHost = refusal.NewNotRun(404, "unknown-host", "no host of this name keeps ledgers")
	tooFewLedgerHosts = refusal.NewNotRun(409, "too-few-hosts", "too few hosts would be left to keep the ledgers")
)

// retire makes a host give up the ledgers that it keeps if enough other hosts remain.
func (p *components) retire(ctx context.Context, label string) error {
	h, ok := p.ledgerHost(label)
	if !ok {
		return unknownLedgerHost
	}
	r := p.store.View().Retiring
	if r[h] {
		return nil
	}
	left := 0
	for n := range p.ledgerHosts() {
		if n != h && !r[n] {
			left++
		}
	}
	if left < p.voters() {
		return tooFewLedgerHosts
	}
	c := &change.Change{ID: "retire-" + h, By: "operator", Kind: change.Retire, Name: h, At: p.server.timer.Now()}
	b, err := c.Encode()
	if err != nil {
		return err
	}
	a, err := p.client.Propose(ctx, configurationGroup, b)
	if err != nil {
		return err
	}
	o, err := changeoutcome.Decode(a)
	if err != nil {
		return err
	}
	p.server.Log.Info().Str("retiring", h).Str("status", o.Status).Msg("host is retiring")
	if o.Status != changeoutcome.Applied {
		return refusal.NewNotRun(409, o.Status, o.Message)
	}
	return nil
}

// retired reports whether a retiring host has left every ledger group.
func (p *components) retired(ctx context.Context, label string) (bool, error) {
	h, ok := p.ledgerHost(label)
	if !ok {
		return false, unknownLedgerHost
	}
	if !p.store.View().Retiring[h] {
		return false, nil
	}
	for g := uint32(1); g <= p.ledgerGroups(); g++ {
		q, err := control.EncodeMembersRequest(g)
		if err != nil {
			return false, err
		}
		b, err := p.client.CallLeader(ctx, g, control.MethodMembers, q)
		if err != nil && refusal.Of(err).Code == control.CodeMembersChanging {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		l, err := control.DecodeMembers(b)
		if err != nil || slices.ContainsFunc(l, func(i identity.Identity) bool { return i.Host == h }) {
			return false, err
		}
	}
	return true, nil
}

// ledgerHost returns the name of the host with this name or label that keeps ledgers.
func (p *components) ledgerHost(label string) (string, bool) {
	if p.store == nil {
		return "", false
	}
	for _, h := range p.gossip.Hosts() {
		if h.Ledgers && (h.Label == label || h.Name == label) {
			return h.Name, true
		}
	}
	return "", false
}
