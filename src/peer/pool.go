// Package peer implements the protocol between nodes: generated Twirp code, a
// pool of clients, and authentication by a shared secret.
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
	bearer         = "Bearer "
	maxIdlePerPeer = 32 // connections
	dialTimeout    = time.Second
	callTimeout    = 30 * time.Second
	idleTimeout    = time.Minute
	headerSecret   = "Authorization"
)

// Pool holds a client per peer address. Traffic counts the bytes it transfers.
type Pool struct {
	Traffic telemetry.Traffic
	client  *http.Client
	mu      sync.Mutex
	peers   map[string]Peer
}

// NewPool returns a pool whose clients send the given secret to peers.
func NewPool(secret string) *Pool {
	p := &Pool{peers: map[string]Peer{}}
	tr := conn.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleTimeout,
		DialContext: p.Traffic.Dial(dialTimeout), DisableCompression: true,
	})
	p.client = &http.Client{Transport: secretTransport{secret, &conn.StallDetectingTransport{Transport: tr}}, Timeout: callTimeout}
	return p
}

// Client returns the client of the peer at addr (host:port).
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

type secretTransport struct {
	secret string
	next   http.RoundTripper
}

// RoundTrip adds the secret and clears User-Agent, which peers do not use.
func (w secretTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(headerSecret, bearer+w.secret)
	r.Header.Set("User-Agent", "")
	return w.next.RoundTrip(r)
}

// RequireSecret rejects requests that do not carry the secret.
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
