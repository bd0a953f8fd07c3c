package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowOutput takes nothing until it is opened.
type slowOutput struct {
	mu      sync.Mutex
	entered chan struct{} // told, where it is set, of each write that begins
	open    chan struct{}
	got     bytes.Buffer
}

func (o *slowOutput) Write(p []byte) (int, error) {
	if o.entered != nil {
		o.entered <- struct{}{}
	}
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.got.Write(p)
}

func TestLogNeverBlocksAndTellsWhatItDropped(t *testing.T) {
	is := is.New(t)
	out := &slowOutput{open: make(chan struct{})}
	w := NewLogWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * logLines {
			_, _ = w.Write([]byte("a line\n"))
		}
		_, _ = w.Write(bytes.Repeat([]byte("x"), 10*logLineBytes))
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a write blocked")
	}
	is.True(w.Dropped() >= 2*logLines-1)
	close(out.open)
	w.Flush()
	_, _ = w.Write([]byte("after\n"))
	w.Flush()
	text := out.got.String()
	is.True(strings.Contains(text, "log_dropped lines="))
	is.True(strings.HasSuffix(text, "after\n"))
	is.True(len(text) < (logLines+10)*logLineBytes)
}

func TestDroppedLinesCountUntilTheyAreTold(t *testing.T) {
	is := is.New(t)
	out := &slowOutput{entered: make(chan struct{}, 2*logLines), open: make(chan struct{})}
	w := &LogWriter{lines: make(chan []byte, logLines), out: out}
	for range logLines + 10 {
		_, _ = w.Write([]byte("a line\n"))
	}
	go w.run()
	<-out.entered // it is telling of the loss, and the output takes nothing
	is.Equal(w.Dropped(), int64(10))
	close(out.open)
	w.Flush()
	is.Equal(w.Dropped(), int64(0))
	is.True(strings.HasPrefix(out.got.String(), "log_dropped lines=10\n"))
}
