// Package hangup ignores SIGHUP from package initialization on, so that a signal
// that arrives before os/signal.Notify is called does not terminate the process.
// It imports only os/signal and syscall so that it is initialized early.
package hangup

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
