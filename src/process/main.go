// Package process is what the binaries' main functions share: the command
// line, the settings check, signals and exit codes.
package process

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	_ "github.com/crankridge/crankridge/src/hangup" // a hangup must not end the process
	"github.com/crankridge/crankridge/src/telemetry"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type flags struct {
	Settings string `help:"Settings file (YAML); docs/SETTINGS.md lists every field." required:"" short:"s" type:"path"`
	Check    bool   `help:"Check the settings and exit."`
	Verbose  int    `help:"Log more: 1 for retries and lost connections." short:"v" default:"0"`
}

// Main reads the settings and runs the process until SIGTERM or an interrupt.
func Main[T any](name, doc string, load func(path string) (T, error), run func(context.Context, T) error) {
	var f flags
	kong.Parse(&f, kong.Name(name), kong.Description(doc))
	lines := logTo(f.Verbose)
	defer flush(lines)
	set, err := load(f.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if f.Check {
		fmt.Println("settings are valid")
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, set); err != nil {
		klog.ErrorS(err, "failed", "process", name)
		flush(lines)
		os.Exit(exitFailed)
	}
}

// logTo sends the log to standard output by a writer that never blocks.
func logTo(level int) *telemetry.LogWriter {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("v", fmt.Sprint(level))
	_ = fs.Set("logtostderr", "false")
	_ = fs.Set("stderrthreshold", "FATAL")
	_ = fs.Set("one_output", "true")
	w := telemetry.NewLogWriter(os.Stdout)
	klog.SetOutput(w)
	return w
}

// flush writes what is left of the log, within flushMost.
func flush(w *telemetry.LogWriter) {
	klog.Flush()
	done := make(chan struct{})
	go func() {
		w.Flush()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushMost):
	}
}

// flushMost bounds the wait for a reader of the log that is slow.
const flushMost = 200 * time.Millisecond
