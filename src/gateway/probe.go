package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Timing of probes.
const (
	probeTimeout = 300 * time.Millisecond // of an attempt to connect
	probeHold    = 20 * time.Millisecond  // for which a new connection stays open if a server is behind it
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
	dial dialFunc
}

func newProber() *prober { return &prober{dial: (&net.Dialer{}).DialContext} }

// connects reports whether an address accepts a connection.
func (p *prober) connects(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// probe connects to an address and waits a moment whether the connection stays open.
func (p *prober) probe(address string) probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return probeRefused
	case err != nil:
		return probeNoAnswer
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(probeHold)); err != nil {
		return probeClosed
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return probeClosed
	}
	return probeAccepted
}
