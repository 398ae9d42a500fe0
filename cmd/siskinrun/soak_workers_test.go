package main

import (
	"net"
	"time"
)

// ranSince returns the number of requests that the worker began to run since a time.
func (w *platformWorker) ranSince(at time.Time) int {
	n := 0
	for _, r := range w.ran() {
		if !r.at.Before(at) {
			n++
		}
	}
	return n
}

// serving reports whether the worker accepts connections.
func (w *platformWorker) serving() bool {
	c, err := net.DialTimeout("tcp", w.currentAddress(), time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// atWork returns the number of workers that serve, and of requests that all of them began to run since a time.
func atWork(workers []*platformWorker, since time.Time) (serving, runs int) {
	for _, w := range workers {
		if w.serving() {
			serving++
		}
		runs += w.ranSince(since)
	}
	return serving, runs
}
