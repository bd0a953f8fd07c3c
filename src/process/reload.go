package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// Timing of the checks of the settings file.
const (
	pollInterval = time.Second            // of its modification time
	settleTime   = 500 * time.Millisecond // without a further modification, after which it is read
)

// Reload loads and applies the settings at path on each SIGHUP and whenever the
// file's modification time changes, until ctx is done. Invalid settings are not
// applied. A file that is being modified is not read until it has been left
// alone for settleTime, except on a signal.
func Reload[T any](ctx context.Context, path string, load func(path string) (T, error), apply func(T)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	file := watchedFile{path: path, loaded: modTime(path)}
	for wait := pollInterval; ; {
		trigger := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-time.After(wait):
			due := false
			if due, wait = file.poll(); !due {
				continue
			}
			trigger = "change"
		}
		file.loaded = modTime(path)
		wait = pollInterval
		cfg, err := load(path)
		klog.InfoS("reload", "path", path, "by", trigger, "err", err)
		if err == nil {
			apply(cfg)
		}
	}
}

// watchedFile is a settings file and its modification times.
type watchedFile struct {
	path   string
	loaded time.Time // when it was read last
	seen   time.Time // at the last poll
}

// poll reports whether the file has to be read, as it was modified since and then left alone,
// and otherwise the time until the next poll.
func (f *watchedFile) poll() (due bool, wait time.Duration) {
	at, before := modTime(f.path), f.seen
	f.seen = at
	switch {
	case at.IsZero() || at.Equal(f.loaded):
		return false, pollInterval
	case !at.Equal(before):
		return false, settleTime
	}
	return true, pollInterval
}

// modTime returns the file's modification time, or the zero time if it cannot be
// read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
