package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	program  = "target/siskinrun"
	template = "deploy/settings.jsonc"

	// hostsPerClass is the number of machines of each class, one in each zone.
	hostsPerClass = 3
	portsPerHost  = 5
	// startTries is how often a network with free ports is looked for.
	startTries = 50
	// restartDelay is the time after which the platform starts a process again that has ended by itself.
	restartDelay = time.Second
	recordMode   = 0o644
	folderMode   = 0o755
)

// Classes of machines, which are also the prefixes of the names of machines.
const (
	classFrontend = "frontend"
	classCore     = "core"
	classStorage  = "storage"
)

// zones are the zones of the deployment, each with one machine of each class.
var zones = []string{"z-a", "z-b", "z-c"}

// siteMemory is the memory in MB that the site gives to a process of each class.
var siteMemory = map[string]int{classFrontend: 284, classCore: 280, classStorage: 324}

// machine is one machine of the deployment with its process.
type machine struct {
	name, class, zone, ip string
	process               *exec.Cmd
	log                   *os.File
	starts                int
	// ended is closed when the process has ended, and stopped says that the stage ended it.
	ended   chan struct{}
	stopped bool
	// ownEnds counts the ends of processes of the machine that the stage did not ask for.
	ownEnds int
}

// stage is a deployment of real processes in a temporary folder, and the record of what happens on it.
type stage struct {
	// trouble says that the disruption of the case takes place.
	trouble bool
	// ports are those of all machines: callers, readiness, control, peers and operators.
	ports    [portsPerHost]int
	machines []*machine

	folder  string
	begun   time.Time
	http    *http.Client
	mu      sync.Mutex
	record  *os.File
	workers []*worker
	// closed says that the stage ends and starts no more processes.
	closed bool
}

// newStage prepares a deployment that writes its record into the folder of a case.
func newStage(caseFolder string, trouble bool) (*stage, error) {
	s := &stage{trouble: trouble, begun: time.Now()}
	s.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	var err error
	if s.record, err = os.OpenFile(filepath.Join(caseFolder, "record.txt"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, recordMode); err != nil {
		return nil, err
	}
	if s.folder, err = os.MkdirTemp("", "review-stage"); err != nil {
		return nil, err
	}
	return s, s.choosePlace()
}

// choosePlace chooses loopback addresses for all machines with ports that are free there.
func (s *stage) choosePlace() error {
	for range startTries {
		network := fmt.Sprintf("127.%d.%d.", 100+rand.IntN(100), 1+rand.IntN(250))
		first := 20000 + 10*rand.IntN(900)
		for i := range s.ports {
			s.ports[i] = first + i
		}
		s.machines = nil
		for i, class := range []string{classCore, classStorage, classFrontend} {
			for z, zone := range zones {
				s.machines = append(s.machines, &machine{
					name: fmt.Sprintf("%s-%s-1", class, zone), class: class, zone: zone, ip: fmt.Sprint(network, 10*(i+1)+z),
				})
			}
		}
		if s.free() {
			return nil
		}
	}
	return fmt.Errorf("no free ports found")
}

// free reports whether all ports of all machines are free.
func (s *stage) free() bool {
	for _, m := range s.machines {
		for _, p := range s.ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// note writes a line with the time since the start to the record.
func (s *stage) note(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, a...))
}

// of returns the machines of a class.
func (s *stage) of(class string) []*machine {
	var l []*machine
	for _, m := range s.machines {
		if m.class == class {
			l = append(l, m)
		}
	}
	return l
}

// address returns the address of a machine at one of the ports of the stage.
func (s *stage) address(m *machine, port int) string {
	return fmt.Sprintf("%s:%d", m.ip, s.ports[port])
}

// Places in ports.
const (
	portCallers = iota
	portReadiness
	portControl
	portPeers
	portOperators
)

// fields returns the settings of a process as the platform gives them.
func (s *stage) fields(m *machine, bootstrap bool) map[string]any {
	var seeds []any
	for _, c := range s.of(classCore) {
		seeds = append(seeds, s.address(c, portControl))
	}
	listen := map[string]any{}
	var data any
	switch m.class {
	case classFrontend:
		listen["frontend"], listen["readiness"] = s.address(m, portCallers), s.address(m, portReadiness)
	case classCore:
		listen["control_plane"] = s.address(m, portControl)
		data = filepath.Join(s.folder, m.name)
	default:
		data = filepath.Join(s.folder, m.name)
	}
	regions := map[string]any{}
	for _, z := range zones {
		regions[z] = "z"
	}
	return map[string]any{
		"node_name": m.name, "ip": m.ip, "zone": m.zone, "zones": regions, "listen": listen, "seeds": seeds, "bootstrap": bootstrap,
		"port_range": []any{s.ports[portPeers], s.ports[portOperators]}, "data_dir": data, "heartbeat_ms": heartbeat.Milliseconds(),
		"limits":          map[string]any{"memory_mb": siteMemory[m.class], "max_fds": 4100},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 1},
		"bounds":          map[string]any{"quota_overrun": 0.1, "quota_window_s": 5, "quota_slack": 20, "grace_s": 8},
	}
}

// start starts the process of a machine.
func (s *stage) start(m *machine) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	f := s.fields(m, m.starts == 0)
	settings, err := render(string(text), f)
	if err != nil {
		return err
	}
	if d, ok := f["data_dir"].(string); ok {
		if err := os.MkdirAll(d, folderMode); err != nil {
			return err
		}
	}
	path := filepath.Join(s.folder, m.name+".jsonc")
	if err := os.WriteFile(path, []byte(settings), recordMode); err != nil {
		return err
	}
	if m.log == nil {
		if m.log, err = os.Create(filepath.Join(s.folder, m.name+".log")); err != nil {
			return err
		}
	}
	m.starts++
	c := exec.Command(program, "serve", "--base", path, "--host", m.ip)
	c.Stdout, c.Stderr = m.log, m.log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	m.process, m.ended, m.stopped = c, ended, false
	go s.supervise(m, c, ended)
	return nil
}

// supervise waits for the end of a process and starts the machine's next one if the stage did not end it, as the platform does.
func (s *stage) supervise(m *machine, c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	close(ended)
	s.mu.Lock()
	stopped := m.stopped || s.closed
	if !stopped {
		m.ownEnds++
	}
	s.mu.Unlock()
	if stopped {
		return
	}
	s.note("the process of %s has ended by itself: %v", m.name, err)
	time.Sleep(restartDelay)
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return
	}
	if err := s.start(m); err != nil {
		s.note("%s: %v", m.name, err)
	}
}

// signal sends a signal to the process of a machine and waits until it has ended, for a time at most; then it is killed.
func (s *stage) signal(m *machine, g syscall.Signal, grace time.Duration) {
	s.mu.Lock()
	c, ended := m.process, m.ended
	m.stopped = true
	s.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(g)
	select {
	case <-ended:
	case <-time.After(grace):
		_ = c.Process.Kill()
		<-ended
	}
}

// kill kills the process of a machine.
func (s *stage) kill(m *machine) {
	s.signal(m, syscall.SIGKILL, time.Second)
}

// ownEnds returns how often processes of the machines of a class have ended by themselves.
func (s *stage) ownEnds(class string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, m := range s.of(class) {
		n += m.ownEnds
	}
	return n
}

// joinTime is the time in which all machines hear of all workers.
const joinTime = 4 * time.Second

// open starts all machines and workers, and returns once all machines serve.
func (s *stage) open(ctx context.Context, workers int, l batchLimits, f answerer) error {
	if err := s.startAll(); err != nil {
		return err
	}
	if err := s.configure(ctx, configuration(l)); err != nil {
		return err
	}
	for i := range workers {
		if _, err := s.startWorker(fmt.Sprintf("i-%d", i+1), zones[i%len(zones)], f); err != nil {
			return err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	return sleep(ctx, joinTime)
}

// startAll starts all machines.
func (s *stage) startAll() error {
	for _, m := range s.machines {
		if err := s.start(m); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
	}
	return nil
}

// awaitReady waits until all front machines are ready.
func (s *stage) awaitReady(ctx context.Context) error {
	for _, m := range s.of(classFrontend) {
		url := "http://" + s.address(m, portReadiness) + "/siskinrun/readyz"
		if err := await(ctx, func() bool { return s.status(ctx, url) == http.StatusOK }); err != nil {
			return fmt.Errorf("%s isn't ready: %w", m.name, err)
		}
	}
	return nil
}

// status returns the status of the answer to a GET, zero if there is none.
func (s *stage) status(ctx context.Context, url string) int {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	a, err := s.http.Do(q)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

const pollInterval = 100 * time.Millisecond

// await waits until a condition holds.
func await(ctx context.Context, holds func() bool) error {
	for !holds() {
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for a time or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// close ends all workers and processes and removes the folder.
func (s *stage) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, w := range s.workers {
		w.crash()
	}
	for _, m := range s.machines {
		s.kill(m)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Close()
}
