package gateway

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// listenFor calls handle with each new connection to a new listener.
func listenFor(t *testing.T, handle func(net.Listener, net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handle(listener, conn)
		}
	}()
	return listener.Addr().String()
}

// Guards against ORDER of review/1: the listener of a process that is killed accepts connections
// for a moment after the response has ended with the process.
func TestEndOfUnframedResponseIsChecked(t *testing.T) {
	t.Parallel()                   // mostly waits
	held := make(chan net.Conn, 8) // keeps connections open
	for name, c := range map[string]struct {
		handle    func(net.Listener, net.Conn)
		truncated bool
		seen      bool
	}{
		"sound": {func(_ net.Listener, conn net.Conn) { held <- conn }, false, true},
		"dying": {func(l net.Listener, conn net.Conn) {
			time.Sleep(probeHold / 4)
			_ = l.Close()
			_ = conn.Close()
		}, true, false},
		"full": {func(_ net.Listener, conn net.Conn) { _ = conn.Close() }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &forwarder{node: &Node{prober: newProber()}}
			err := f.endCheck(&upstream{address: listenFor(t, c.handle)}, &http.Response{ContentLength: -1})()
			is.Equal(errors.Is(err, errTruncated), c.truncated)
			is.Equal(f.seenAtEnd, c.seen)
		})
	}
}
