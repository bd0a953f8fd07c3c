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
	"github.com/crankridge/crankridge/src/quarantine"
	"github.com/crankridge/crankridge/src/traffic"
)

// Limits of connections to servers and of ejection.
const (
	dialTimeout        = 400 * time.Millisecond
	defaultIdleTimeout = 3 * time.Second         // for servers that have not sent a Keep-Alive timeout
	idleTimeoutMargin  = 1500 * time.Millisecond // close idle connections this long before the server does
	maxIdlePerServer   = 64                      // connections
	minEjection        = 500 * time.Millisecond  // doubled with each further failure, up to maxEjection
	maxEjection        = 4 * time.Second
	failuresToEject    = 3
	failureRateDecay   = 0.8 // weight of the previous rate in the moving average
)

// Limits of what is kept about servers whose entries are gone.
const (
	unlistedRetention = 10 * time.Minute
	maxUnlisted       = 2048 // servers
)

// upstream is one run of a server process at one address, with the load and health
// data that this node has for it. Mutable fields are guarded by the pool's lock.
type upstream struct {
	id                  string
	address             string
	service             string
	version             string           // of its software
	startedMS           int64            // Unix ms
	entry               traffic.Upstream // current entry in the store
	ctx                 context.Context  // canceled when the server restarts, which loses its requests
	cancel              context.CancelFunc
	transport           *conn.Transport
	idleTimeout         time.Duration
	draining            bool
	leaving             bool      // the server says so in its responses
	respondedAt         time.Time // when the header of its latest response was received
	requests            int       // in progress from this node
	suspects            int       // of these, suspected of having crashed a server
	isolated            int       // of the suspects, those that must run apart from other requests
	pendingPrefill      int64     // prompt tokens of this node's requests that have no first event yet
	consecutiveFailures int
	failureRate         float64
	ejectedUntil        time.Time
	ejection            time.Duration
	brokeAt             time.Time  // when a response ended early last
	restUntil           time.Time  // end of the latest rest that the server has asked for
	rejections          int        // in a row
	backoffUntil        time.Time  // after a rejection, until which other servers are preferred
	probing             bool       // one request at a time, until the server accepts one after a rejection
	recoveringUntil     time.Time  // see totalRequests
	unlistedAt          time.Time  // when its entry was found gone; zero while it is listed
	remoteLoad          serverLoad // latest reported load of all other nodes
	reachState
	silenceState
	brittleState
}

// serverLoad is the load that one or more nodes put on a server.
type serverLoad struct {
	requests       int
	pendingPrefill int64
}

// upstreamPool holds the servers known to this node.
type upstreamPool struct {
	mu           sync.Mutex
	byID         map[string]*upstream     // those that are listed
	unlisted     map[string]*upstream     // by id, those whose entries are gone and may return while they run on
	byService    map[string][]*upstream   // sorted by id
	idleTimeouts map[string]time.Duration // by service, from Keep-Alive headers
	now          func() time.Time
	dial         conn.DialFunc // connects to servers
	nodes        int           // among which the servers' load is divided

	confirmedAt   func() time.Time // when the list of servers was known to be complete last
	resumedAt     time.Time        // when this node was suspended last; zero if never
	polledAt      time.Time        // see pollStop; zero before the first call
	silenceChecks map[string]bool  // services whose servers are being probed for being silent
	brittleKnown  bool             // a server has said that it is brittle
}

func newUpstreamPool(now func() time.Time) *upstreamPool {
	return &upstreamPool{
		byID: map[string]*upstream{}, unlisted: map[string]*upstream{}, idleTimeouts: map[string]time.Duration{}, silenceChecks: map[string]bool{}, now: now, dial: conn.Dialer(dialTimeout).DialContext,
		confirmedAt: now,
	}
}

// update replaces the server list. It returns the ids of servers that were
// removed or have restarted, whose cached state is no longer valid.
func (p *upstreamPool) update(list []traffic.Upstream) (removed []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		known := p.known(s.ID)
		if known != nil && s.StartedMS == 0 {
			s.StartedMS = known.startedMS // an entry that names no start says nothing of another run
		}
		if known != nil && (known.startedMS != s.StartedMS || known.address != s.Address || known.version != s.Version) {
			removed = append(removed, s.ID)
			known.cancel()
			known.transport.CloseIdleConnections()
			klog.InfoS("server_born_again", "server", s.ID, "born", s.StartedMS, "before", known.startedMS, "requests", known.requests)
			known = p.replacement(known, s)
		}
		if known == nil {
			known = p.newUpstream(s)
		}
		p.byID[s.ID] = known
		known.entry, known.unlistedAt = s, time.Time{}
		known.draining = known.draining || s.Draining
	}
	for id, s := range p.byID {
		if !listed[id] {
			// It may still finish its requests, so its context is not canceled.
			removed = append(removed, id)
			delete(p.byID, id)
			p.unlisted[id], s.unlistedAt = s, p.now()
			s.transport.CloseIdleConnections()
		}
	}
	p.forgetUnlisted()
	p.sortByService()
	return removed
}

// known returns the latest run of a server that this node knows, and takes it from the
// unlisted ones: an entry may lapse and return while the server runs on.
func (p *upstreamPool) known(id string) *upstream {
	if s := p.byID[id]; s != nil {
		return s
	}
	s := p.unlisted[id]
	delete(p.unlisted, id)
	return s
}

// current returns what is known of a run of a server now: its entry may have named another
// address since s was chosen. The caller holds the lock.
func (p *upstreamPool) current(s *upstream) *upstream {
	for _, known := range []*upstream{p.byID[s.id], p.unlisted[s.id]} {
		if known != nil && known.startedMS == s.startedMS && known.version == s.version {
			return known
		}
	}
	return s
}

// replacement returns the upstream for a server that has restarted or moved. What a run has
// said about itself holds at its new address too.
func (p *upstreamPool) replacement(known *upstream, entry traffic.Upstream) *upstream {
	next := p.newUpstream(entry)
	if known.startedMS == entry.StartedMS && known.version == entry.Version {
		next.restUntil, next.leaving, next.draining = known.restUntil, known.leaving, known.leaving
		next.brittle = known.brittle
	}
	return next
}

// forgetUnlisted drops unlisted servers after unlistedRetention and, beyond maxUnlisted,
// those that have been unlisted longest.
func (p *upstreamPool) forgetUnlisted() {
	now := p.now()
	maps.DeleteFunc(p.unlisted, func(_ string, s *upstream) bool { return now.Sub(s.unlistedAt) > unlistedRetention })
	excess := len(p.unlisted) - maxUnlisted
	if excess <= 0 {
		return
	}
	oldest := slices.SortedFunc(maps.Values(p.unlisted), func(a, b *upstream) int { return a.unlistedAt.Compare(b.unlistedAt) })
	for _, s := range oldest[:excess] {
		delete(p.unlisted, s.id)
	}
}

func (p *upstreamPool) newUpstream(s traffic.Upstream) *upstream {
	idleTimeout := p.idleTimeouts[s.Service]
	ctx, cancel := context.WithCancel(context.Background())
	out := &upstream{id: s.ID, address: s.Address, service: s.Service, version: s.Version, startedMS: s.StartedMS, ctx: ctx, cancel: cancel, idleTimeout: idleTimeout}
	out.transport = p.newTransport(out, idleTimeout)
	out.renewAbandon()
	return out
}

// renewAbandon replaces the context that is canceled when sends are given up.
func (s *upstream) renewAbandon() { s.abandonCtx, s.abandon = context.WithCancel(s.ctx) }

func (p *upstreamPool) sortByService() {
	p.byService = map[string][]*upstream{}
	for _, id := range slices.Sorted(maps.Keys(p.byID)) {
		s := p.byID[id]
		p.byService[s.entry.Service] = append(p.byService[s.entry.Service], s)
	}
}

// recordKeepAlive applies the idle timeout from a Keep-Alive response header.
func (p *upstreamPool) recordKeepAlive(s *upstream, header http.Header) {
	text, ok := strings.CutPrefix(header.Get("Keep-Alive"), "timeout=")
	seconds, err := strconv.Atoi(text)
	if !ok || err != nil {
		return
	}
	idleTimeout := max(time.Duration(seconds)*time.Second-idleTimeoutMargin, time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimeouts[s.entry.Service] = idleTimeout
	if s.idleTimeout != idleTimeout {
		// Connections of the old transport expire by its own idle timeout.
		s.transport, s.idleTimeout = p.newTransport(s, idleTimeout), idleTimeout
	}
}

// transport returns the current transport of the server.
func (p *upstreamPool) transport(s *upstream) *conn.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.transport
}

func (p *upstreamPool) newTransport(s *upstream, idleTimeout time.Duration) *conn.Transport {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	return conn.NewTransport(&http.Transport{
		DialContext: p.dialServer(s), MaxIdleConnsPerHost: maxIdlePerServer, IdleConnTimeout: idleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

func (p *upstreamPool) closeIdleConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byID {
		s.transport.CloseIdleConnections()
	}
}

// markDraining excludes this run of a server from further requests. It reports
// whether the state changed.
func (p *upstreamPool) markDraining(s *upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byID[s.id] != s && p.unlisted[s.id] != s || s.draining {
		return false
	}
	s.draining = true
	return true
}

// beginRequest adds a request in progress to the load of a server.
func (p *upstreamPool) beginRequest(s *upstream, prefillTokens int64) {
	p.mu.Lock()
	if s.requests == 0 {
		s.waitingSince = p.now()
	}
	s.requests++
	s.unconfirmed++
	s.pendingPrefill += prefillTokens
	p.mu.Unlock()
}

// confirmRequest records that the fate of a request that was begun is known: the server has
// accepted or rejected it, or it was not sent.
func (p *upstreamPool) confirmRequest(s *upstream) {
	p.mu.Lock()
	s.unconfirmed--
	p.mu.Unlock()
}

// prefillDone removes prompt tokens from the prefill backlog of a server.
func (p *upstreamPool) prefillDone(s *upstream, prefillTokens int64) {
	p.mu.Lock()
	s.pendingPrefill -= prefillTokens
	p.mu.Unlock()
}

func (p *upstreamPool) endRequest(s *upstream) {
	p.mu.Lock()
	s.requests--
	p.mu.Unlock()
}

// beginSuspect counts a request in progress that is suspected of having crashed servers.
func (p *upstreamPool) beginSuspect(s *upstream, standing quarantine.Standing) {
	p.addSuspect(s, standing, 1)
}

// endSuspect reverts beginSuspect.
func (p *upstreamPool) endSuspect(s *upstream, standing quarantine.Standing) {
	p.addSuspect(s, standing, -1)
}

func (p *upstreamPool) addSuspect(s *upstream, standing quarantine.Standing, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if standing.Crashes > 0 {
		s.suspects += count
	}
	if standing.Isolated() {
		s.isolated += count
	}
}

// versions returns the software versions of a service's servers that take requests now, sorted.
func (p *upstreamPool) versions(service string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var out []string
	for _, s := range p.byService[service] {
		if !s.draining && !s.resting(now) && !slices.Contains(out, s.version) {
			out = append(out, s.version)
		}
	}
	slices.Sort(out)
	return out
}

// recordSuccess resets the ejection state after a complete response.
func (p *upstreamPool) recordSuccess(s *upstream) {
	p.mu.Lock()
	s.consecutiveFailures, s.ejection = 0, 0
	s.failureRate *= failureRateDecay
	p.mu.Unlock()
}

// recordFailure ejects the server for a time after failuresToEject consecutive
// failures, or immediately if ejectNow is set.
func (p *upstreamPool) recordFailure(s *upstream, ejectNow bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.consecutiveFailures++
	s.failureRate = s.failureRate*failureRateDecay + (1 - failureRateDecay)
	if s.consecutiveFailures < failuresToEject && !ejectNow {
		return
	}
	s.ejection = min(max(2*s.ejection, minEjection), maxEjection)
	s.ejectedUntil = p.now().Add(s.ejection)
}
