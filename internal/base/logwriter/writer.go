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
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 4096
	// maxInfoPerInterval is the maximum number of lines below warning level per interval.
	maxInfoPerInterval = 400
	// interval is the period of the limit of info lines and of the report of dropped lines.
	interval = time.Second
)

// Writer queues log lines without blocking and writes them in order from its own goroutine.
//
// It drops and counts lines when the queue is full. The number of lines below warning level is limited per
// second, so that they do not displace warnings and errors.
type Writer struct {
	// Out receives the lines.
	Out io.Writer
	// Timer is the clock.
	Timer *timer.Service

	once      sync.Once
	lines     chan []byte
	infoLines atomic.Int64
	dropped   atomic.Int64
}

// Write implements io.Writer.Write.
func (w *Writer) Write(p []byte) (int, error) {
	return w.WriteLevel(zerolog.WarnLevel, p)
}

// WriteLevel implements zerolog.LevelWriter.WriteLevel.
func (w *Writer) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	w.once.Do(w.init)
	if l < zerolog.WarnLevel && w.infoLines.Add(1) > maxInfoPerInterval {
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

// Run writes queued lines until ctx ends, and then the remaining ones.
func (w *Writer) Run(ctx context.Context) error {
	w.once.Do(w.init)
	stop := w.Timer.Every(interval, func(time.Time) { w.startInterval() })
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

// Dropped returns the number of dropped lines that have not been reported yet.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

func (w *Writer) init() {
	w.lines = make(chan []byte, maxQueuedLines)
}

// startInterval resets the limit of lines below warning level and reports the lines dropped in the last interval.
func (w *Writer) startInterval() {
	w.infoLines.Store(0)
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

// flush writes the queued lines.
func (w *Writer) flush() {
	for {
		select {
		case l := <-w.lines:
			if _, err := w.Out.Write(l); err != nil {
				return // nothing reads the output any more
			}
		default:
			return
		}
	}
}
