package main

import (
	"context"
	"crypto/rand"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"siskinrun/internal/base/group"
)

// injectFaults starts overlapping random faults during soakTime and waits until all have ended.
func (s *soak) injectFaults(ctx context.Context) {
	g := group.NewGroup(ctx)
	names := s.names()
	faults := []func(ctx context.Context, host string, d time.Duration){
		s.crash, s.crash, s.terminate, s.freeze, s.reload, s.degradeAll, s.degradeAll, s.degradeOne, s.reset,
	}
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		f := faults[s.random.IntN(len(faults))]
		h := names[s.random.IntN(len(names))]
		d := time.Duration(s.random.Int64N(int64(maxFault)))
		g.Go("fault", func(ctx context.Context) error {
			f(ctx, h, d)
			return nil
		})
		if !sleep(ctx, time.Duration(100+s.random.IntN(900))*time.Millisecond) {
			break
		}
	}
	_ = g.Wait()
}

// crash kills a host and restarts it after d. In half of the cases it leaves torn writes at the end of its journals.
func (s *soak) crash(ctx context.Context, host string, d time.Duration) {
	if !s.reserve(host) {
		return
	}
	defer s.release(host)
	s.logEvent("kill %s for %v", host, d)
	s.signal(host, syscall.SIGKILL)
	s.wait(host)
	if d%2 == 0 {
		s.appendTornWrites(host)
	}
	sleep(ctx, d)
	s.restart(host)
}

// appendTornWrites appends random bytes to the newest segment of each journal, as an incomplete write leaves them.
func (s *soak) appendTornWrites(host string) {
	newest := map[string]string{}
	_ = filepath.WalkDir(s.hosts[host].DataFolder, func(path string, e os.DirEntry, err error) error {
		if err == nil && filepath.Ext(path) == ".wal" && path > newest[filepath.Dir(path)] {
			newest[filepath.Dir(path)] = path
		}
		return nil
	})
	for _, p := range newest {
		f, err := os.OpenFile(p, os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			continue
		}
		b := make([]byte, maxTornBytes)
		_, _ = rand.Read(b)
		_, _ = f.Write(b[:1+int(b[0])%maxTornBytes])
		_ = f.Close()
		s.logEvent("torn write in %s", filepath.Base(p))
	}
}

// terminate stops a host with SIGTERM, as an operator does, and restarts it.
func (s *soak) terminate(_ context.Context, host string, d time.Duration) {
	if !s.reserve(host) {
		return
	}
	defer s.release(host)
	s.logEvent("terminate %s", host)
	s.signal(host, syscall.SIGTERM)
	s.wait(host)
	s.logEvent("%s has exited", host)
	s.restart(host)
}

// freeze suspends a host with SIGSTOP.
func (s *soak) freeze(ctx context.Context, host string, d time.Duration) {
	if !s.reserve(host) {
		return
	}
	defer s.release(host)
	d = d * maxFreeze / maxFault
	s.logEvent("freeze %s for %v", host, d)
	s.signal(host, syscall.SIGSTOP)
	sleep(ctx, d)
	s.signal(host, syscall.SIGCONT)
}

// reload makes a host read its settings again.
func (s *soak) reload(_ context.Context, host string, _ time.Duration) {
	if !s.reserve(host) {
		return
	}
	defer s.release(host)
	s.logEvent("reload %s", host)
	s.signal(host, syscall.SIGHUP)
}

// degradeAll sets a condition on all links from and to a host.
func (s *soak) degradeAll(ctx context.Context, host string, d time.Duration) {
	w := condition(1 + int(d)%int(conditionCount-1))
	s.logEvent("condition %d on all links of %s for %v", w, host, d)
	var l []*proxy
	for from, m := range s.links {
		for to, p := range m {
			if from == host || to == host {
				l = append(l, p)
			}
		}
	}
	s.degrade(ctx, l, w, d)
}

// degradeOne sets a condition on the link from a host to one other host.
func (s *soak) degradeOne(ctx context.Context, host string, d time.Duration) {
	names := slices.DeleteFunc(s.names(), func(n string) bool { return n == host })
	to := names[int(d)%len(names)]
	w := condition(1 + int(d)%int(conditionCount-1))
	s.logEvent("condition %d on the link from %s to %s for %v", w, host, to, d)
	s.degrade(ctx, []*proxy{s.links[host][to]}, w, d)
}

func (s *soak) degrade(ctx context.Context, l []*proxy, w condition, d time.Duration) {
	for _, p := range l {
		p.set(w)
	}
	sleep(ctx, d)
	for _, p := range l {
		p.set(normal)
	}
}

// reset resets all connections from a host.
func (s *soak) reset(_ context.Context, host string, _ time.Duration) {
	s.logEvent("reset connections from %s", host)
	for _, p := range s.links[host] {
		p.reset()
	}
}

// restoreLinks sets all links back to normal.
func (s *soak) restoreLinks() {
	s.logEvent("all links are normal")
	for _, m := range s.links {
		for _, p := range m {
			p.set(normal)
		}
	}
}

func (s *soak) signal(host string, g syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.processes[host].Process.Signal(g)
}

func (s *soak) wait(host string) {
	s.mu.Lock()
	p := s.processes[host]
	s.mu.Unlock()
	_ = p.Wait()
}

func (s *soak) restart(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start(host)
}
