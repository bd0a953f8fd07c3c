package telemetry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/crankridge/crankridge/src/conn"
)

// Traffic counts the bytes, protocol headers included, that pass over a set of
// connections.
type Traffic struct{ In, Out atomic.Int64 }

type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(int64(n))
	return n, err
}

// Dial returns a dial function whose connections are counted in t.
func (t *Traffic) Dial(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := conn.Dialer(timeout)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countingConn{c, t}, nil
	}
}

// Listen wraps ln so that accepted connections are counted in t.
func (t *Traffic) Listen(ln net.Listener) net.Listener { return countingListener{ln, t} }

type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.traffic}, nil
}
