package role

import (
	"github.com/cockroachdb/errors"

	"siskinrun/internal/measure/slope"
)

const (
	// BudgetCore is the share of a core that control may take on a node.
	BudgetCore = 0.017
	// BudgetMemory is the memory in bytes that control may take on a node.
	BudgetMemory = 32e6
	// BudgetNetwork is the bytes a second that control may send from a node.
	BudgetNetwork = 19e3

	hosts           = 320
	controlHosts    = 8
	domainHosts     = 22
	requestsASecond = 6500.0
	itemsADay       = 160e6
	changesADay     = 1300.0
	secondsADay     = 86400.0
	nanoseconds     = 1e9
	milliseconds    = 1e3
)

// Role is what one kind of host spends.
type Role struct {
	// Name names the role.
	Name string
	// Costs are its parts.
	Costs []Cost
}

// Cost is what one part spends; what was not measured is below zero.
type Cost struct {
	// Part names what is paid for.
	Part string
	// Mechanism says what carries it.
	Mechanism string
	// Memory is the state in bytes.
	Memory float64
	// Messages are the messages a second.
	Messages float64
	// Network is the bytes a second.
	Network float64
	// Core is the share of a core.
	Core float64
}

// NotMeasured stands for a figure without a measurement.
const NotMeasured = -1

// book looks measured costs up.
type book struct {
	slopes  []*slope.Slope
	missing []string
}

// at returns a cost at its target.
func (b *book) at(area, figure, size string) float64 {
	s := b.find(area, figure, size)
	if s == nil {
		return NotMeasured
	}
	return s.Fit().At(s.Target)
}

// each returns what one more of a size costs.
func (b *book) each(area, figure, size string) float64 {
	s := b.find(area, figure, size)
	if s == nil {
		return NotMeasured
	}
	return s.Fit().Slope
}

func (b *book) find(area, figure, size string) *slope.Slope {
	for _, s := range b.slopes {
		if s.Area == area && s.Figure == figure && s.Size == size {
			return s
		}
	}
	b.missing = append(b.missing, area+", "+figure+", "+size)
	return nil
}

// Roles returns the roles at the target size, for a number of replica groups.
func Roles(slopes []*slope.Slope) ([]Role, error) {
	b := &book{slopes: slopes}
	l := []Role{b.entry(), b.relay(), b.control()}
	if len(b.missing) > 0 {
		return nil, errors.Newf("not measured: %v", b.missing)
	}
	return l, nil
}

// relay is an entry host that passes deltas on to the hosts of its failure domain.
func (b *book) relay() Role {
	r := b.entry()
	r.Name = "relay host of a failure domain"
	n := changesADay / secondsADay * domainHosts
	r.Costs = append(r.Costs, Cost{
		Part:      "deltas to 22 hosts",
		Mechanism: "each accepted change goes to each host; repeated asks of hosts not measured",
		Messages:  n,
		Network:   n * b.at("configuration", "delta bytes a change", "teams"),
		Core:      NotMeasured,
	})
	return r
}

// entry is a host that takes calls.
func (b *book) entry() Role {
	perHost := requestsASecond / hosts
	return Role{"entry host", []Cost{
		{
			Part: "membership and load", Mechanism: "questions to random peers, five a second",
			Memory: b.at("membership", "state bytes a host", "upstreams"), Messages: b.at("membership", "messages/s a host", "upstreams"),
			Network: b.at("membership", "bytes/s a host", "upstreams"),
			Core:    b.at("membership", "processor ns/s a host", "upstreams") / nanoseconds,
		},
		{
			Part: "choice of upstream", Mechanism: "local state, one choice a call", Network: 0,
			Memory: b.at("choose-upstream", "state bytes", "upstreams"),
			Core:   perHost * b.at("choose-upstream", "ns a choice", "upstreams") / nanoseconds,
		},
		{
			Part: "admission", Mechanism: "grants held here; asks to the owner not measured", Messages: NotMeasured, Network: NotMeasured,
			Memory: b.at("admission", "state bytes", "teams"),
			Core:   perHost * b.at("admission", "ns an admission", "teams") / nanoseconds,
		},
		{
			Part: "fair queue, all teams waiting", Mechanism: "local state",
			Memory: b.at("fair queue", "state bytes", "waiting teams"),
			Core:   perHost * b.at("fair queue", "ns a push and pop", "waiting teams") / nanoseconds,
		},
		{
			Part: "configuration", Mechanism: "deltas from the control hosts, down the failure domain",
			Memory:   b.at("configuration", "state bytes", "teams") + b.at("configuration", "state bytes", "keys") + b.at("configuration", "state bytes", "routes"),
			Messages: changesADay / secondsADay,
			Network:  changesADay / secondsADay * b.at("configuration", "delta bytes a change", "teams"),
			Core:     NotMeasured,
		},
		{
			Part: "burn and decisions", Mechanism: "local state, read on request",
			Memory: b.at("burn", "state bytes", "series") + b.at("decisions", "state bytes", "decisions"),
			Core:   perHost * (b.at("burn", "ns a record", "series") + b.at("decisions", "ns a record", "decisions")) / nanoseconds,
		},
	}}
}

// control is a host that keeps all replica groups.
func (b *book) control() Role {
	items := itemsADay / secondsADay
	return Role{"control host", []Cost{
		{
			Part: "idle replica groups", Mechanism: "heartbeats of 17 groups between 3 hosts, batched",
			Memory: NotMeasured, Messages: b.at("replica", "packets/s a host", "groups"),
			Network: b.at("replica", "bytes/s a host", "groups"),
			Core:    b.at("replica", "processor ms/s a host", "groups") / milliseconds,
		},
		{
			Part: "ledger, items of one day", Mechanism: "every control host applies the log of every group",
			Memory: itemsADay * b.each("ledger", "state bytes of open and done items", "items"), Messages: NotMeasured,
			Network: items * b.each("ledger", "log bytes", "items") * (controlHosts - 1) / controlHosts,
			Core:    items * b.each("ledger", "ns to accept, lease and complete", "items") / nanoseconds,
		},
		{
			Part: "ledger, jobs of one day", Mechanism: "state of each job beside its items", Messages: NotMeasured, Network: NotMeasured, Core: NotMeasured,
			Memory: b.jobs(),
		},
		{
			Part: "configuration", Mechanism: "replica group 0",
			Memory:   b.at("configuration", "state bytes", "teams") + b.at("configuration", "state bytes", "keys") + b.at("configuration", "state bytes", "routes"),
			Messages: NotMeasured, Network: NotMeasured,
			Core: changesADay / secondsADay * b.at("configuration", "ns to apply a change", "keys") / nanoseconds,
		},
	}}
}

// jobs returns the state of a day's jobs without that of their items.
func (b *book) jobs() float64 {
	const probeItems = 100
	j := b.find("ledger", "state bytes of jobs of 100 items", "jobs")
	i := b.find("ledger", "state bytes of open and done items", "items")
	if j == nil || i == nil {
		return NotMeasured
	}
	return max(0, j.Target*(j.Fit().Slope-probeItems*i.Fit().Slope))
}

// Sum adds the measured costs of a role up.
func (r Role) Sum() Cost {
	s := Cost{Part: "sum of what was measured"}
	for _, c := range r.Costs {
		s.Memory += max(c.Memory, 0)
		s.Messages += max(c.Messages, 0)
		s.Network += max(c.Network, 0)
		s.Core += max(c.Core, 0)
	}
	return s
}
