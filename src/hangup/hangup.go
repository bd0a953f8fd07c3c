// Package hangup keeps a hangup signal from ending a process from its first
// moments on: it depends on next to nothing, so that it is initialized before
// the libraries. Whoever acts on the signal asks for it by os/signal.
package hangup

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
