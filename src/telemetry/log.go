package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	maxQueuedLogLines = 4096
	maxLogLineBytes   = 4096 // longer lines are truncated
)

// LogWriter writes log lines from a separate goroutine and never blocks its
// caller. When the output is too slow, lines are dropped and their number is
// logged as soon as the output accepts data again.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	pending sync.WaitGroup
	out     io.Writer
}

// NewLogWriter returns a LogWriter that writes to out.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{lines: make(chan []byte, maxQueuedLogLines), out: out}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full. It always reports
// success.
func (w *LogWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line[:min(len(line), maxLogLineBytes)]...)
	if len(line) > maxLogLineBytes {
		kept[len(kept)-1] = '\n'
	}
	w.pending.Add(1)
	select {
	case w.lines <- kept:
	default:
		w.pending.Done()
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Flush blocks until all queued lines have been written.
func (w *LogWriter) Flush() { w.pending.Wait() }

func (w *LogWriter) run() {
	for line := range w.lines {
		if count := w.dropped.Load(); count > 0 {
			_, _ = fmt.Fprintf(w.out, "log_dropped lines=%d\n", count)
			w.dropped.Add(-count) // subtracted after the write, which may block
		}
		_, _ = w.out.Write(line)
		w.pending.Done()
	}
}
