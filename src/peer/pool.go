// Package peer is the protocol between nodes: generated twirp code, the pool
// of clients, and the guard of the peers' listener.
package peer

import (
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/conn"
	"github.com/crankridge/crankridge/src/telemetry"
)

const (
	bearer       = "Bearer "
	idlePerPeer  = 32
	dialTimeout  = time.Second
	callTimeout  = 30 * time.Second
	idleTimeout  = time.Minute
	headerSecret = "Authorization"
)

// Pool gives clients of peers by address. Its own traffic is counted.
type Pool struct {
	Traffic telemetry.Traffic
	client  *http.Client
	mu      sync.Mutex
	peers   map[string]Peer
}

// NewPool returns a pool that shows the given secret to peers.
func NewPool(secret string) *Pool {
	p := &Pool{peers: map[string]Peer{}}
	tr := &http.Transport{
		MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: idleTimeout,
		DialContext: p.Traffic.Dial(dialTimeout), DisableCompression: true,
	}
	p.client = &http.Client{Transport: withSecret{secret, &conn.StallDetectingTransport{Transport: tr}}, Timeout: callTimeout}
	return p
}

// To returns the client of the peer at addr (host:port).
func (p *Pool) Client(addr string) Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.peers[addr]
	if c == nil {
		c = NewPeerProtobufClient("http://"+addr, p.client)
		p.peers[addr] = c
	}
	return c
}

type withSecret struct {
	secret string
	next   http.RoundTripper
}

// RoundTrip adds the secret and drops the client's name, which peers do not need.
func (w withSecret) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(headerSecret, bearer+w.secret)
	r.Header.Set("User-Agent", "")
	return w.next.RoundTrip(r)
}

// Guard lets only requests with the secret through.
func RequireSecret(secret string, next http.Handler) http.Handler {
	want := []byte(bearer + secret)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(headerSecret)), want) != 1 {
			http.Error(w, "wrong secret", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
