package telemetry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/crankridge/crankridge/src/conn"
)

// Traffic counts the bytes of one channel's connections, headers included.
type Traffic struct{ In, Out atomic.Int64 }

type countedConn struct {
	net.Conn
	t *Traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.In.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.Out.Add(int64(n))
	return n, err
}

// Dial returns a dial function whose connections are counted.
func (t *Traffic) Dial(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := conn.Dialer(timeout)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countedConn{c, t}, nil
	}
}

// Listen wraps a listener so that its connections are counted.
func (t *Traffic) Listen(ln net.Listener) net.Listener { return countedListener{ln, t} }

type countedListener struct {
	net.Listener
	t *Traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.t}, nil
}
