package conn

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// silenceMargin is by how much later than userTimeout the kernel may close a connection: it
// looks when a probe or a retransmission is due.
const silenceMargin = 1500 * time.Millisecond

// Guards against connections to a peer that has fallen silent which stay open for longer, or
// shorter, than the constants say, whatever the number of keep-alive probes.
func TestSilentPeerIsNoticedInTime(t *testing.T) {
	for name, c := range map[string]struct {
		dialer   *net.Dialer
		accepted bool // look at the accepted end
		write    bool // data is in flight
	}{
		"dialed, idle":             {dialer: Dialer(time.Second)},
		"dialed, data in flight":   {dialer: Dialer(time.Second), write: true},
		"dialed, many probes":      {dialer: dialerWithProbes(100)},
		"accepted, idle":           {dialer: dialerWithoutLimits(), accepted: true},
		"accepted, data in flight": {dialer: dialerWithoutLimits(), accepted: true, write: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // mostly waits
			near, far := connect(t, c.dialer)
			if c.accepted {
				near, far = far, near
			}
			dropSegments(t, far)
			dropSegments(t, near) // the other end's reset is lost too
			start := time.Now()
			if c.write {
				if _, err := near.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
			}
			_ = near.SetReadDeadline(start.Add(4 * userTimeout))
			_, err := near.Read(make([]byte, 1))
			took := time.Since(start)
			t.Logf("%v after %s", err, took)
			if !errors.Is(err, syscall.ETIMEDOUT) || took < userTimeout-100*time.Millisecond || took > userTimeout+silenceMargin {
				t.Errorf("want a timeout after %s", userTimeout)
			}
		})
	}
}

// Guards against closing connections to a peer that is silent for a second and goes on.
func TestPeerMayBeSilentForASecond(t *testing.T) {
	t.Parallel() // mostly waits
	near, far := connect(t, Dialer(time.Second))
	heal := dropSegments(t, far)
	if _, err := near.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond)
	heal()
	_ = far.SetReadDeadline(time.Now().Add(userTimeout))
	if _, err := far.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = near.SetReadDeadline(time.Now().Add(userTimeout))
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
}

func dialerWithProbes(count int) *net.Dialer {
	d := Dialer(time.Second)
	d.KeepAliveConfig.Count = count
	return d
}

// dialerWithoutLimits returns a dialer whose ends never close a silent connection.
func dialerWithoutLimits() *net.Dialer { return &net.Dialer{KeepAlive: -1} }

// connect returns both ends of a connection.
func connect(t *testing.T, dialer *net.Dialer) (dialed, accepted *net.TCPConn) {
	listener, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	a, err := dialer.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	return a.(*net.TCPConn), b.(*net.TCPConn)
}

// dropSegments makes the kernel drop what arrives at a connection, so that its peer gets no
// acknowledgement, until heal is called.
func dropSegments(t *testing.T, c *net.TCPConn) (heal func()) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	control := func(set func(fd int) error) {
		var setErr error
		if err := raw.Control(func(fd uintptr) { setErr = set(int(fd)) }); err != nil || setErr != nil {
			t.Fatal(err, setErr)
		}
	}
	control(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return func() {
		control(func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
	}
}
