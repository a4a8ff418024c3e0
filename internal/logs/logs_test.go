package logs

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against a process that blocks because nobody reads its log.
func TestFullPipeDoesNotBlock(t *testing.T) {
	r, out := io.Pipe() // nobody reads
	defer func() { _ = r.Close() }()
	dropped := 0
	w := NewWriter(out, func() { dropped++ })
	done := make(chan bool)
	go func() {
		defer close(done)
		for range 2000 {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing to the log blocks")
	}
	if dropped == 0 {
		t.Error("no dropped line was counted")
	}
}

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Guards against failures that are not logged because the lines of successful
// requests have used up the rate limit.
func TestRoutineLinesAreDroppedFirst(t *testing.T) {
	var out buffer
	w := NewWriter(&out, func() {})
	for range maxRoutineLines + 50 {
		_, _ = w.Write([]byte(`{"@level":"info","@message":"request answered"}` + "\n"))
	}
	_, _ = w.Write([]byte(`{"@level":"warn","@message":"request refused or failed"}` + "\n"))
	deadline := time.Now().Add(5 * time.Second)
	for !strings.Contains(out.String(), "refused") {
		if time.Now().After(deadline) {
			t.Fatal("the line of a failed request was dropped")
		}
		time.Sleep(time.Millisecond)
	}
}
