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

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"
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
	logTo(f.Verbose)
	defer klog.Flush()
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
		klog.Flush()
		os.Exit(exitFailed)
	}
}

func logTo(level int) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("v", fmt.Sprint(level))
	_ = fs.Set("logtostderr", "true")
}
