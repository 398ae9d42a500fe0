package costprobe

import (
	"bytes"
	"fmt"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/delta"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
)

const (
	fixedTeams  = 10
	changedRate = 99 // differs from the rates that cpuTimePerRun has set
)

// measureTeams, measureKeys and measureRoutes each measure a configuration of which one part grows.
func (p *Probe) measureTeams() error {
	return p.measureConfiguration("teams", TargetTeams, []int{250, 500, 1000, 2000}, func(c *configuration.Configuration, n int) {
		setTeams(c, n)
	})
}

func (p *Probe) measureKeys() error {
	return p.measureConfiguration("keys", TargetKeys, []int{500, 1000, 2000}, nil)
}

func (p *Probe) measureRoutes() error {
	return p.measureConfiguration("routes", TargetRoutes, []int{25, 50, 100, 200}, func(c *configuration.Configuration, n int) {
		setTeams(c, fixedTeams)
		for i := range n {
			c.Routes[fmt.Sprint("route-", i)] = route.Route{
				Prefix: fmt.Sprint("/path-", i, "/"), Service: "app", Price: 1, Timeout: duration.Duration(time.Second),
			}
		}
	})
}

func setTeams(c *configuration.Configuration, n int) {
	for _, t := range teamNames(n) {
		c.Teams[t] = team.Team{Rate: 100, Burst: 200, Weight: 1}
	}
}

// measureConfiguration measures a configuration store at several sizes. If fill is nil, the number of keys grows.
func (p *Probe) measureConfiguration(dimension string, target float64, sizes []int, fill func(*configuration.Configuration, int)) error {
	applyTime := p.newCurve("configuration", "ns to apply a change", dimension, target)
	stateBytes := p.newCurve("configuration", "state bytes", dimension, target)
	deltaBytes := p.newCurve("configuration", "delta bytes a change", dimension, target)
	snapshotBytes := p.newCurve("configuration", "snapshot bytes", dimension, target)
	for _, n := range sizes {
		before := heapBytes()
		r := configstore.NewStore()
		c := &configuration.Configuration{Teams: map[string]team.Team{}, Routes: map[string]route.Route{}, Models: map[string]model.Model{}}
		if fill == nil {
			setTeams(c, fixedTeams)
		} else {
			fill(c, n)
		}
		if err := p.apply(r, &change.Change{Kind: change.Replace, Whole: c}); err != nil {
			return err
		}
		for i := 0; fill == nil && i < n; i++ {
			id := fmt.Sprint("key-", i)
			k := &key.Key{ID: id, Team: fmt.Sprint("team-", i%fixedTeams), Hash: key.Hash(id)}
			if err := p.apply(r, &change.Change{Kind: change.GrantKey, Key: k}); err != nil {
				return err
			}
		}
		stateBytes.Add(float64(n), heapBytes()-before)
		var b bytes.Buffer
		if err := r.Snapshot(&b); err != nil {
			return err
		}
		snapshotBytes.Add(float64(n), float64(b.Len()))
		var failed error
		v, err := cpuTimePerRun(func(i int) {
			t := &team.Team{Rate: int64(100 + i%7), Burst: 200, Weight: 1}
			if err := p.apply(r, &change.Change{Kind: change.SetTeam, Name: "team-7", Team: t}); err != nil {
				failed = err
			}
		})
		if err != nil || failed != nil {
			return errors.CombineErrors(err, failed)
		}
		applyTime.Add(float64(n), v)
		old := r.View()
		if err := p.apply(r, &change.Change{Kind: change.SetTeam, Name: "team-7", Team: &team.Team{Rate: changedRate, Burst: 200, Weight: 1}}); err != nil {
			return err
		}
		d, err := delta.Between(old, r.View()).Encode()
		if err != nil {
			return err
		}
		deltaBytes.Add(float64(n), float64(len(d)))
		runtime.KeepAlive(r)
	}
	return nil
}

// apply completes c as a change to the current version and applies it to r.
func (p *Probe) apply(r *configstore.Store, c *change.Change) error {
	c.Base = r.View().Version
	c.ID = fmt.Sprint("change-", c.Base)
	c.By = "probe"
	c.At = p.now.UTC()
	b, err := c.Encode()
	if err != nil {
		return err
	}
	o, err := changeoutcome.Decode(r.Apply(c.Base+1, b))
	if err != nil {
		return err
	}
	if o.Status != changeoutcome.Applied {
		return errors.Newf("configuration: change is %s: %s %v", o.Status, o.Message, o.Problems)
	}
	return nil
}
