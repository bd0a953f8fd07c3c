package conn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// StallDetectingTransport sends requests over pooled connections. When a request
// times out on a reused connection, the idle connections are closed as well, so
// that the next request opens a new one. Use it only for requests that are
// answered promptly or within a deadline set by the caller: a slow response is
// indistinguishable from a stalled connection.
type StallDetectingTransport struct {
	Transport *Transport
	// OnStalledConn is called when a new connection to a host works after a
	// request on a pooled one timed out. It may be nil.
	OnStalledConn func(host string)

	mu      sync.Mutex
	stalled map[string]bool // hosts with a timeout on a reused connection since the last new one
}

// RoundTrip implements http.RoundTripper.
func (t *StallDetectingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) }}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	switch {
	case err == nil && !reused.Load():
		t.newConnWorked(r.URL.Host)
	case reused.Load() && isTimeout(err):
		t.markStalled(r.URL.Host)
	}
	return resp, err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

func (t *StallDetectingTransport) markStalled(host string) {
	t.mu.Lock()
	if t.stalled == nil {
		t.stalled = map[string]bool{}
	}
	t.stalled[host] = true
	t.mu.Unlock()
	t.Transport.CloseIdleConnections()
}

func (t *StallDetectingTransport) newConnWorked(host string) {
	t.mu.Lock()
	hadStall := t.stalled[host]
	delete(t.stalled, host)
	t.mu.Unlock()
	if hadStall && t.OnStalledConn != nil {
		t.OnStalledConn(host)
	}
}
