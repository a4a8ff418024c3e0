package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that states what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	file      *os.File
	w         *bufio.Writer
	startedAt time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, w: bufio.NewWriter(f), startedAt: time.Now()}, nil
}

// printf writes a line with the seconds since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f ", time.Since(r.startedAt).Seconds())
	_, _ = fmt.Fprintf(r.w, format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
