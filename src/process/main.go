// Package process implements what the main functions of the binaries share:
// command line, settings check, signals and exit codes.
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

	_ "github.com/crankridge/crankridge/src/hangup" // keeps SIGHUP from terminating the process
	"github.com/crankridge/crankridge/src/telemetry"
)

// Exit codes.
const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

type flags struct {
	Settings string `help:"Settings file: YAML (docs/SETTINGS.md lists every field), or name=value lines for crank-gateway." required:"" short:"s" type:"path"`
	Check    bool   `help:"Validate the settings and exit."`
	Verbose  int    `help:"Log verbosity; 1 adds errors that are retried and, in crank-gateway, every request." short:"v" default:"0"`
}

// Main loads the settings and calls run with a context that is canceled on
// SIGINT or SIGTERM.
func Main[T any](name, description string, load func(path string) (T, error), run func(context.Context, T) error) {
	var f flags
	kong.Parse(&f, kong.Name(name), kong.Description(description))
	logs := setUpLogging(f.Verbose)
	defer flush(logs)
	cfg, err := load(f.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
	if f.Check {
		fmt.Println("settings are valid")
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, cfg); err != nil {
		klog.ErrorS(err, "failed", "process", name)
		flush(logs)
		os.Exit(exitFailure)
	}
}

// setUpLogging directs klog to standard output through a non-blocking writer.
func setUpLogging(level int) *telemetry.LogWriter {
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

// flush writes buffered log lines, for at most flushTimeout.
func flush(w *telemetry.LogWriter) {
	klog.Flush()
	done := make(chan struct{})
	go func() {
		w.Flush()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}

// flushTimeout bounds the wait for a slow reader of the log.
const flushTimeout = 200 * time.Millisecond
