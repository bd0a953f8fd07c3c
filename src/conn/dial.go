// Package conn dials connections that are kept open to other processes and
// detects those that have stalled: packets are lost without a reset, while new
// connections work.
package conn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits after which the kernel closes a connection to an unresponsive peer.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2               // unanswered probes that close the connection
	userTimeout       = 4 * time.Second // maximum time sent data may stay unacknowledged
)

// Dialer returns a dialer whose connections fail once the peer has not responded
// for userTimeout, whether the connection is idle or has data in flight. timeout
// limits connection setup.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
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
