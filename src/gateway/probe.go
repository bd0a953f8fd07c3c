package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/crankridge/crankridge/src/conn"
)

// Timing of probes.
const (
	probeTimeout = 300 * time.Millisecond // of an attempt to connect
	probeHold    = 20 * time.Millisecond  // for which a new connection stays open if a server is behind it
	endProbes    = 3                      // at the end of a response that is not framed, if the connections are closed
)

// probeResult is the result of an attempt to connect to a server.
type probeResult int

const (
	probeAccepted probeResult = iota
	probeRefused              // no process listens, or a partition refuses in its place
	probeClosed               // accepted and closed at once, as by a proxy without its server
	probeNoAnswer             // a timeout, or a failure of this node's own
)

// prober connects to servers without sending anything.
type prober struct {
	dial conn.DialFunc
}

func newProber() *prober { return &prober{dial: (&net.Dialer{}).DialContext} }

// connect connects to an address and closes the connection at once.
func (p *prober) connect(address string) probeResult {
	c, result := p.open(address)
	if c != nil {
		_ = c.Close()
	}
	return result
}

// probe connects to an address and waits a moment whether the connection stays open.
func (p *prober) probe(address string) probeResult {
	c, result := p.open(address)
	if c == nil {
		return result
	}
	defer func() { _ = c.Close() }()
	if err := c.SetReadDeadline(time.Now().Add(probeHold)); err != nil {
		return probeClosed
	}
	if _, err := c.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return probeClosed
	}
	return probeAccepted
}

// open returns a connection to an address, or nil and the reason.
func (p *prober) open(address string) (net.Conn, probeResult) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := p.dial(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, probeRefused
	case err != nil:
		return nil, probeNoAnswer
	}
	return c, probeAccepted
}
