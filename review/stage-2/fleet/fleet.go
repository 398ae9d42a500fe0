// Package fleet starts a small deployment of real processes for the cases of the second review, with stand-ins of the platform, the
// workers and the clients.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Roles of hosts.
const (
	Frontend = "frontend"
	Core     = "core"
	Storage  = "storage"
)

const (
	frontendPort  = 8405
	readinessPort = 8406
	controlPort   = 8407
	peersPort     = 7660
	operatorsPort = 7675

	startTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	callTimeout  = time.Second
)

// Zones are the failure domains of the deployment.
var Zones = []string{"nz-south-a", "nz-south-b", "nz-south-c"}

// Host is one machine of the deployment with its process.
type Host struct {
	Name string
	Role string
	IP   string
	Zone string

	memory  int
	command *exec.Cmd
	log     *os.File
}

// Fleet is the deployment of a case.
type Fleet struct {
	Hosts  []*Host
	Record *Record

	folder  string
	program string
	seeds   []string
	mu      sync.Mutex
	ended   bool
}

// Trouble reports whether the case runs with its disruption.
func Trouble() bool {
	return os.Getenv("TROUBLE") != "0"
}

// New lays out a deployment of one core machine, one storage machine and the given number of frontend machines in each zone. The
// case's folder gets record.txt.
func New(caseFolder string, frontends int) (*Fleet, error) {
	r, err := newRecord(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/siskinrun")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: r, folder: folder, program: program}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	for z, zone := range Zones {
		f.add(Core, zone, fmt.Sprintf("%s%d", network, 11+z), 1, 280)
		f.add(Storage, zone, fmt.Sprintf("%s%d", network, 21+z), 1, 324)
		for n := range frontends {
			f.add(Frontend, zone, fmt.Sprintf("%s%d", network, 31+10*z+n), n+1, 284)
		}
	}
	for _, h := range f.Of(Core) {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", h.IP, controlPort))
	}
	return f, nil
}

func (f *Fleet) add(role, zone, ip string, number, memory int) {
	f.Hosts = append(f.Hosts, &Host{Name: fmt.Sprintf("%s-%s-%d", role, zone, number), Role: role, IP: ip, Zone: zone, memory: memory})
}

// freeNetwork returns the prefix of a loopback network on which the ports of the deployment are free.
func freeNetwork() (string, error) {
	for range 50 {
		p := fmt.Sprintf("127.%d.%d.", 40+rand.IntN(150), 1+rand.IntN(250))
		free := true
		for _, port := range []int{frontendPort, readinessPort, controlPort, peersPort, operatorsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s11:%d", p, port))
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
	return "", errors.New("no free loopback network")
}

// Of returns the hosts of a role.
func (f *Fleet) Of(role string) []*Host {
	var l []*Host
	for _, h := range f.Hosts {
		if h.Role == role {
			l = append(l, h)
		}
	}
	return l
}

// settings returns the settings file of a host as the template of the deploy file gives it.
func (f *Fleet) settings(h *Host, bootstrap bool) []byte {
	zones := map[string]string{}
	for _, z := range Zones {
		zones[z] = "nz-south"
	}
	own := map[string]any{
		"failure-domain": h.Zone,
		"label":          h.Name,
		"peers":          fmt.Sprintf("%s:%d", h.IP, peersPort),
		"operators":      fmt.Sprintf("%s:%d", h.IP, operatorsPort),
		"keeps":          []string{"ledgers"},
	}
	switch h.Role {
	case Frontend:
		own["callers"] = fmt.Sprintf("%s:%d", h.IP, frontendPort)
		own["readiness"] = fmt.Sprintf("%s:%d", h.IP, readinessPort)
	case Core:
		own["control"] = fmt.Sprintf("%s:%d", h.IP, controlPort)
		own["keeps"] = []string{"configuration"}
		own["data-folder"] = filepath.Join(f.folder, h.Name)
	case Storage:
		own["data-folder"] = filepath.Join(f.folder, h.Name)
	}
	s := map[string]any{
		"site": h.Zone,
		"fleet": map[string]any{
			"dialect": "platform", "trusted-network": true, "seeds": f.seeds, "forming": bootstrap, "ledger-groups": 1,
			"failure-domains": []any{zones}, "freshness-lease": "3500ms", "losses": 1, "finish-withdrawn": true,
			"rate-overrun": 0.1, "rate-window": "5s", "rate-slack": 20, "cut-off-rates": true, "give-back-rate": true,
			"repair": "1500ms", "heartbeat": "1200ms", "drain": "3500ms", "stop-timeout": "7500ms", "stop-grace": "8s",
			"weights":        map[string]any{"batch-throughput": 0.5, "online-tail": 1, "worst-team": 1, "locality": 0.3},
			"domain-traffic": 1000, "jobs-by-deadline": true, "preferred-upstreams": true,
			"hosts": map[string]any{h.IP: own},
		},
		"limits": map[string]any{
			"header-bytes": 16384, "body-bytes": 4194304, "file-bytes": 4194304, "concurrency": 4096, "read-timeout": "30s",
			"stream-silence": "5s", "connect-timeout": "250ms", "memory-bytes": h.memory * 1_000_000, "descriptors": 4100,
		},
	}
	b, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		panic(err)
	}
	return b
}

// StartAll starts all hosts for the first time.
func (f *Fleet) StartAll() error {
	for _, h := range f.Hosts {
		if err := f.Start(h, true); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process of a host with the command of the deploy file.
func (f *Fleet) Start(h *Host, bootstrap bool) error {
	p := filepath.Join(f.folder, h.Name+".json")
	if err := os.WriteFile(p, f.settings(h, bootstrap), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(f.program, "serve", "--base", p, "--host", h.IP)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "SISKINRUN_SETTINGS=" + p}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h.command, h.log = c, log
	return nil
}

// Signal sends a signal to the process of a host.
func (f *Fleet) Signal(h *Host, s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.command != nil {
		_ = h.command.Process.Signal(s)
	}
}

// Kill kills the process of a host and waits for its end.
func (f *Fleet) Kill(h *Host) {
	f.mu.Lock()
	c, l := h.command, h.log
	h.command = nil
	f.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	_ = c.Wait()
	_ = l.Close()
}

// Log returns what the process of a host has written.
func (f *Fleet) Log(h *Host) string {
	b, _ := os.ReadFile(filepath.Join(f.folder, h.Name+".log"))
	return string(b)
}

// Pid returns the process ID of a host, 0 if it does not run.
func (f *Fleet) Pid(h *Host) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.command == nil {
		return 0
	}
	return h.command.Process.Pid
}

// Close ends all processes and removes their files, unless KEEP is set.
func (f *Fleet) Close() {
	f.mu.Lock()
	done := f.ended
	f.ended = true
	f.mu.Unlock()
	if done {
		return
	}
	for _, h := range f.Hosts {
		f.Kill(h)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
	f.Record.close()
}

var client = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// Control sends a call of a worker or the operator to the first core machine that answers it, and returns the status and the body.
func (f *Fleet) Control(method, path string, body []byte) (int, []byte) {
	status, answer := 0, []byte(nil)
	for _, h := range f.Of(Core) {
		q, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", h.IP, controlPort, path), bytes.NewReader(body))
		if err != nil {
			return 0, nil
		}
		q.Header.Set("Content-Type", "application/json")
		r, err := client.Do(q)
		if err != nil {
			continue
		}
		b, _ := io.ReadAll(r.Body)
		_ = r.Body.Close()
		status, answer = r.StatusCode, b
		if status < 500 && status != 408 && status != 429 {
			return status, answer
		}
	}
	return status, answer
}

// Configure sends a configuration until it is acknowledged.
func (f *Fleet) Configure(c any) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	last := ""
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		s, a := f.Control(http.MethodPost, "/siskinrun/Config.Replace", b)
		if s == http.StatusOK {
			f.Record.Add("the operator's configuration is acknowledged")
			return nil
		}
		last = fmt.Sprintf("%d %s", s, a)
		if s >= 400 && s < 500 {
			break
		}
	}
	return fmt.Errorf("the configuration is not acknowledged: %s", last)
}

// AwaitReady waits until all frontend machines say that they are ready.
func (f *Fleet) AwaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		n := 0
		for _, h := range f.Of(Frontend) {
			r, err := client.Get(fmt.Sprintf("http://%s:%d/siskinrun/readyz", h.IP, readinessPort))
			if err != nil {
				break
			}
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				n++
			}
		}
		if n == len(f.Of(Frontend)) {
			f.Record.Add("all frontend machines are ready")
			return nil
		}
	}
	return errors.New("the frontend machines do not get ready")
}

// Address returns the address at which a frontend machine takes clients.
func (h *Host) Address() string {
	return fmt.Sprintf("%s:%d", h.IP, frontendPort)
}

// Record is the file that tells what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}

// Main runs a case and ends the program: with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func Main(caseFolder string, frontends int, limit time.Duration, run func(ctx context.Context, f *Fleet) (broken []string, err error)) {
	f, err := New(caseFolder, frontends)
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(2)
	}
	f.Record.Add("TROUBLE: %v", Trouble())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	broken, err := run(ctx, f)
	cancel()
	code := 0
	switch {
	case err != nil:
		f.Record.Add("cannot run: %v", err)
		code = 2
	case len(broken) > 0:
		sort.Strings(broken)
		f.Record.Add("BROKEN: %s", strings.Join(broken, "; "))
		code = 1
	default:
		f.Record.Add("the rule held")
	}
	f.Close()
	os.Exit(code)
}

// Exited reports whether the process of a host has ended by itself.
func (f *Fleet) Exited(h *Host) bool {
	p := f.Pid(h)
	if p == 0 {
		return false
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p))
	if err != nil {
		return true
	}
	s := string(b)
	return strings.HasPrefix(s[strings.LastIndexByte(s, ')')+1:], " Z")
}

// LimitDescriptors limits the descriptors of the process of a host, as the platform does.
func (f *Fleet) LimitDescriptors(h *Host, n uint64) error {
	return unix.Prlimit(f.Pid(h), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil)
}

// Readiness returns what the readiness address of a frontend machine says.
func (f *Fleet) Readiness(h *Host) string {
	r, err := client.Get(fmt.Sprintf("http://%s:%d/siskinrun/readyz", h.IP, readinessPort))
	if err != nil {
		return "no response"
	}
	_ = r.Body.Close()
	return r.Status
}

// restartDelay is how long after its end a process is started again.
const restartDelay = 500 * time.Millisecond

// Restart starts processes that end by themselves again, as the platform does, until ctx ends.
func (f *Fleet) Restart(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(restartDelay)
		for _, h := range f.Hosts {
			if !f.Exited(h) {
				continue
			}
			f.Record.Add("the process of %s has ended by itself", h.Name)
			f.Kill(h)
			time.Sleep(restartDelay)
			if err := f.Start(h, false); err != nil {
				f.Record.Add("%s does not start: %v", h.Name, err)
			}
		}
	}
}
