package stage

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	Unplayed  = 2
	readyTime = 25 * time.Second
	pollTime  = 100 * time.Millisecond
)

// Trouble reports whether the case is to bring about its disruption.
func Trouble() bool {
	return os.Getenv("TROUBLE") != "0"
}

// Process is one machine of the deployment with its one process.
type Process struct {
	Name string
	IP   string
	Zone string

	fleet *Fleet
	// added says that the machine came after the first start.
	added bool
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// Fleet is a deployment: three core machines, three storage machines and three frontend machines in three zones.
type Fleet struct {
	Core, Storage, Frontend []*Process
	// Record receives what was sent, answered and run.
	Record *Record

	folder string
	prefix string
	port   int
	seeds  []any
	http   *http.Client
	log    *os.File
}

// NewFleet starts a deployment whose record goes to the given folder, and waits until its processes listen.
func NewFleet(folder string) (*Fleet, error) {
	r, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	d, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Record: r, folder: d,
		prefix: fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, 1+os.Getpid()/200%250),
		http:   &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if f.port, err = freePorts(f.prefix + "1"); err != nil {
		return nil, err
	}
	if f.log, err = os.Create(filepath.Join(d, "log")); err != nil {
		return nil, err
	}
	f.add()
	for _, l := range [][]*Process{f.Core, f.Storage, f.Frontend} {
		for _, p := range l {
			if err := p.Start(); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

// freePorts returns the first of eight ports that are free on an address.
func freePorts(ip string) (int, error) {
	for p := 21000 + os.Getpid()%500*8; p < 32000; p += 8 {
		free := true
		for i := range 8 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return p, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// Offsets of the ports of a machine.
const (
	peersPort = iota
	operatorsPort
	callersPort
	readinessPort
	controlPort
)

func (f *Fleet) add() {
	for i, z := range []string{"zone-a", "zone-b", "zone-c"} {
		f.Core = append(f.Core, &Process{fleet: f, Name: "core-" + z + "-1", IP: fmt.Sprint(f.prefix, 11+i), Zone: z})
		f.Storage = append(f.Storage, &Process{fleet: f, Name: "storage-" + z + "-1", IP: fmt.Sprint(f.prefix, 21+i), Zone: z})
		f.Frontend = append(f.Frontend, &Process{fleet: f, Name: "frontend-" + z + "-1", IP: fmt.Sprint(f.prefix, 31+i), Zone: z})
		f.seeds = append(f.seeds, f.Core[i].address(controlPort))
	}
}

func (p *Process) address(offset int) string {
	return fmt.Sprintf("%s:%d", p.IP, p.fleet.port+offset)
}

// Address returns the address at which a frontend machine takes clients.
func (p *Process) Address() string {
	return p.address(callersPort)
}

// settings writes the settings of a machine, from the deploy file's template.
func (p *Process) settings(bootstrap bool) error {
	f := p.fleet
	v := map[string]any{
		"node_name": p.Name, "ip": p.IP, "zone": p.Zone, "region": "region", "bootstrap": bootstrap, "heartbeat_ms": 1200,
		"port_range":      []any{f.port + peersPort, f.port + operatorsPort},
		"seeds":           f.seeds,
		"fault_tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds":          map[string]any{"quota_overrun": 0.1, "quota_window_s": 5, "quota_slack": 20},
		"limits":          map[string]any{"memory_mb": 284},
	}
	listen := map[string]any{}
	if strings.HasPrefix(p.Name, "frontend") {
		listen["frontend"], listen["readiness"] = p.address(callersPort), p.address(readinessPort)
	} else {
		d := filepath.Join(f.folder, p.Name)
		if err := os.MkdirAll(d, 0o700); err != nil {
			return err
		}
		v["data_dir"] = d
	}
	if strings.HasPrefix(p.Name, "core") {
		listen["control_plane"] = p.address(controlPort)
	}
	v["listen"] = listen
	s, err := render("deploy/settings.jsonc", v)
	if err != nil {
		return err
	}
	return os.WriteFile(p.file(), []byte(s), 0o600)
}

func (p *Process) file() string {
	return filepath.Join(p.fleet.folder, p.Name+".json")
}

// Start starts the process of a machine with the command of the deploy file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.settings(p.cmd == nil && !p.added); err != nil {
		return err
	}
	c := exec.Command("target/siskinrun", "serve", "--base", p.file(), "--host", p.IP)
	c.Stdout, c.Stderr = p.fleet.log, p.fleet.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	p.cmd = c
	p.ended = make(chan struct{})
	go func(e chan struct{}) {
		_ = c.Wait()
		close(e)
	}(p.ended)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.Record.Add("signal", p.Name, s.String())
	_ = p.cmd.Process.Signal(s)
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Close kills all processes and removes their files. If KEEP is set, the files stay.
func (f *Fleet) Close() {
	for _, l := range [][]*Process{f.Frontend, f.Storage, f.Core} {
		for _, p := range l {
			if p.cmd != nil {
				_ = p.cmd.Process.Kill()
				<-p.ended
			}
		}
	}
	_ = f.log.Close()
	if d := os.Getenv("KEEP"); d != "" {
		_ = os.Rename(filepath.Join(f.folder, "log"), d)
	}
	_ = os.RemoveAll(f.folder)
	f.Record.Close()
}

// Control sends a message of a worker or the operator to the core machines in turn, and returns the first status below 500 with
// its body.
func (f *Fleet) Control(ctx context.Context, method, path, body string) (int, string) {
	for {
		for _, c := range f.Core {
			if s, b := f.ControlAt(ctx, c, method, path, body); s > 0 && s < 500 {
				return s, b
			}
		}
		select {
		case <-ctx.Done():
			return 0, ""
		case <-time.After(pollTime):
		}
	}
}

// ControlAt sends a message of a worker or the operator to one core machine. The status is 0 if none came.
func (f *Fleet) ControlAt(ctx context.Context, c *Process, method, path, body string) (int, string) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.address(controlPort)+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := f.http.Do(q)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, ""
	}
	return r.StatusCode, string(b)
}

// Install has a configuration acknowledged.
func (f *Fleet) Install(text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	s, b := f.Control(ctx, http.MethodPost, "/siskinrun/Config.Replace", text)
	f.Record.Add("configuration", s, b)
	if s != http.StatusOK {
		return fmt.Errorf("the configuration was answered with %d %s", s, b)
	}
	return nil
}

// AwaitReady waits until all frontend machines say that they are ready.
func (f *Fleet) AwaitReady() error {
	for end := time.Now().Add(readyTime); ; time.Sleep(pollTime) {
		ready := 0
		for _, p := range f.Frontend {
			r, err := f.http.Get("http://" + p.address(readinessPort) + "/siskinrun/readyz")
			if err != nil {
				continue
			}
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.Frontend) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d frontend machines are ready", ready, len(f.Frontend))
		}
	}
}

// AddStorage adds a storage machine and starts its process.
func (f *Fleet) AddStorage() (*Process, error) {
	n := len(f.Storage)
	p := &Process{fleet: f, Name: fmt.Sprintf("storage-zone-a-%d", n-1), IP: fmt.Sprint(f.prefix, 21+n), Zone: "zone-a", added: true}
	f.Storage = append(f.Storage, p)
	return p, p.Start()
}

// LoseDisk removes all that a machine has stored; its process must have ended.
func (p *Process) LoseDisk() error {
	p.fleet.Record.Add("disk lost", p.Name)
	return os.RemoveAll(filepath.Join(p.fleet.folder, p.Name))
}

// LogLines returns the lines of all processes' logs that hold a text.
func (f *Fleet) LogLines(text string) []string {
	b, err := os.ReadFile(f.log.Name())
	if err != nil {
		return nil
	}
	var l []string
	for s := range strings.SplitSeq(string(b), "\n") {
		if strings.Contains(s, text) {
			l = append(l, s)
		}
	}
	return l
}
