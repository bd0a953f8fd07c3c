package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Bounds of the log.
const (
	logLines     = 4096 // lines that wait for their turn
	logLineBytes = 4096 // a longer line is cut
)

// LogWriter passes lines on from a goroutine of its own and never blocks its
// writer: when the reader of the output is too slow, lines are dropped and
// the number of them is written once there is room.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	pending sync.WaitGroup
	out     io.Writer
}

// NewLogWriter returns a writer that passes lines on to out.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{lines: make(chan []byte, logLines), out: out}
	go w.run()
	return w
}

// Write takes one line. It always reports success.
func (w *LogWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line[:min(len(line), logLineBytes)]...)
	if len(line) > logLineBytes {
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

// Dropped is the number of lines dropped and not told yet.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Flush waits until the lines taken so far are written.
func (w *LogWriter) Flush() { w.pending.Wait() }

func (w *LogWriter) run() {
	for line := range w.lines {
		if lost := w.dropped.Load(); lost > 0 {
			_, _ = fmt.Fprintf(w.out, "log_dropped lines=%d\n", lost)
			w.dropped.Add(-lost) // told only now: the output may have blocked
		}
		_, _ = w.out.Write(line)
		w.pending.Done()
	}
}
