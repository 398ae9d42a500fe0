package demo

import (
	_ "embed"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"time"

	"siskinrun/internal/base/group"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/standin/engine"
	"siskinrun/internal/standin/faultinjection"
	"siskinrun/internal/standin/service"
)

const (
	slots         = 8
	stepTime      = 5 * time.Millisecond
	stepPerStream = 500 * time.Microsecond
	prefillTime   = time.Millisecond
	cacheBlocks   = 1024
	serviceTime   = 2 * time.Millisecond
	// faultCount exceeds the number of requests in a demo, so that every request gets the fault.
	faultCount = 1 << 20
	fileMode   = 0o600
	folderMode = 0o700
)

//go:embed base.jsonc
var baseSettings []byte

// failureDomains lists the failure domains. Each has one host.
var failureDomains = []string{"demo-a", "demo-b", "demo-c"}

// overlay holds the settings that are known only when the fleet starts.
type overlay struct {
	Site  string `json:"site"`
	Fleet struct {
		Hosts map[string]settings.Host `json:"hosts"`
	} `json:"fleet"`
}

// prepare opens the listeners of all hosts and loads settings with their addresses.
func (d *Demo) prepare() error {
	d.listeners = map[string]net.Listener{}
	o := overlay{Site: "demo"}
	o.Fleet.Hosts = map[string]settings.Host{}
	for _, n := range failureDomains {
		h := settings.Host{FailureDomain: n, DataFolder: filepath.Join(d.folder, n)}
		for _, a := range []*string{&h.Callers, &h.Upstreams, &h.Operators, &h.Peers} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			*a = l.Addr().String()
			d.listeners[*a] = l
		}
		o.Fleet.Hosts[n+"-1"] = h
	}
	return d.loadSettings(o)
}

// loadSettings writes the settings and secrets to files and loads them as a host does.
func (d *Demo) loadSettings(o overlay) error {
	b, err := json.Marshal(o)
	if err != nil {
		return err
	}
	if err := os.Mkdir(filepath.Join(d.folder, "secrets"), folderMode); err != nil {
		return err
	}
	files := map[string][]byte{"base.jsonc": baseSettings, "overlay.jsonc": b}
	for _, s := range []string{"peer", "upstream", "operator"} {
		files["secrets/"+s] = []byte(key.NewSecret())
	}
	for n, c := range files {
		if err := os.WriteFile(filepath.Join(d.folder, n), c, fileMode); err != nil {
			return err
		}
	}
	d.settings, err = settings.Load(filepath.Join(d.folder, "base.jsonc"), filepath.Join(d.folder, "overlay.jsonc"))
	if err != nil {
		return err
	}
	return d.settings.ReadSecrets()
}

// startStandIns starts a service and two engines in each failure domain. One of the engines checks fencing tokens.
func (d *Demo) startStandIns(g *group.Group) error {
	var hosts []string
	for _, h := range d.settings.Fleet.Hosts {
		hosts = append(hosts, h.Upstreams)
	}
	for _, n := range failureDomains {
		for _, fencing := range []bool{true, false} {
			if err := d.startEngine(g, n, fencing, hosts); err != nil {
				return err
			}
		}
		if err := d.startService(g, n, hosts); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) startEngine(g *group.Group, domain string, fencing bool, hosts []string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n := domain + "-engine"
	if fencing {
		n += "-fencing"
	}
	f, err := d.newInjector()
	if err != nil {
		return err
	}
	e := &engine.Engine{
		Upstream: upstream.Upstream{
			Name: n, Kind: upstream.Engine, Service: "demo-llm", FailureDomain: domain, Models: []string{"demo-model@1"},
			Slots: slots, Fencing: fencing, Incarnation: uint64(d.timer.Now().UnixNano()),
		},
		Listener: l, Hosts: hosts, Secret: string(d.settings.UpstreamSecret), Timer: d.timer,
		Step: stepTime, StepPerStream: stepPerStream, PrefillPerBlock: prefillTime, CacheBlocks: cacheBlocks, Faults: f,
	}
	d.engines = append(d.engines, e)
	g.Go(n, e.Run)
	return nil
}

func (d *Demo) startService(g *group.Group, domain string, hosts []string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f, err := d.newInjector()
	if err != nil {
		return err
	}
	n := domain + "-desk"
	s := &service.Service{
		Upstream: upstream.Upstream{
			Name: n, Kind: upstream.Service, Service: "demo-desk", FailureDomain: domain, Slots: slots,
			Incarnation: uint64(d.timer.Now().UnixNano()),
		},
		Listener: l, Hosts: hosts, Secret: string(d.settings.UpstreamSecret), Timer: d.timer, ProcessingTime: serviceTime, Faults: f,
	}
	d.services = append(d.services, s)
	g.Go(n, s.Run)
	return nil
}

// newInjector returns the fault injector of a stand-in, which injects Demo.Fault or, if that is not set, nothing.
func (d *Demo) newInjector() (*faultinjection.Injector, error) {
	f := faultinjection.NewInjector()
	if d.Fault == "" {
		return f, nil
	}
	return f, f.Set(d.Fault, faultCount)
}
