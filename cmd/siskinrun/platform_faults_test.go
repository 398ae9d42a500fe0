package main

import (
	"context"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// stopGrace is the time after which a host that was told to stop is killed.
const stopGrace = 8 * time.Second

// hostFaults plays faults of the entry hosts of a fleet, several at once on different ones.
type hostFaults struct {
	fleet *platformFleet
	reservations

	// processesMu guards the processes of the fleet.
	processesMu sync.Mutex
}

func (h *hostFaults) process(host string) *exec.Cmd {
	h.processesMu.Lock()
	defer h.processesMu.Unlock()
	return h.fleet.processes[host]
}

// crash kills a host and starts it again after d.
func (h *hostFaults) crash(ctx context.Context, host string, d time.Duration) {
	p := h.process(host)
	_ = p.Process.Kill()
	h.startAfter(ctx, host, p, d)
}

// terminate tells a host to stop and starts it again d after its end.
func (h *hostFaults) terminate(ctx context.Context, host string, d time.Duration) {
	p := h.process(host)
	_ = p.Process.Signal(syscall.SIGTERM)
	cancel := h.fleet.timer.After(stopGrace, func(time.Time) { _ = p.Process.Kill() })
	defer cancel()
	h.startAfter(ctx, host, p, d)
}

// suspend suspends a host for d.
func (h *hostFaults) suspend(ctx context.Context, host string, d time.Duration) {
	p := h.process(host)
	_ = p.Process.Signal(syscall.SIGSTOP)
	_ = h.fleet.timer.Sleep(ctx, d)
	_ = p.Process.Signal(syscall.SIGCONT)
}

// startAfter waits until a process of a host ends, and d more, and starts the host again.
func (h *hostFaults) startAfter(ctx context.Context, host string, p *exec.Cmd, d time.Duration) {
	_ = p.Wait()
	_ = h.fleet.timer.Sleep(ctx, d)
	h.processesMu.Lock()
	defer h.processesMu.Unlock()
	h.fleet.start(host)
}
