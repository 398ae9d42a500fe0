package logwriter

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"siskinrun/internal/base/timer"
)

const (
	// mostWaiting is the most lines that wait to be written.
	mostWaiting = 4096
	// mostUsual is the most lines below the level of warnings that are taken in a second.
	mostUsual = 400
	interval  = time.Second
)

// Writer takes log lines at any time and writes them in order from a goroutine of its own.
//
// Lines for which there is no room are dropped and counted; in each second usual lines have a budget, so
// that warnings and errors keep their place.
type Writer struct {
	// Out takes the lines.
	Out io.Writer
	// Timer tells the time.
	Timer *timer.Service

	once    sync.Once
	lines   chan []byte
	usual   atomic.Int64
	dropped atomic.Int64
}

// Write implements io.Writer.Write.
func (w *Writer) Write(p []byte) (int, error) {
	return w.WriteLevel(zerolog.WarnLevel, p)
}

// WriteLevel implements zerolog.LevelWriter.WriteLevel.
func (w *Writer) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	w.once.Do(w.init)
	if l < zerolog.WarnLevel && w.usual.Add(1) > mostUsual {
		w.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Run writes lines until ctx ends, and then those that wait.
func (w *Writer) Run(ctx context.Context) error {
	w.once.Do(w.init)
	stop := w.Timer.Every(interval, func(time.Time) { w.refill() })
	defer stop()
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return nil
		case l := <-w.lines:
			if _, err := w.Out.Write(l); err != nil {
				w.dropped.Add(1)
			}
		}
	}
}

// Dropped returns the number of lines that were dropped and not told of yet.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

func (w *Writer) init() {
	w.lines = make(chan []byte, mostWaiting)
}

// refill opens the budget of the next second and tells what was dropped in the last one.
func (w *Writer) refill() {
	w.usual.Store(0)
	n := w.dropped.Swap(0)
	if n == 0 {
		return
	}
	l := fmt.Appendf(nil, `{"level":"warn","dropped":%d,"message":"log lines dropped"}`+"\n", n)
	select {
	case w.lines <- l:
	default:
		w.dropped.Add(n)
	}
}

// flush writes the lines that wait.
func (w *Writer) flush() {
	for {
		select {
		case l := <-w.lines:
			if _, err := w.Out.Write(l); err != nil {
				return // nobody reads any more
			}
		default:
			return
		}
	}
}
