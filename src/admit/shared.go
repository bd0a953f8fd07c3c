package admit

import (
	"math"
	"sync"
	"time"
)

// Timing of a SharedLimiter. Its node learns the admissions of the other nodes either
// from a report of each peer (SetPeers) or, in a large system, as one sum over all
// peers (SetAggregate), which arrives later.
const (
	peerTimeout          = 700 * time.Millisecond // after which a silent peer is charged an even share
	aggregateTimeout     = 2 * time.Second        // after which the peers are charged even shares if their sum has not been received
	aggregateDelay       = 600 * time.Millisecond // typical time until an admission at a peer is in the sum of all peers
	maxRefillInterval    = 2 * time.Second        // longest time that one refill accounts for
	exchangeDelay        = 400 * time.Millisecond // typical time until an admission at a peer is in that peer's report
	recentTimeConstant   = time.Second            // of the decaying sums of recent admissions
	minWait              = time.Nanosecond        // of a request that is refused
	maxExtrapolatedPeers = 8                      // at most this many peers are assumed to admit as much as this node
)

// Tolerance is the amount by which a limit may be exceeded within a window.
// The buckets use part of it; the rest covers admissions that the nodes have
// not yet exchanged.
type Tolerance struct {
	Window  time.Duration // in which the burst may be used once
	Overage float64       // allowed excess as a fraction of rate and burst in a window
	Slack   float64       // further absolute excess allowed in a window, in the unit of the costs
}

// Fractions of the tolerance, the limits and the bucket depth.
const (
	reportThreshold        = 0.01      // part of one second's rate after which a node reports early
	localCapBelow          = 0.5       // part of the depth below which a node is held to its local cap (with SetAggregate)
	localDepthFraction     = 0.3       // depth of the bucket of the local cap, as part of localCap(depth)
	burstDepthFraction     = 0.5       // part of the burst in the depth; the rest is in the fill rate
	slackDepthFraction     = 0.25      // part of the slack in the depth
	initialFillFraction    = 0.3       // initial level as part of the depth: earlier admissions are unknown
	minInitialFillFraction = 0.1       // the same with many nodes: the reserve that priority 1 must leave
	toleranceUsed          = 0.4       // used part of overage and slack
	toleranceUsedAggregate = 0.15      // the same with SetAggregate
	priorityReserve        = 0.1       // part of the depth that each step to a lower priority must leave
	maxPriorityReserve     = 0.45      // bound on the reserve, as part of the depth
	smallCostFraction      = 1.0 / 250 // part of the depth up to which a request counts as small
	smallOverdraftFraction = 0.25      // part of the depth that small requests may overdraw
	maxLocalShares         = 2.0       // local cap, in even shares of the limit (with SetAggregate)
)

// bucketSize returns the fill rate and depth of a bucket, such that any window
// admits at most rate, burst and the used part of the tolerance.
func (t Tolerance) bucketSize(rate, burst, used float64) (fill, depth float64) {
	window := t.Window.Seconds()
	limit := rate*window + burst
	most := limit + used*(t.Overage*limit+t.Slack)
	depth = burstDepthFraction*burst + slackDepthFraction*t.Slack
	return (most - depth) / window, depth
}

// SharedLimiter enforces one limit per customer over all nodes. Every node has
// a token bucket for the whole limit, from which it takes its own admissions
// and those reported by its peers. A silent peer is charged an even share of
// the rate, so that a partitioned node does not use more than its own share.
type SharedLimiter struct {
	mu         sync.Mutex
	startedAt  time.Time
	firstStart bool // no process of the system has run before this one
	filled     bool // buckets begin with a first filling
	buckets    map[string]*sharedBucket
	admitted   map[string]float64 // running totals of this node by customer
	peers      map[string]*peerTotals
	nodes      int
	aggregated bool        // set by SetAggregate, cleared by SetPeers
	silent     SilentPeers // with SetAggregate: those of which the source lacks recent totals
	tolerance  Tolerance
}

type sharedBucket struct {
	level        float64
	largestCost  float64 // decaying maximum of the costs asked for
	adopted      bool    // the level was taken over from a peer
	known        bool    // the level takes account of all that was admitted before
	fill         float64 // per second, of the whole limit
	depth        float64 // 0 until this node has had a request of the customer
	updatedAt    time.Time
	recentLocal  float64 // decaying sum of this node's admissions
	unreported   float64 // this node's admissions since the last call of Totals
	recentRemote float64 // decaying sum of the admissions that peers reported
	localLevel   float64 // level of a second bucket, which holds this node to its local cap (localCapBelow)
}

// peerTotals is the last report of a peer.
type peerTotals struct {
	PeerReport                    // MadeAt is zero until the first report
	levelsAt   time.Time          // of the last levels that were adopted
	estimated  map[string]float64 // charged for peers that are silent, by customer
	charged    int                // silent peers that estimated stands for
}

// NewSharedLimiter returns the limiter of a process. firstStart means that no process of the
// system has run before this one, so that its buckets begin with a first filling. Otherwise
// earlier processes may have used all that a window allows: a bucket is empty at the start,
// and a request needs its whole cost in it, until a peer has reported the level, a window
// has passed or AllowFirstFilling is called.
func NewSharedLimiter(now time.Time, tolerance Tolerance, firstStart bool) *SharedLimiter {
	return &SharedLimiter{startedAt: now, firstStart: firstStart, filled: firstStart, tolerance: tolerance, buckets: map[string]*sharedBucket{}, admitted: map[string]float64{}, peers: map[string]*peerTotals{}, nodes: 1}
}

// SetTolerance replaces the tolerance.
func (l *SharedLimiter) SetTolerance(tolerance Tolerance) {
	l.mu.Lock()
	l.tolerance = tolerance
	l.mu.Unlock()
}

// SetPeers sets the names of the other nodes that share the limits.
func (l *SharedLimiter) SetPeers(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes, l.aggregated, l.silent = len(names)+1, false, SilentPeers{}
	l.setPeers(names)
}

// SetAggregate sets the number of other nodes, whose totals are all reported
// as one sum by source, and of how many of them it lacks recent ones. Admissions made while
// the source changes are not charged.
func (l *SharedLimiter) SetAggregate(source string, peers int, silent SilentPeers) {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent.Count = min(silent.Count, peers)
	l.nodes, l.aggregated, l.silent = peers+1, true, silent
	l.setPeers([]string{source})
}

// setPeers adds the missing peers and removes all that are not named.
func (l *SharedLimiter) setPeers(names []string) {
	keep := make(map[string]bool, len(names))
	for _, name := range names {
		keep[name] = true
	}
	for name := range l.peers {
		if !keep[name] {
			delete(l.peers, name)
		}
	}
	for name := range keep {
		if l.peers[name] == nil {
			l.peers[name] = &peerTotals{estimated: map[string]float64{}}
		}
	}
}

// MergeTotals charges the admissions in a peer's report. A report that is not later than the last
// one is ignored: it says nothing of what the peer has been charged for since.
func (l *SharedLimiter) MergeTotals(report PeerReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer := l.peers[report.Peer]
	if peer == nil {
		return // it shares the limits no more
	}
	if peer.MadeAt.IsZero() {
		// The first report is the baseline; earlier admissions are not charged.
		l.peers[report.Peer] = &peerTotals{PeerReport: report, estimated: map[string]float64{}}
		return
	}
	if !report.supersedes(&peer.PeerReport) {
		return
	}
	before := peer.Totals
	if report.Incarnation > peer.Incarnation {
		l.chargeLost(peer, report.MadeAt)
		before = nil
	}
	for customer, total := range report.Totals {
		bucket := l.buckets[customer]
		if bucket == nil || !bucket.known || bucket.depth == 0 {
			continue
		}
		bucket.level -= total - before[customer]
		bucket.recentRemote += max(total-before[customer], 0)
	}
	l.returnEstimates(peer)
	peer.PeerReport = report
}

// Totals returns this node's running totals, to be reported to its peers.
func (l *SharedLimiter) Totals() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.admitted))
	for customer, total := range l.admitted {
		out[customer] = total
		l.buckets[customer].unreported = 0
	}
	return out
}

// Take admits a request of the given cost under a customer's rate (per second)
// and burst, all in the same unit: requests or tokens. Unlike in Queue, priority 0
// is the highest; a request of a lower priority (a higher value) leaves a larger
// reserve in the bucket. If the request is refused, wait is the time until one like
// it is admitted.
func (l *SharedLimiter) Take(customer string, cost float64, priority int, rate, burst float64, now time.Time) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bucket, wait := l.check(customer, cost, priority, rate, burst, 0, now)
	if wait > 0 {
		return false, wait
	}
	bucket.level -= cost
	bucket.localLevel -= cost
	bucket.recentLocal += cost
	bucket.unreported += cost
	l.admitted[customer] += cost
	return true, 0
}

// MayTake reports what Take would say if the bucket had room more in it than it has, without
// admitting the request.
func (l *SharedLimiter) MayTake(customer string, cost float64, priority int, rate, burst, room float64, now time.Time) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, wait = l.check(customer, cost, priority, rate, burst, room, now)
	return wait <= 0, wait
}

// check returns the customer's bucket and, if a request of the given cost is not admitted now, the
// time until one like it is. room is what the bucket is taken to have besides.
func (l *SharedLimiter) check(customer string, cost float64, priority int, rate, burst, room float64, now time.Time) (*sharedBucket, time.Duration) {
	used := toleranceUsed
	if l.aggregated {
		used = toleranceUsedAggregate
	}
	fill, depth := l.tolerance.bucketSize(rate, burst, used)
	bucket := l.refill(customer, fill, depth, now)
	bucket.largestCost = max(bucket.largestCost, cost)
	level := bucket.level - l.unreportedRemote(bucket, now) + room
	required := requiredLevel(cost, priority, depth)
	if l.restarted(now) {
		required = max(required, cost) // what this process overdraws would be forgotten with it
	}
	if level < required {
		if !bucket.known {
			fill = l.evenShare(bucket)
		}
		return bucket, max(time.Duration((required-level)/fill*float64(time.Second)), minWait)
	}
	if wait := l.reportWait(bucket, cost, now); wait > 0 {
		return bucket, wait
	}
	if l.aggregated && level < localCapBelow*depth && bucket.localLevel < 0 {
		return bucket, max(time.Duration(-bucket.localLevel/l.localCap(fill)*float64(time.Second)), minWait)
	}
	return bucket, 0
}

// requiredLevel returns the lowest bucket level at which a request is admitted.
// It does not grow with the cost, so that large requests are not refused more
// often; they overdraw the bucket instead. Small requests may pass below zero.
func requiredLevel(cost float64, priority int, depth float64) float64 {
	if cost <= depth*smallCostFraction {
		return -depth * smallOverdraftFraction
	}
	return depth * min(float64(priority)*priorityReserve, maxPriorityReserve)
}

// NeedsReport reports whether this node has admitted enough of a customer's
// rate (per second) since the last call of Totals to report to its peers early.
func (l *SharedLimiter) NeedsReport(customer string, rate float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	bucket := l.buckets[customer]
	return bucket != nil && bucket.unreported > rate*reportThreshold
}

// localCap returns the most that this node uses of a limit. It bounds what many
// nodes admit together before the sum of their admissions reaches them.
func (l *SharedLimiter) localCap(limit float64) float64 {
	return maxLocalShares * limit / float64(l.nodes)
}

// unreportedRemote estimates the peers' admissions that have not been reported
// yet, from this node's recent admissions or, with SetAggregate, from the recent
// growth of the sum.
// Silent peers are not among them, as they are charged even shares.
func (l *SharedLimiter) unreportedRemote(bucket *sharedBucket, now time.Time) float64 {
	if l.aggregated {
		// With many nodes, the admissions of one are too small a sample.
		return bucket.recentRemote * aggregateDelay.Seconds() / recentTimeConstant.Seconds()
	}
	heard := 0
	for _, peer := range l.peers {
		if now.Sub(peer.MadeAt) <= peerTimeout {
			heard++
		}
	}
	return bucket.recentLocal * float64(min(heard, maxExtrapolatedPeers)) * exchangeDelay.Seconds() / recentTimeConstant.Seconds()
}

// Refund returns the cost of a request that did not run.
func (l *SharedLimiter) Refund(customer string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bucket := l.buckets[customer]; bucket != nil {
		bucket.level += cost
		bucket.localLevel += cost
		bucket.recentLocal = max(bucket.recentLocal-cost, 0)
		l.admitted[customer] -= cost
	}
}

// initialFill returns the initial level of a bucket as part of its depth. All nodes may
// start at once, and use theirs before they hear of each other.
func (l *SharedLimiter) initialFill() float64 {
	fill := max(min(initialFillFraction, 1/float64(l.nodes)), minInitialFillFraction)
	if !l.firstStart {
		fill *= restartFillFraction
	}
	return fill
}

func (l *SharedLimiter) refill(customer string, fill, depth float64, now time.Time) *sharedBucket {
	bucket := l.buckets[customer]
	if bucket == nil {
		bucket = &sharedBucket{updatedAt: l.startedAt, known: l.filled, adopted: l.firstStart}
		if l.filled {
			bucket.level = l.initialFill() * depth
		}
		l.buckets[customer] = bucket
	}
	bucket.fill, bucket.depth = fill, depth
	l.advance(customer, bucket, now)
	return bucket
}

// advance applies the time that has passed since the last call to a bucket.
func (l *SharedLimiter) advance(customer string, bucket *sharedBucket, now time.Time) {
	elapsed := max(min(now.Sub(bucket.updatedAt), maxRefillInterval), 0).Seconds()
	bucket.updatedAt = now
	decay := math.Exp(-elapsed / recentTimeConstant.Seconds())
	bucket.recentLocal *= decay
	bucket.recentRemote *= decay
	bucket.largestCost *= math.Exp(-elapsed / l.tolerance.Window.Seconds())
	bucket.localLevel = min(bucket.localLevel+l.localCap(bucket.fill)*elapsed, localDepthFraction*l.localCap(bucket.depth))
	bucket.known = bucket.known || now.Sub(l.startedAt) >= time.Duration(unknownFraction*float64(l.tolerance.Window))
	if !bucket.known {
		// All peers may have started with this node, and use their even shares.
		bucket.level = min(bucket.level+l.evenShare(bucket)*elapsed, bucket.depth)
		return
	}
	bucket.level += bucket.fill * elapsed
	l.chargeSilent(customer, bucket, elapsed, now)
	bucket.level = min(bucket.level, bucket.depth)
}

// evenShare returns a node's even share of a customer's limit, per second.
func (l *SharedLimiter) evenShare(bucket *sharedBucket) float64 {
	return bucket.fill / float64(l.nodes)
}
