package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockingOutput blocks every write until unblock is closed.
type blockingOutput struct {
	mu           sync.Mutex
	writeStarted chan struct{} // if set, receives a value when a write begins
	unblock      chan struct{}
	written      bytes.Buffer
}

func (o *blockingOutput) Write(p []byte) (int, error) {
	if o.writeStarted != nil {
		o.writeStarted <- struct{}{}
	}
	<-o.unblock
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(p)
}

// A slow output must not block the process.
func TestLogWriterDropsLinesInsteadOfBlocking(t *testing.T) {
	is := is.New(t)
	out := &blockingOutput{unblock: make(chan struct{})}
	w := NewLogWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLogLines {
			_, _ = w.Write([]byte("a line\n"))
		}
		_, _ = w.Write(bytes.Repeat([]byte("x"), 10*maxLogLineBytes))
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a write blocked")
	}
	is.True(w.Dropped() >= 2*maxQueuedLogLines-1)
	close(out.unblock)
	w.Flush()
	_, _ = w.Write([]byte("after\n"))
	w.Flush()
	text := out.written.String()
	is.True(strings.Contains(text, "log_dropped lines="))
	is.True(strings.HasSuffix(text, "after\n"))
	is.True(len(text) < (maxQueuedLogLines+10)*maxLogLineBytes)
}

func TestDroppedLinesCountUntilReported(t *testing.T) {
	is := is.New(t)
	out := &blockingOutput{writeStarted: make(chan struct{}, 2*maxQueuedLogLines), unblock: make(chan struct{})}
	w := &LogWriter{lines: make(chan []byte, maxQueuedLogLines), out: out}
	for range maxQueuedLogLines + 10 {
		_, _ = w.Write([]byte("a line\n"))
	}
	go w.run()
	<-out.writeStarted // the report of dropped lines is being written, and blocks
	is.Equal(w.Dropped(), int64(10))
	close(out.unblock)
	w.Flush()
	is.Equal(w.Dropped(), int64(0))
	is.True(strings.HasPrefix(out.written.String(), "log_dropped lines=10\n"))
}
