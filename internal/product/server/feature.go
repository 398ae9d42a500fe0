package server

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/memberfeatures"
	"siskinrun/internal/data/feature"
	"siskinrun/internal/state/control"
	"siskinrun/internal/state/disk"
	"siskinrun/internal/state/identity"
	"siskinrun/pkg/refusal"
)

const (
	// featureRetryAfter is the time in which hosts that have just been replaced tell the others what they know.
	featureRetryAfter = time.Second
	// featuresInterval is the time between two looks at what members report. A report is in the gossip for as long as its host
	// is alive and 30 s more, so none is missed.
	featuresInterval = 500 * time.Millisecond
	// featuresFile is the file of the data folder that holds what members reported.
	featuresFile = "member-features"
)

// featureUnknown refuses a change that a control host would not understand and so not apply, unlike the others.
var featureUnknown = refusal.NewNotRun(503, "older-hosts", "a control host of an older build doesn't know this change").
	WithRetryAfter(featureRetryAfter)

// memberReports is what the members of the group of the configuration last reported; it is safe for concurrent use.
type memberReports struct {
	mu    sync.Mutex
	table *memberfeatures.Table
	// disk holds the reports over restarts, nil on a host without the group.
	disk *disk.Disk
}

// requireFeature refuses unless all members of the group of the configuration, voters and learners, alive or not, have reported
// a feature of the replicated configuration. Nothing that uses the feature is proposed before.
func (p *components) requireFeature(ctx context.Context, f feature.Set) error {
	l, err := p.configurationMembers(ctx)
	if err != nil {
		return err
	}
	if p.store == nil {
		l = withoutDisks(l)
	}
	p.features.mu.Lock()
	defer p.features.mu.Unlock()
	if p.store != nil {
		p.observeMembers(l)
	} else {
		p.observeHosts()
	}
	h := p.features.table.Lacking(l, f)
	if h == "" {
		return nil
	}
	p.server.Log.Warn().Str("peer", h).Msg("control host of an older build, change refused")
	return featureUnknown.WithJitter()
}

// configurationMembers returns the committed members of the group of the configuration, as its leader knows them.
func (p *components) configurationMembers(ctx context.Context) ([]identity.Identity, error) {
	q, err := control.EncodeMembersRequest(configurationGroup)
	if err != nil {
		return nil, err
	}
	b, err := p.client.CallLeader(ctx, configurationGroup, control.MethodMembers, q)
	if err != nil && refusal.Of(err).Code == control.CodeMembersChanging {
		return nil, refusal.Of(err).WithRetryAfter(featureRetryAfter).WithJitter()
	}
	if err != nil {
		return nil, err
	}
	return control.DecodeMembers(b)
}

// followFeatures keeps what members report until ctx ends, so that it is known of those that are lost later.
func (p *components) followFeatures(ctx context.Context) error {
	p.loadFeatures()
	defer func() {
		if p.features.disk != nil {
			_ = p.features.disk.Close() // each report was stored durably
		}
	}()
	for {
		p.followMembers()
		if err := p.server.timer.Sleep(ctx, featuresInterval); err != nil {
			return err
		}
	}
}

// followMembers takes over what the gossip says of the members that this host knows.
func (p *components) followMembers() {
	var l []identity.Identity
	if p.store != nil {
		l = p.localMembers()
	}
	p.features.mu.Lock()
	defer p.features.mu.Unlock()
	switch {
	case p.store == nil:
		p.observeHosts()
	case len(l) > 0:
		p.observeMembers(l)
	}
}

// localMembers returns the members of the group of the configuration as the replica of this host knows them.
func (p *components) localMembers() []identity.Identity {
	var l []identity.Identity
	for _, m := range p.control.Status(configurationGroup).Members {
		l = append(l, m.Identity)
	}
	return l
}

// observeMembers takes over what the gossip says of the members and stores it. A host that can't store it forgets it at its
// next start, and then refuses changes until a member that it has not heard from is replaced.
func (p *components) observeMembers(l []identity.Identity) {
	t := &p.features
	if !t.table.Observe(l, p.gossip.Hosts()) || t.disk == nil {
		return
	}
	b, err := t.table.Encode()
	if err == nil {
		err = t.disk.Replace(featuresFile, b)
	}
	if err != nil {
		p.server.Log.Warn().Err(err).Msg("features of control hosts not stored")
	}
}

// observeHosts takes over what the gossip says of control hosts, on a host that does not know which of them are members.
func (p *components) observeHosts() {
	hosts := p.gossip.Hosts()
	l := p.features.table.Hosts()
	for _, h := range hosts {
		if h.Control {
			l = append(l, identity.Identity{Host: h.Name})
		}
	}
	p.features.table.Observe(l, hosts)
}

// loadFeatures reads what members reported before this start.
func (p *components) loadFeatures() {
	if p.store == nil {
		return
	}
	p.features.mu.Lock()
	defer p.features.mu.Unlock()
	d, err := disk.NewDisk(p.dataFolder())
	if err != nil {
		p.server.Log.Warn().Err(err).Msg("features of control hosts not stored")
		return
	}
	p.features.disk = d
	b, err := d.Read(featuresFile)
	if err == nil {
		err = p.features.table.Decode(b)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		p.server.Log.Warn().Err(err).Msg("features of control hosts not read")
	}
}

// withoutDisks returns members by their hosts alone.
func withoutDisks(l []identity.Identity) []identity.Identity {
	n := make([]identity.Identity, 0, len(l))
	for _, i := range l {
		n = append(n, identity.Identity{Host: i.Host})
	}
	return n
}
