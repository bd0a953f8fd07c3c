package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/conn"
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

// upstream is one life of a server at one address, with what this node has
// there. What changes is guarded by the fleet's lock.
type upstream struct {
	id        string
	address   string
	entry     traffic.Upstream // as it is listed now
	life      context.Context  // ends when the server has started again: what it was sent is lost
	end       context.CancelFunc
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
	mu        sync.Mutex
	upstreams map[string]*upstream
	byService map[string][]*upstream   // sorted by id
	idle      map[string]time.Duration // by service, as learned from answers
	now       func() time.Time
}

func newFleet(now func() time.Time) *fleet {
	return &fleet{upstreams: map[string]*upstream{}, idle: map[string]time.Duration{}, now: now}
}

// set takes in the servers that are listed; the others are gone. It returns
// the ids of those that are gone or have started again, of which nothing that
// was known holds any more.
func (f *fleet) set(list []traffic.Upstream) (over []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		known := f.upstreams[s.ID]
		if known != nil && (known.entry.StartedMS != s.StartedMS || known.address != s.Address) {
			over = append(over, s.ID)
			known.end()
			known.client.CloseIdleConnections()
			klog.InfoS("server_born_again", "server", s.ID, "born", s.StartedMS, "before", known.entry.StartedMS, "requests", known.requests)
			known = nil
		}
		if known == nil {
			known = f.newUpstream(s)
			f.upstreams[s.ID] = known
		}
		known.entry = s
		known.leaving = known.leaving || s.Draining
	}
	for id, s := range f.upstreams {
		if !listed[id] {
			// It may serve on for a while what it was sent: its life is not ended.
			over = append(over, id)
			delete(f.upstreams, id)
			s.client.CloseIdleConnections()
		}
	}
	f.sortByService()
	return over
}

func (f *fleet) newUpstream(s traffic.Upstream) *upstream {
	idle := f.idle[s.Service]
	life, end := context.WithCancel(context.Background())
	return &upstream{id: s.ID, address: s.Address, life: life, end: end, client: newServerTransport(idle), idle: idle}
}

func (f *fleet) sortByService() {
	f.byService = map[string][]*upstream{}
	for _, id := range slices.Sorted(maps.Keys(f.upstreams)) {
		s := f.upstreams[id]
		f.byService[s.entry.Service] = append(f.byService[s.entry.Service], s)
	}
}

// keeps notes how long a server keeps idle connections, as its answer told.
func (f *fleet) keeps(s *upstream, header http.Header) {
	text, ok := strings.CutPrefix(header.Get("Keep-Alive"), "timeout=")
	told, err := strconv.Atoi(text)
	if !ok || err != nil {
		return
	}
	idle := max(time.Duration(told)*time.Second-serverIdleEarly, time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle[s.entry.Service] = idle
	if s.idle != idle {
		// The old client's connections end by its own, shorter time.
		s.client, s.idle = newServerTransport(idle), idle
	}
}

// transport is the server's client as it stands.
func (f *fleet) transport(s *upstream) *http.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.client
}

func newServerTransport(idle time.Duration) *http.Transport {
	if idle == 0 {
		idle = serverIdle
	}
	return &http.Transport{
		DialContext: conn.Dialer(serverDial).DialContext, MaxIdleConnsPerHost: idlePerServer, IdleConnTimeout: idle,
		DisableCompression: true, MaxResponseHeaderBytes: 64 << 10,
	}
}

// dropIdle gives up the connections that no request uses just now.
func (f *fleet) dropIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.upstreams {
		s.client.CloseIdleConnections()
	}
}

// leave marks one life of a server as leaving; it is never used again. It
// reports whether that is news.
func (f *fleet) leave(s *upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.upstreams[s.id] != s || s.leaving {
		return false
	}
	s.leaving = true
	return true
}

// begin counts a request as in progress at a server.
func (f *fleet) begin(s *upstream, unread int64) {
	f.mu.Lock()
	s.requests++
	s.unread += unread
	f.mu.Unlock()
}

// read takes a prompt off what a server has still to read.
func (f *fleet) read(s *upstream, unread int64) {
	f.mu.Lock()
	s.unread -= unread
	f.mu.Unlock()
}

// end counts a request as no longer in progress.
func (f *fleet) end(s *upstream) {
	f.mu.Lock()
	s.requests--
	f.mu.Unlock()
}

// succeeded notes a whole answer.
func (f *fleet) succeeded(s *upstream) {
	f.mu.Lock()
	s.failures, s.eject = 0, 0
	s.failRate *= failureHalf
	f.mu.Unlock()
}

// failed notes a failure; several in a row keep new work away for a while.
func (f *fleet) failed(s *upstream, atOnce bool) {
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
	for id, s := range f.upstreams {
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
	for id, s := range f.upstreams {
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
	all := f.byService[service]
	out := make([]candidate, 0, len(all))
	var ejected []candidate
	for _, s := range all {
		if s.leaving || avoid[s.id] {
			continue
		}
		c := candidate{upstream: s, id: s.id, domain: s.entry.FailureDomain, slots: s.entry.Slots, failRate: s.failRate,
			requests: s.requests + s.elsewhere.requests, unread: s.unread + s.elsewhere.unread}
		if now.Before(s.ejected) {
			ejected = append(ejected, c)
			continue
		}
		out = append(out, c)
	}
	if len(out) == 0 {
		return ejected
	}
	return out
}

// list returns the servers of a service, leaving ones included.
func (f *fleet) list(service string) []traffic.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []traffic.Upstream
	for _, s := range f.byService[service] {
		one := s.entry
		one.Draining = one.Draining || s.leaving
		out = append(out, one)
	}
	return out
}

// running is how many requests all nodes have at a server.
func (f *fleet) running(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.upstreams[id]
	if s == nil {
		return 0
	}
	return float64(s.requests + s.elsewhere.requests)
}
