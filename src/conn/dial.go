// Package conn holds what the clients of the product have in common: dialing, detection of stalled
// connections, bounds of responses, and checks of what is received (Transport).
package conn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits after which the kernel closes a connection to an unresponsive peer. Together the
// keep-alive limits come to userTimeout, which alone decides on Linux: while TCP_USER_TIMEOUT is
// set, the number of probes has no effect.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2               // unanswered
	userTimeout       = 3 * time.Second // a sound peer may be silent for a second or so
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}

// Dialer returns a dialer whose connections fail once the peer has not responded
// for userTimeout, whether the connection is idle or has data in flight. timeout
// limits connection setup.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen listens on a TCP address for connections with the limits of those of Dialer.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	config.SetMultipathTCP(false) // accepted connections would not inherit TCP_USER_TIMEOUT
	return config.Listen(ctx, "tcp", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT. Keep-alive alone does not suffice: no
// probes are sent while data is unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
