package stage

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case tells what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// Add adds a line with the time since the start of the case.
func (r *Record) Add(what string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s", time.Since(r.start).Seconds(), what)
	for _, v := range values {
		_, _ = fmt.Fprintf(r.out, " %v", v)
	}
	_ = r.out.WriteByte('\n')
}

// Close writes the rest of the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
