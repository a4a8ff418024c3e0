// Package logs limits the rate at which a process writes log lines. Writing never
// blocks: if the reader of the log is slow, excess lines are dropped and counted.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueCapacity is in lines, about one second of logging at maxLines.
	queueCapacity = 512
	// maxRoutineLines and maxLines are in lines per second. After maxRoutineLines lines
	// within a second, the lines of successfully answered requests are dropped; after
	// maxLines, all lines.
	maxRoutineLines = 300
	maxLines        = 600
)

// Writer queues log lines and writes them to another writer in the background.
type Writer struct {
	queue  chan []byte
	onDrop func()

	mu            sync.Mutex
	currentSecond int64
	written       int
	droppedLines  int
}

// NewWriter returns a Writer that writes to out. It calls onDrop for every line that
// is dropped.
func NewWriter(out io.Writer, dropped func()) *Writer {
	w := &Writer{queue: make(chan []byte, queueCapacity), onDrop: dropped}
	go func() {
		for line := range w.queue {
			_, _ = out.Write(line) // an error of the log itself cannot be logged
		}
	}()
	return w
}

// routineMarker is contained in the lines of successfully answered requests, which are
// dropped before other lines.
var routineMarker = []byte(`"@level":"info","@message":"request answered"`)

// Write queues one line or drops it. It never blocks on the underlying writer and
// returns no error.
func (w *Writer) Write(line []byte) (int, error) {
	limit := maxLines
	if bytes.Contains(line, routineMarker) {
		limit = maxRoutineLines
	}
	now := time.Now().Unix()
	w.mu.Lock()
	if w.currentSecond != now {
		if w.droppedLines > 0 {
			w.enqueue([]byte(fmt.Sprintf(`{"@level":"warn","@message":"log lines dropped","lines":%d}`+"\n", w.droppedLines)))
			w.droppedLines = 0
		}
		w.currentSecond, w.written = now, 0
	}
	w.written++
	if w.written > limit || !w.enqueue(bytes.Clone(line)) {
		w.droppedLines++
		w.onDrop()
	}
	w.mu.Unlock()
	return len(line), nil
}

func (w *Writer) enqueue(line []byte) bool {
	select {
	case w.queue <- line:
		return true
	default:
		return false
	}
}
