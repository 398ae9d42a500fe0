package rolecost

import (
	"github.com/cockroachdb/errors"

	"siskinrun/internal/measure/costcurve"
)

const (
	// BudgetCores is the share of a core that the control plane may use on a node.
	BudgetCores = 0.017
	// BudgetMemory is the memory in bytes that the control plane may use on a node.
	BudgetMemory = 32e6
	// BudgetNetwork is the number of bytes per second that the control plane may send from a node.
	BudgetNetwork = 19e3

	hosts                 = 320
	controlHosts          = 8
	hostsPerDomain        = 22
	requestsPerSecond     = 6500.0
	itemsPerDay           = 160e6
	changesPerDay         = 1300.0
	secondsPerDay         = 86400.0
	nanosecondsPerSecond  = 1e9
	millisecondsPerSecond = 1e3
)

// Role holds the costs of one kind of host.
type Role struct {
	// Name is the name of the role.
	Name string
	// Costs are the costs of its parts.
	Costs []Cost
}

// Cost is the cost of one part; a value that was not measured is NotMeasured.
type Cost struct {
	// Part names the part.
	Part string
	// Mechanism describes how the part works.
	Mechanism string
	// Memory is the size of its state in bytes.
	Memory float64
	// Messages is the number of messages per second.
	Messages float64
	// Network is the number of bytes sent per second.
	Network float64
	// Cores is the CPU time as a share of a core.
	Cores float64
}

// NotMeasured marks a value without a measurement.
const NotMeasured = -1

// costTable looks up measured costs and lists those that are missing.
type costTable struct {
	curves  []*costcurve.Curve
	missing []string
}

// atTarget returns a cost, extrapolated to its target size.
func (t *costTable) atTarget(area, metric, dimension string) float64 {
	s := t.curve(area, metric, dimension)
	if s == nil {
		return NotMeasured
	}
	return s.Fit().At(s.Target)
}

// perUnit returns the cost of one more unit of a dimension.
func (t *costTable) perUnit(area, metric, dimension string) float64 {
	s := t.curve(area, metric, dimension)
	if s == nil {
		return NotMeasured
	}
	return s.Fit().Slope
}

func (t *costTable) curve(area, metric, dimension string) *costcurve.Curve {
	for _, s := range t.curves {
		if s.Area == area && s.Metric == metric && s.Dimension == dimension {
			return s
		}
	}
	t.missing = append(t.missing, area+", "+metric+", "+dimension)
	return nil
}

// Roles returns the costs of each role at the target size.
func Roles(curves []*costcurve.Curve) ([]Role, error) {
	b := &costTable{curves: curves}
	l := []Role{b.entryHost(), b.relayHost(), b.controlHost()}
	if len(b.missing) > 0 {
		return nil, errors.Newf("not measured: %v", b.missing)
	}
	return l, nil
}

// relayHost is an entry host that also relays deltas to the hosts of its failure domain.
func (t *costTable) relayHost() Role {
	r := t.entryHost()
	r.Name = "relay host of a failure domain"
	n := changesPerDay / secondsPerDay * hostsPerDomain
	r.Costs = append(r.Costs, Cost{
		Part:      "deltas to 22 hosts",
		Mechanism: "each accepted change goes to each host; repeated asks of hosts not measured",
		Messages:  n,
		Network:   n * t.atTarget("configuration", "delta bytes a change", "teams"),
		Cores:     NotMeasured,
	})
	return r
}

// entryHost is a host that accepts calls.
func (t *costTable) entryHost() Role {
	perHost := requestsPerSecond / hosts
	return Role{"entry host", []Cost{
		{
			Part: "membership and load", Mechanism: "questions to random peers, five a second",
			Memory: t.atTarget("membership", "state bytes a host", "upstreams"), Messages: t.atTarget("membership", "messages/s a host", "upstreams"),
			Network: t.atTarget("membership", "bytes/s a host", "upstreams"),
			Cores:   t.atTarget("membership", "processor ns/s a host", "upstreams") / nanosecondsPerSecond,
		},
		{
			Part: "choice of upstream", Mechanism: "local state, one choice a call", Network: 0,
			Memory: t.atTarget("choose-upstream", "state bytes", "upstreams"),
			Cores:  perHost * t.atTarget("choose-upstream", "ns a choice", "upstreams") / nanosecondsPerSecond,
		},
		{
			Part: "admission", Mechanism: "grants held here; asks to the owner not measured", Messages: NotMeasured, Network: NotMeasured,
			Memory: t.atTarget("admission", "state bytes", "teams"),
			Cores:  perHost * t.atTarget("admission", "ns an admission", "teams") / nanosecondsPerSecond,
		},
		{
			Part: "fair queue, all teams waiting", Mechanism: "local state",
			Memory: t.atTarget("fair queue", "state bytes", "waiting teams"),
			Cores:  perHost * t.atTarget("fair queue", "ns a push and pop", "waiting teams") / nanosecondsPerSecond,
		},
		{
			Part: "configuration", Mechanism: "deltas from the control hosts, down the failure domain",
			Memory:   t.atTarget("configuration", "state bytes", "teams") + t.atTarget("configuration", "state bytes", "keys") + t.atTarget("configuration", "state bytes", "routes"),
			Messages: changesPerDay / secondsPerDay,
			Network:  changesPerDay / secondsPerDay * t.atTarget("configuration", "delta bytes a change", "teams"),
			Cores:    NotMeasured,
		},
		{
			Part: "burn and decisions", Mechanism: "local state, read on request",
			Memory: t.atTarget("burn", "state bytes", "series") + t.atTarget("decisions", "state bytes", "decisions"),
			Cores:  perHost * (t.atTarget("burn", "ns a record", "series") + t.atTarget("decisions", "ns a record", "decisions")) / nanosecondsPerSecond,
		},
	}}
}

// controlHost is a host that runs all replica groups.
func (t *costTable) controlHost() Role {
	items := itemsPerDay / secondsPerDay
	return Role{"control host", []Cost{
		{
			Part: "idle replica groups", Mechanism: "heartbeats of 17 groups between 3 hosts, batched",
			Memory: NotMeasured, Messages: t.atTarget("replica", "packets/s a host", "groups"),
			Network: t.atTarget("replica", "bytes/s a host", "groups"),
			Cores:   t.atTarget("replica", "processor ms/s a host", "groups") / millisecondsPerSecond,
		},
		{
			Part: "ledger, items of one day", Mechanism: "every control host applies the log of every group",
			Memory: itemsPerDay * t.perUnit("ledger", "state bytes of open and done items", "items"), Messages: NotMeasured,
			Network: items * t.perUnit("ledger", "log bytes", "items") * (controlHosts - 1) / controlHosts,
			Cores:   items * t.perUnit("ledger", "ns to accept, lease and complete", "items") / nanosecondsPerSecond,
		},
		{
			Part: "ledger, jobs of one day", Mechanism: "state of each job beside its items", Messages: NotMeasured, Network: NotMeasured, Cores: NotMeasured,
			Memory: t.jobStateBytes(),
		},
		{
			Part: "configuration", Mechanism: "replica group 0",
			Memory:   t.atTarget("configuration", "state bytes", "teams") + t.atTarget("configuration", "state bytes", "keys") + t.atTarget("configuration", "state bytes", "routes"),
			Messages: NotMeasured, Network: NotMeasured,
			Cores: changesPerDay / secondsPerDay * t.atTarget("configuration", "ns to apply a change", "keys") / nanosecondsPerSecond,
		},
	}}
}

// jobStateBytes returns the state of a day's jobs without that of their items.
func (t *costTable) jobStateBytes() float64 {
	const probeItems = 100
	j := t.curve("ledger", "state bytes of jobs of 100 items", "jobs")
	i := t.curve("ledger", "state bytes of open and done items", "items")
	if j == nil || i == nil {
		return NotMeasured
	}
	return max(0, j.Target*(j.Fit().Slope-probeItems*i.Fit().Slope))
}

// Sum returns the sum of the measured costs of a role.
func (r Role) Sum() Cost {
	s := Cost{Part: "sum of what was measured"}
	for _, c := range r.Costs {
		s.Memory += max(c.Memory, 0)
		s.Messages += max(c.Messages, 0)
		s.Network += max(c.Network, 0)
		s.Cores += max(c.Cores, 0)
	}
	return s
}
