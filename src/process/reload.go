package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// lookEvery is how often a settings file is looked at for a change without a signal.
const lookEvery = time.Second

// Reload loads the settings at path again, and puts them in force by apply, at
// each hangup signal and each change of the file, until ctx ends. Settings
// that are wrong change nothing.
func Reload[T any](ctx context.Context, path string, load func(path string) (T, error), apply func(T)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	last := changedAt(path)
	for {
		by := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-time.After(lookEvery):
			if at := changedAt(path); !at.After(last) {
				continue
			}
			by = "change"
		}
		last = changedAt(path)
		set, err := load(path)
		klog.InfoS("reload", "path", path, "by", by, "err", err)
		if err == nil {
			apply(set)
		}
	}
}

// changedAt is when the file was changed; the zero time when it is not there.
func changedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
