package upstream

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/engine"
)

const (
	ejectInitial       = 500 * time.Millisecond
	ejectMax           = 30 * time.Second
	ejectThreshold     = 2                // consecutive failures after which an upstream is ejected
	slowStartSuccesses = 4                // successes after an ejection until the upstream has full weight
	idleAfter          = 30 * time.Second // time since its last request after which an upstream counts as idle
	idlePollFactor     = 4                // factor on the report interval of an idle upstream
	leavingRetention   = 10 * time.Minute // time after its deadline that a leaving mark is kept
	prefillEWMAWeight  = 0.2
	cacheHalfLife      = 2 * time.Minute // half-life of Candidate.CacheConfidence
	maxCachedBlocks    = 20000
	sentRetention      = 30 * time.Second // maximum age of a sentRequest
)

// Upstream is what this node knows about one upstream. It is guarded by the lock
// of its Registry.
type Upstream struct {
	Published
	leaving         chan struct{} // closed when the upstream is marked as leaving
	leavingDeadline time.Time

	failures          int
	ejectedUntil      time.Time
	restUntil         time.Time     // end of the latest rest that the upstream has asked for
	backoff           time.Duration // duration of the last ejection; 0 once back at full weight
	slowStartProgress int           // successes since the ejection, at most slowStartSuccesses

	reportAt           time.Time
	running            float64
	waiting            float64
	queuedTokens       float64
	stepMS             float64
	measuredPrefillTPS float64 // 0 before the first measurement
	cacheSeq           int64
	inflight           int
	sent               []sentRequest
	lastUsed           time.Time            // start of the last request
	cachedBlocks       map[uint64]time.Time // last time each block was seen or sent
}

// sentRequest is a request this node sent to an upstream.
type sentRequest struct {
	at      time.Time // start time
	tokens  float64   // prompt tokens to prefill
	endedAt time.Time // zero while in progress
}

// Registry holds what this node knows about all upstreams. It is safe for
// concurrent use.
type Registry struct {
	mu               sync.Mutex
	now              func() time.Time
	upstreams        map[string]*Upstream
	leavingDeadlines map[string]time.Time // by name, also of upstreams not published yet
	onLeaving        func(name string, deadline time.Time)
	peerLoadFactor   float64 // load sent by all other nodes, relative to this node's
}

// NewRegistry returns an empty registry. onLeaving is called, without locks
// held, when MarkLeaving records the first deadline of an upstream or marks it.
func NewRegistry(now func() time.Time, onLeaving func(string, time.Time)) *Registry {
	return &Registry{now: now, upstreams: map[string]*Upstream{}, leavingDeadlines: map[string]time.Time{}, onLeaving: onLeaving}
}

// SetPeerLoadFactor sets the load that all other nodes send to this node's
// upstreams, relative to the load this node sends.
func (r *Registry) SetPeerLoadFactor(factor float64) {
	r.mu.Lock()
	r.peerLoadFactor = max(factor, 0)
	r.mu.Unlock()
}

// Replace installs the lists of upstreams that the planner has published in the
// store. Upstreams that are no longer listed are removed; measurements of the
// others are kept.
func (r *Registry) Replace(domains []DomainUpstreams) {
	r.mu.Lock()
	seen := map[string]bool{}
	var leaving []Published
	for _, d := range domains {
		for _, p := range d.Upstreams {
			seen[p.Name] = true
			r.update(p)
			if p.LeavingMS > 0 {
				leaving = append(leaving, p)
			}
		}
	}
	for name, u := range r.upstreams {
		if !seen[name] {
			// Notifies the requests that still run on it.
			u.markLeaving(r.now())
			delete(r.upstreams, name)
		}
	}
	r.mu.Unlock()
	for _, p := range leaving {
		// Every node reads the same list, so onLeaving is not called.
		r.setLeaving(p.Name, time.UnixMilli(p.LeavingMS))
	}
}

func (r *Registry) update(p Published) {
	u := r.upstreams[p.Name]
	if u == nil || u.Addr != p.Addr {
		// At another address it is another instance, and nothing is known about it.
		if u != nil {
			u.markLeaving(r.now())
		}
		u = &Upstream{leaving: make(chan struct{}), cachedBlocks: map[uint64]time.Time{}, slowStartProgress: slowStartSuccesses}
		r.upstreams[p.Name] = u
		if at, ok := r.leavingDeadlines[p.Name]; ok && p.LeavingMS > 0 {
			u.markLeaving(at)
		}
	}
	u.Published = p
}

func (u *Upstream) markLeaving(leavingDeadline time.Time) bool {
	if u.isLeaving() {
		return false
	}
	u.leavingDeadline = leavingDeadline
	close(u.leaving)
	return true
}

func (u *Upstream) isLeaving() bool {
	select {
	case <-u.leaving:
		return true
	default:
		return false
	}
}

// MarkLeaving marks an upstream as leaving: it is no longer a candidate. The
// deadline of an upstream that is not published yet is recorded too, but the
// upstream is marked only if it is then published as leaving: the deadline may be
// that of an earlier instance with the same name.
func (r *Registry) MarkLeaving(name string, deadline time.Time) {
	if r.setLeaving(name, deadline) && r.onLeaving != nil {
		r.onLeaving(name, deadline)
	}
}

// setLeaving records the deadline and marks the upstream if it is published. It
// reports whether the name had no deadline before or the mark is new.
func (r *Registry) setLeaving(name string, deadline time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.leavingDeadlines[name]
	r.leavingDeadlines[name] = deadline
	changed := !known
	if u := r.upstreams[name]; u != nil {
		changed = u.markLeaving(deadline) || changed
	}
	return changed
}

// LeavingDeadlines returns the deadlines of the leaving upstreams by name.
func (r *Registry) LeavingDeadlines() map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.leavingDeadlines, func(_ string, at time.Time) bool { return r.now().Sub(at) > leavingRetention })
	return maps.Clone(r.leavingDeadlines)
}

// LeavingDomains returns the failure domains that have leaving upstreams; the
// value is true if at least half of the domain's upstreams are leaving.
func (r *Registry) LeavingDomains() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	upstreams, leaving := map[string]int{}, map[string]int{}
	for _, u := range r.upstreams {
		upstreams[u.FailureDomain]++
		if u.isLeaving() {
			leaving[u.FailureDomain]++
		}
	}
	out := map[string]bool{}
	for d, n := range leaving {
		out[d] = 2*n >= upstreams[d]
	}
	return out
}

// Leaving returns a channel that is closed once the upstream is marked as
// leaving, and its deadline if it is. The channel of an unknown upstream is closed.
func (r *Registry) Leaving(name string) (<-chan struct{}, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[name]
	if u == nil {
		gone := make(chan struct{})
		close(gone)
		return gone, r.now()
	}
	return u.leaving, u.leavingDeadline
}

// RecordFailure records a failed request or poll. With ejectNow, which callers set
// if they could not connect, it ejects the upstream at once; otherwise after
// ejectThreshold failures in a row.
func (r *Registry) RecordFailure(name string, ejectNow bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[name]
	if u == nil {
		return
	}
	u.failures++
	if !ejectNow && u.failures < ejectThreshold {
		return
	}
	u.backoff = min(max(u.backoff*2, ejectInitial), ejectMax)
	u.ejectedUntil = r.now().Add(u.backoff)
	u.slowStartProgress = 0
	u.failures = 0
}

// RecordSuccess records a successful request. After an ejection it raises the
// upstream's slow-start weight.
func (r *Registry) RecordSuccess(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[name]
	if u == nil {
		return
	}
	u.failures = 0
	u.slowStartProgress = min(u.slowStartProgress+1, slowStartSuccesses)
	if u.slowStartProgress == slowStartSuccesses {
		u.backoff = 0
	}
}

// UpdateLoad applies a load report unless it is older than the last one.
func (r *Registry) UpdateLoad(name string, at time.Time, running, waiting, queuedTokens, stepMS float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[name]
	if u == nil || !at.After(u.reportAt) {
		return
	}
	u.reportAt, u.running, u.waiting, u.queuedTokens, u.stepMS = at, running, waiting, queuedTokens, stepMS
}

// ReportDue reports whether the last load report is at least interval old. The
// interval is longer for idle upstreams, since the answer to the next request
// carries a load report too.
func (r *Registry) ReportDue(name string, interval time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[name]
	if u == nil {
		return false
	}
	if r.now().Sub(u.lastUsed) > idleAfter && !u.reportAt.IsZero() {
		interval *= idlePollFactor
	}
	return r.now().Sub(u.reportAt) >= interval
}

// Begin records the start of a request with the prompt tokens the upstream has
// to compute and the prefix blocks it will then have cached. The returned
// function records its end.
func (r *Registry) Begin(name string, tokens float64, blocks []uint64) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[name]
	if u == nil {
		return func() {}
	}
	now := r.now()
	u.lastUsed = now
	u.inflight++
	u.sent = append(u.sent, sentRequest{at: now, tokens: tokens})
	if len(u.cachedBlocks) < maxCachedBlocks {
		for _, b := range blocks {
			u.cachedBlocks[b] = now
		}
	}
	at := now
	return func() { r.end(u, at) }
}

func (r *Registry) end(u *Upstream, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u.inflight--
	for i := range u.sent {
		if u.sent[i].at.Equal(at) && u.sent[i].endedAt.IsZero() {
			u.sent[i].endedAt = r.now()
			break
		}
	}
}

// RecordCacheUsage records the prompt blocks of an answered request. hits is the
// number of them that were in the upstream's prefix cache.
func (r *Registry) RecordCacheUsage(name string, blocks []uint64, hits int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[name]
	if u == nil {
		return
	}
	for _, b := range blocks {
		// After prefill the engine has all blocks of the prompt cached.
		u.cachedBlocks[b] = r.now()
	}
	if hits < len(blocks) {
		// A miss suggests that the engine evicts blocks.
		u.dropOldestBlocks()
	}
}

// dropOldestBlocks forgets the oldest quarter of the blocks if there are at
// least maxCachedBlocks/2.
func (u *Upstream) dropOldestBlocks() {
	if len(u.cachedBlocks) < maxCachedBlocks/2 {
		return
	}
	var times []time.Time
	for _, at := range u.cachedBlocks {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	oldest := times[len(times)/4]
	maps.DeleteFunc(u.cachedBlocks, func(_ uint64, at time.Time) bool { return at.Before(oldest) })
}

// ApplyCacheEvents applies cache events reported by the engine.
func (r *Registry) ApplyCacheEvents(name string, seq int64, events []engine.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[name]
	if u == nil {
		return
	}
	for _, ev := range events {
		if ev.Evicted {
			delete(u.cachedBlocks, ev.Block)
		} else if len(u.cachedBlocks) < maxCachedBlocks {
			u.cachedBlocks[ev.Block] = r.now()
		}
	}
	u.cacheSeq = max(u.cacheSeq, seq)
}

// CacheSeq returns the sequence number of the last applied cache event.
func (r *Registry) CacheSeq(name string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.upstreams[name]; u != nil {
		return u.cacheSeq
	}
	return 0
}

// RecordPrefillRate adds a measurement in tokens per second to the moving
// average of the prefill rate.
func (r *Registry) RecordPrefillRate(name string, tps float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.upstreams[name]; u != nil && tps > 0 {
		if u.measuredPrefillTPS == 0 {
			u.measuredPrefillTPS = tps
		}
		u.measuredPrefillTPS += prefillEWMAWeight * (tps - u.measuredPrefillTPS)
	}
}

// Names returns the sorted names of all upstreams of a kind.
func (r *Registry) Names(kind Kind) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for name, u := range r.upstreams {
		if u.Kind == kind {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Get returns the published fields of an upstream.
func (r *Registry) Get(name string) (Published, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[name]
	if u == nil {
		return Published{}, false
	}
	return u.Published, true
}
