package gateway

import (
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/traffic"
)

// Times and bounds of connections to servers.
const (
	serverDial      = 400 * time.Millisecond
	serverIdle      = 3 * time.Second         // for servers that have not told how long they keep idle connections
	serverIdleEarly = 1500 * time.Millisecond // before a server closes an idle connection
	idlePerServer   = 64
	ejectFirst      = 500 * time.Millisecond
	ejectMost       = 4 * time.Second
	failuresToEject = 3
	failureHalf     = 0.8 // weight that a server's failure rate keeps with each answer
)

// server is one server with what this node has there.
type server struct {
	traffic.Server
	client    *http.Transport
	idle      time.Duration // after which its connections are given up
	leaving   bool
	requests  int   // of this node, in progress
	unread    int64 // prompt tokens of this node's requests without a first event
	failures  int   // in a row
	failRate  float64
	ejected   time.Time
	eject     time.Duration
	elsewhere remoteLoad // other nodes' load, as told last
}

// remoteLoad is what other nodes have at a server.
type remoteLoad struct {
	requests int
	unread   int64
}

// fleet is the servers known to this node.
type fleet struct {
	mu      sync.Mutex
	servers map[string]*server
	idle    map[string]time.Duration // by service, as learned from answers
	now     func() time.Time
}

func newFleet(now func() time.Time) *fleet {
	return &fleet{servers: map[string]*server{}, idle: map[string]time.Duration{}, now: now}
}

// set takes in the servers that are listed; the others are gone.
func (f *fleet) set(list []traffic.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		known := f.servers[s.ID]
		if known == nil {
			idle := f.idle[s.Service]
			known = &server{client: newServerTransport(idle), idle: idle}
			f.servers[s.ID] = known
		}
		known.Server = s
		known.leaving = known.leaving || s.Draining
	}
	for id, s := range f.servers {
		if !listed[id] {
			delete(f.servers, id)
			s.client.CloseIdleConnections()
		}
	}
}

// keeps notes how long a server keeps idle connections, as its answer told.
func (f *fleet) keeps(s *server, header http.Header) {
	text, ok := strings.CutPrefix(header.Get("Keep-Alive"), "timeout=")
	told, err := strconv.Atoi(text)
	if !ok || err != nil {
		return
	}
	idle := max(time.Duration(told)*time.Second-serverIdleEarly, time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle[s.Service] = idle
	if s.idle != idle {
		// The old client's connections end by its own, shorter time.
		s.client, s.idle = newServerTransport(idle), idle
	}
}

// transport is the server's client as it stands.
func (f *fleet) transport(s *server) *http.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.client
}

func newServerTransport(idle time.Duration) *http.Transport {
	if idle == 0 {
		idle = serverIdle
	}
	dialer := &net.Dialer{Timeout: serverDial, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerServer, IdleConnTimeout: idle,
		DisableCompression: true, MaxResponseHeaderBytes: 64 << 10,
	}
}

// leave marks a server as leaving; it is never used again. It reports whether
// that is news.
func (f *fleet) leave(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || s.leaving {
		return false
	}
	s.leaving = true
	return true
}

// begin counts a request as in progress at a server.
func (f *fleet) begin(s *server, unread int64) {
	f.mu.Lock()
	s.requests++
	s.unread += unread
	f.mu.Unlock()
}

// read takes a prompt off what a server has still to read.
func (f *fleet) read(s *server, unread int64) {
	f.mu.Lock()
	s.unread -= unread
	f.mu.Unlock()
}

// end counts a request as no longer in progress.
func (f *fleet) end(s *server) {
	f.mu.Lock()
	s.requests--
	f.mu.Unlock()
}

// succeeded notes a whole answer.
func (f *fleet) succeeded(s *server) {
	f.mu.Lock()
	s.failures, s.eject = 0, 0
	s.failRate *= failureHalf
	f.mu.Unlock()
}

// failed notes a failure; several in a row keep new work away for a while.
func (f *fleet) failed(s *server, atOnce bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.failures++
	s.failRate = s.failRate*failureHalf + (1 - failureHalf)
	if s.failures < failuresToEject && !atOnce {
		return
	}
	s.eject = min(max(2*s.eject, ejectFirst), ejectMost)
	s.ejected = f.now().Add(s.eject)
}

// loads returns what this node has at each server.
func (f *fleet) loads() map[string]remoteLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]remoteLoad{}
	for id, s := range f.servers {
		if s.requests > 0 || s.unread > 0 {
			out[id] = remoteLoad{s.requests, s.unread}
		}
	}
	return out
}

// setElsewhere takes in what all other nodes together have at the servers, and
// what they have at each server that is not told one by one.
func (f *fleet) setElsewhere(loads map[string]remoteLoad, rest remoteLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		load, ok := loads[id]
		if !ok {
			load = rest
		}
		s.elsewhere = load
	}
}

// candidates returns the servers of a service that may take a request, in
// order of id. Ejected ones are left out unless nothing else is there.
func (f *fleet) candidates(service string, avoid map[string]bool) []candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var out, ejected []candidate
	for _, s := range f.servers {
		if s.Service != service || s.leaving || avoid[s.ID] {
			continue
		}
		c := candidate{server: s, id: s.ID, domain: s.FailureDomain, slots: s.Slots, failRate: s.failRate,
			requests: s.requests + s.elsewhere.requests, unread: s.unread + s.elsewhere.unread}
		if now.Before(s.ejected) {
			ejected = append(ejected, c)
			continue
		}
		out = append(out, c)
	}
	if len(out) == 0 {
		out = ejected
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// list returns the servers of a service, leaving ones included.
func (f *fleet) list(service string) []traffic.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []traffic.Server
	for _, s := range f.servers {
		if s.Service == service {
			one := s.Server
			one.Draining = one.Draining || s.leaving
			out = append(out, one)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// running is how many requests all nodes have at a server.
func (f *fleet) running(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return 0
	}
	return float64(s.requests + s.elsewhere.requests)
}
