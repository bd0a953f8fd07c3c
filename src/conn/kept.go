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

// Kept makes calls that are bounded in time over connections that are kept. A
// call that runs out of time on a kept connection casts doubt on the others:
// the idle ones are given up, so that the next call uses a new connection. It
// is for calls that are answered at once or by a time that the caller set, not
// for requests whose work takes long.
type StallDetectingTransport struct {
	Transport *http.Transport
	// OnSilent is called when new connections to a host work after a kept one
	// was silent. It may be nil.
	OnStalledConn func(host string)

	mu      sync.Mutex
	doubted map[string]bool // hosts whose kept connections were silent
}

// RoundTrip makes one call.
func (k *StallDetectingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) }}
	resp, err := k.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	switch {
	case err == nil && !reused.Load():
		k.worksAnew(r.URL.Host)
	case reused.Load() && timedOut(err):
		k.doubt(r.URL.Host)
	}
	return resp, err
}

func timedOut(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

func (k *StallDetectingTransport) doubt(host string) {
	k.mu.Lock()
	if k.doubted == nil {
		k.doubted = map[string]bool{}
	}
	k.doubted[host] = true
	k.mu.Unlock()
	k.Transport.CloseIdleConnections()
}

func (k *StallDetectingTransport) worksAnew(host string) {
	k.mu.Lock()
	silent := k.doubted[host]
	delete(k.doubted, host)
	k.mu.Unlock()
	if silent && k.OnStalledConn != nil {
		k.OnStalledConn(host)
	}
}
