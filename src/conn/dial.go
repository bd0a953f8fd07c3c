// Package conn makes the connections that a process keeps to others, and finds
// out when they have fallen silent: bytes are lost, nothing is reset, and new
// connections work.
package conn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which the kernel ends a connection whose other side is silent.
const (
	probeIdle   = 2 * time.Second // without traffic, before the first keep-alive probe
	probeEvery  = time.Second
	probesMost  = 2               // unanswered
	unackedMost = 4 * time.Second // for bytes that were sent and not acknowledged
)

// Dialer returns a dialer whose connections end with an error once the other
// side has been silent for unackedMost, whether or not anything was sent.
// timeout bounds the dialing itself.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probesMost},
		Control:         boundUnacked,
	}
}

// boundUnacked sets how long sent bytes may stay unacknowledged. Keep-alive
// probes are not sent while some are.
func boundUnacked(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedMost.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
