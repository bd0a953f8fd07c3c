// Package hangup ignores SIGHUP from process start, before other packages are
// initialized: its only imports are os/signal and syscall. Use os/signal.Notify
// to handle the signal.
package hangup

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
