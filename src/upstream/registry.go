package upstream

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/engine"
)

const (
	ejectFirst     = 500 * time.Millisecond
	ejectMost      = 30 * time.Second
	ejectAfter     = 2 // failures in a row that are not refused connections
	returnSteps    = 4 // successes until an ejected upstream has its full share again
	unusedAfter    = 30 * time.Second
	unusedFactor   = 4
	leavingKept    = 10 * time.Minute
	ewmaNew        = 0.2
	beliefHalfLife = 2 * time.Minute
	beliefsKept    = 20000
	sendsKept      = 30 * time.Second
)

// Upstream is what a node knows of one upstream. It is guarded by its Registry.
type Upstream struct {
	Published
	leaving  chan struct{} // closed at the first sign of leaving
	deadline time.Time

	failures int
	ejected  time.Time // no work before
	backoff  time.Duration
	credit   int // successes since ejection, up to returnSteps

	reportAt time.Time
	running  float64
	waiting  float64
	queued   float64
	step     float64 // ms
	prefill  float64 // tokens a second, measured
	cacheSeq int64
	inflight int
	sends    []send
	used     time.Time // of the last request
	beliefs  map[uint64]time.Time
}

// send is one request this node sent to an upstream.
type send struct {
	at     time.Time
	tokens float64
	ended  time.Time // zero while it runs
}

// Registry is the set of upstreams a node knows.
type Registry struct {
	mu     sync.Mutex
	now    func() time.Time
	all    map[string]*Upstream
	left   map[string]time.Time // deadlines heard of, by name
	onLeft func(name string, deadline time.Time)
	others float64 // what all other nodes send, in multiples of what this one does
}

// NewRegistry returns an empty registry. onLeft is called once for each
// upstream whose leaving this node is told or sees, outside any lock.
func NewRegistry(now func() time.Time, onLeft func(string, time.Time)) *Registry {
	return &Registry{now: now, all: map[string]*Upstream{}, left: map[string]time.Time{}, onLeft: onLeft}
}

// SetOthers tells how much all other nodes send to this node's upstreams, in
// multiples of what this node sends.
func (r *Registry) SetPeerLoadFactor(times float64) {
	r.mu.Lock()
	r.others = max(times, 0)
	r.mu.Unlock()
}

// Replace takes in the published lists. Upstreams that are no longer in them
// are dropped; what was measured of the others stays.
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
	for name, u := range r.all {
		if !seen[name] {
			u.leave(r.now())
			delete(r.all, name)
		}
	}
	r.mu.Unlock()
	for _, p := range leaving {
		// Every node reads the same list, so this is not passed on.
		r.mark(p.Name, time.UnixMilli(p.LeavingMS))
	}
}

func (r *Registry) update(p Published) {
	u := r.all[p.Name]
	if u == nil || u.Addr != p.Addr {
		if u != nil {
			u.leave(r.now())
		}
		u = &Upstream{leaving: make(chan struct{}), beliefs: map[uint64]time.Time{}, credit: returnSteps}
		r.all[p.Name] = u
		if at, ok := r.left[p.Name]; ok && p.LeavingMS > 0 {
			u.leave(at)
		}
	}
	u.Published = p
}

func (u *Upstream) leave(deadline time.Time) bool {
	if u.isLeaving() {
		return false
	}
	u.deadline = deadline
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

// Leave marks an upstream as leaving, whoever says so. It gets no new work
// from now on. The word is kept for an upstream that is not published yet.
func (r *Registry) MarkLeaving(name string, deadline time.Time) {
	if r.mark(name, deadline) && r.onLeft != nil {
		r.onLeft(name, deadline)
	}
}

// mark enters a leaving and tells whether it is news.
func (r *Registry) mark(name string, deadline time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.left[name]
	r.left[name] = deadline
	fresh := !known
	if u := r.all[name]; u != nil {
		fresh = u.leave(deadline) || fresh
	}
	return fresh
}

// LeavingList returns the names known to be leaving, with their deadlines.
func (r *Registry) LeavingDeadlines() map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.left, func(_ string, at time.Time) bool { return r.now().Sub(at) > leavingKept })
	return maps.Clone(r.left)
}

// LeavingDomains are the failure domains of which at least half the known
// upstreams are leaving.
func (r *Registry) LeavingDomains() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, leaving := map[string]int{}, map[string]int{}
	for _, u := range r.all {
		all[u.FailureDomain]++
		if u.isLeaving() {
			leaving[u.FailureDomain]++
		}
	}
	out := map[string]bool{}
	for d, n := range leaving {
		out[d] = 2*n >= all[d]
	}
	return out
}

// Leaving returns a channel that is closed once the upstream leaves, and its
// deadline when it does. An unknown upstream has left.
func (r *Registry) Leaving(name string) (<-chan struct{}, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.all[name]
	if u == nil {
		gone := make(chan struct{})
		close(gone)
		return gone, r.now()
	}
	return u.leaving, u.deadline
}

// Failed notes that the upstream could not be reached or broke off. A refused
// connection ejects it at once; other failures after a few in a row.
func (r *Registry) RecordFailure(name string, connect bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.all[name]
	if u == nil {
		return
	}
	u.failures++
	if !connect && u.failures < ejectAfter {
		return
	}
	u.backoff = min(max(u.backoff*2, ejectFirst), ejectMost)
	u.ejected = r.now().Add(u.backoff)
	u.credit = 0
	u.failures = 0
}

// Succeeded notes an answer; an ejected upstream earns its share back slowly.
func (r *Registry) RecordSuccess(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.all[name]
	if u == nil {
		return
	}
	u.failures = 0
	u.credit = min(u.credit+1, returnSteps)
	if u.credit == returnSteps {
		u.backoff = 0
	}
}

// Report takes in a load report; one older than the last is dropped.
func (r *Registry) UpdateLoad(name string, at time.Time, running, waiting, queued, step float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.all[name]
	if u == nil || !at.After(u.reportAt) {
		return
	}
	u.reportAt, u.running, u.waiting, u.queued, u.step = at, running, waiting, queued, step
}

// ReportDue tells whether an upstream should be asked for its load: when the
// last report is older than every. One that this node has not used for a
// while is asked a quarter as often: the first answer of its next request
// tells as much.
func (r *Registry) ReportDue(name string, every time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.all[name]
	if u == nil {
		return false
	}
	if r.now().Sub(u.used) > unusedAfter && !u.reportAt.IsZero() {
		every *= unusedFactor
	}
	return r.now().Sub(u.reportAt) >= every
}

// Begin counts a request out to the upstream: the prompt tokens it must
// compute, and the prefix blocks it will then hold. The returned function
// ends it.
func (r *Registry) Begin(name string, tokens float64, blocks []uint64) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.all[name]
	if u == nil {
		return func() {}
	}
	now := r.now()
	u.used = now
	u.inflight++
	u.sends = append(u.sends, send{at: now, tokens: tokens})
	if len(u.beliefs) < beliefsKept {
		for _, b := range blocks {
			u.beliefs[b] = now
		}
	}
	at := now
	return func() { r.end(u, at) }
}

func (r *Registry) end(u *Upstream, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u.inflight--
	for i := range u.sends {
		if u.sends[i].at.Equal(at) && u.sends[i].ended.IsZero() {
			u.sends[i].ended = r.now()
			break
		}
	}
}

// CacheSeen corrects the belief in a prefix by what an answer's usage said:
// cachedBlocks of the blocks were held.
func (r *Registry) RecordCacheUsage(name string, blocks []uint64, cachedBlocks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.all[name]
	if u == nil {
		return
	}
	for _, b := range blocks {
		// After the answer the engine holds all of them, whatever it held before.
		u.beliefs[b] = r.now()
	}
	if cachedBlocks < len(blocks) {
		u.cacheMisses()
	}
}

// cacheMisses drops the oldest beliefs when the engine turned out to hold less than believed.
func (u *Upstream) cacheMisses() {
	if len(u.beliefs) < beliefsKept/2 {
		return
	}
	var times []time.Time
	for _, at := range u.beliefs {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	oldest := times[len(times)/4]
	maps.DeleteFunc(u.beliefs, func(_ uint64, at time.Time) bool { return at.Before(oldest) })
}

// CacheEvents takes in the engine's own cache events.
func (r *Registry) ApplyCacheEvents(name string, seq int64, events []engine.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.all[name]
	if u == nil {
		return
	}
	for _, ev := range events {
		if ev.Evicted {
			delete(u.beliefs, ev.Block)
		} else if len(u.beliefs) < beliefsKept {
			u.beliefs[ev.Block] = r.now()
		}
	}
	u.cacheSeq = max(u.cacheSeq, seq)
}

// CacheSeq is the number of the last cache event taken in.
func (r *Registry) CacheSeq(name string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.all[name]; u != nil {
		return u.cacheSeq
	}
	return 0
}

// MeasuredPrefill takes in one observation of the prefill rate, tokens a second.
func (r *Registry) RecordPrefillRate(name string, tps float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.all[name]; u != nil && tps > 0 {
		if u.prefill == 0 {
			u.prefill = tps
		}
		u.prefill += ewmaNew * (tps - u.prefill)
	}
}

// Names lists all upstreams of a kind, sorted.
func (r *Registry) Names(kind Kind) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for name, u := range r.all {
		if u.Kind == kind {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Get returns the published part of an upstream.
func (r *Registry) Get(name string) (Published, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.all[name]
	if u == nil {
		return Published{}, false
	}
	return u.Published, true
}
