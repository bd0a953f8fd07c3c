package admit

import (
	"math"
	"sync"
	"time"
)

// Times of shared limits.
const (
	silentAfter = 700 * time.Millisecond // a node not heard for longer is charged for by its even share
	sumSilent   = 2 * time.Second        // the same for the sum over all other nodes, which a hub tells
	sumUnseen   = 600 * time.Millisecond // in which an admission reaches a node by way of hubs, about
	refillMost  = 2 * time.Second        // most that counts as having passed between two looks
	unseenFor   = 400 * time.Millisecond // in which the others learn of an admission, about
	unseenOver  = time.Second            // time constant of the mean that tells how much is unseen
	likeOwnMost = 8                      // other nodes that are taken to admit what this one does
)

// Tolerance is by how much a limit may be exceeded over a window; a part of
// it is used, the rest covers what is admitted before the nodes know of it.
type Tolerance struct {
	Window  time.Duration // in which the burst may be used once
	Overage float64       // part of rate and burst that may come on top of them, in a window
	Slack   float64       // beyond that, in a window
}

// Parts of the tolerance that the buckets use.
const (
	urgentPart    = 0.01      // of a second's rate, admitted at one node
	localBelow    = 0.5       // of the depth: while there is more, a node is not bound to its part
	localDepth    = 0.3       // of a node's part of the depth, which it uses at once
	depthPart     = 0.5       // of the burst that a bucket holds; the rest comes back over the window
	depthSlack    = 0.25      // of the slack that a bucket holds as well
	startPart     = 0.3       // of the depth, in the bucket of a node that begins: what was admitted before is not known
	toleranceUsed = 0.4       // of overage and slack together
	toleranceSum  = 0.15      // the same where the others are told of as one sum, which comes later
	reservePart   = 0.1       // of the depth, left by each step of priority
	reserveMost   = 0.45      // of the depth, at most
	tinyPart      = 1.0 / 250 // of the depth, up to which a request weighs nothing beside others
	tinyOverdraft = 0.25      // of the depth, which only tiny requests may overdraw
	localShares   = 2.0       // even shares that one node uses at most where the others are told of as one sum
)

// bucketOf is the rate at which a bucket fills and its depth: over any window
// they admit rate, burst and the used part of the tolerance, and no more.
func (t Tolerance) bucketOf(rate, burst, used float64) (fill, depth float64) {
	window := t.Window.Seconds()
	limit := rate*window + burst
	most := limit + used*(t.Overage*limit+t.Slack)
	depth = depthPart*burst + depthSlack*t.Slack
	return (most - depth) / window, depth
}

// SharedLimiter holds each customer to one limit over all nodes. Every node
// keeps the same bucket: it takes out what it admits itself and what the
// others tell that they admitted. A node that is silent is charged an even
// share of the rate, so that a node cut off from all others uses no more.
type SharedLimiter struct {
	mu      sync.Mutex
	began   time.Time
	buckets map[string]*sharedBucket
	admit   map[string]float64     // own running sums by customer
	peers   map[string]*peerTotals // those that count; heard is zero before they told anything
	nodes   int
	summed  bool // the others are told of as one sum
	over    Tolerance
}

type sharedBucket struct {
	level  float64
	at     time.Time
	unseen float64 // own admissions of the last while, fading
	untold float64 // own admissions since the own sums were last asked for
	told   float64 // the others' admissions, as told in the last while, fading
	local  float64 // what this node may still use before the sum shows it, where there is a sum
}

// peerTotals is what one node told of its running sums.
type peerTotals struct {
	incarnation int64
	totals      map[string]float64
	heard       time.Time
	assumed     map[string]float64 // charged while it was silent
}

// NewSharedLimiter returns a limiter whose buckets are nearly empty: what was
// admitted before it began is not known.
func NewSharedLimiter(now time.Time, over Tolerance) *SharedLimiter {
	return &SharedLimiter{began: now, over: over, buckets: map[string]*sharedBucket{}, admit: map[string]float64{}, peers: map[string]*peerTotals{}, nodes: 1}
}

// SetTolerance changes the tolerance from now on.
func (l *SharedLimiter) SetTolerance(over Tolerance) {
	l.mu.Lock()
	l.over = over
	l.mu.Unlock()
}

// SetNodes tells among how many nodes a rate is shared, this one included,
// and which of the others still count.
func (l *SharedLimiter) SetPeers(others []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes, l.summed = len(others)+1, false
	l.count(others)
}

// SetSum tells that all others, so many, are told of as one sum by a source.
// What they admitted while the source changes is not charged.
func (l *SharedLimiter) SetAggregate(source string, others int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes, l.summed = others+1, true
	l.count([]string{source})
}

// count keeps the peers that count, and no others.
func (l *SharedLimiter) count(others []string) {
	keep := make(map[string]bool, len(others))
	for _, name := range others {
		keep[name] = true
	}
	for name := range l.peers {
		if !keep[name] {
			delete(l.peers, name)
		}
	}
	for name := range keep {
		if l.peers[name] == nil {
			l.peers[name] = &peerTotals{assumed: map[string]float64{}}
		}
	}
}

// Heard takes in a node's running sums.
func (l *SharedLimiter) MergeTotals(node string, incarnation int64, totals map[string]float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer := l.peers[node]
	if peer == nil || peer.heard.IsZero() {
		// What it admitted before this node knew of it is not this bucket's to pay.
		l.peers[node] = &peerTotals{incarnation: incarnation, totals: totals, heard: now, assumed: map[string]float64{}}
		return
	}
	if incarnation < peer.incarnation {
		return
	}
	before := peer.totals
	if incarnation > peer.incarnation {
		before = nil
	}
	for customer, total := range totals {
		bucket := l.buckets[customer]
		if bucket == nil {
			continue
		}
		bucket.level -= total - before[customer] - peer.assumed[customer]
		bucket.told += max(total-before[customer], 0)
	}
	peer.incarnation, peer.totals, peer.heard = incarnation, totals, now
	clear(peer.assumed)
}

// Totals returns the own running sums, to be told to the others.
func (l *SharedLimiter) Totals() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.admit))
	for customer, total := range l.admit {
		out[customer] = total
		l.buckets[customer].untold = 0
	}
	return out
}

// Take admits a request of the given cost under a customer's rate (a second)
// and burst. A less urgent request (a higher priority) leaves a reserve for
// more urgent ones. When it is refused, wait tells when there will be room.
func (l *SharedLimiter) Take(customer string, cost float64, priority int, rate, burst float64, now time.Time) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := toleranceUsed
	if l.summed {
		used = toleranceSum
	}
	fill, depth := l.over.bucketOf(rate, burst, used)
	bucket := l.refill(customer, fill, depth, now)
	level := bucket.level - l.unseenElsewhere(bucket)
	need := needed(cost, priority, depth)
	if level < need {
		return false, time.Duration((need - level) / fill * float64(time.Second))
	}
	if l.summed && level < localBelow*depth && bucket.local < 0 {
		return false, time.Duration(-bucket.local / l.localPart(fill) * float64(time.Second))
	}
	bucket.level -= cost
	bucket.local -= cost
	bucket.unseen += cost
	bucket.untold += cost
	l.admit[customer] += cost
	return true, 0
}

// needed is the level at which a request is admitted. Its size does not matter:
// a large request would find room less often than a small one. What it
// overdraws is paid back before the next. Tiny requests weigh nothing beside
// the others.
func needed(cost float64, priority int, depth float64) float64 {
	if cost <= depth*tinyPart {
		return -depth * tinyOverdraft
	}
	return depth * min(float64(priority)*reservePart, reserveMost)
}

// Urgent tells whether this node has admitted so much of a customer's rate (a
// second) since it last told its sums that the others should hear of it soon.
func (l *SharedLimiter) NeedsReport(customer string, rate float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	bucket := l.buckets[customer]
	return bucket != nil && bucket.untold > rate*urgentPart
}

// localPart is the part of a limit that this node uses at most. It bounds what
// many nodes admit together before a sum tells them of each other.
func (l *SharedLimiter) localPart(whole float64) float64 {
	return localShares * whole / float64(l.nodes)
}

// unseenElsewhere estimates what the others have admitted and not told yet:
// they are taken to admit as much as this node did over the last while, or as
// they told where they are told of as one sum.
func (l *SharedLimiter) unseenElsewhere(bucket *sharedBucket) float64 {
	if l.summed {
		// One of many nodes admits too little to be a measure of the others.
		return bucket.told * sumUnseen.Seconds() / unseenOver.Seconds()
	}
	return bucket.unseen * float64(min(l.nodes-1, likeOwnMost)) * unseenFor.Seconds() / unseenOver.Seconds()
}

// Refund gives back the cost of a request that did not run.
func (l *SharedLimiter) Refund(customer string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bucket := l.buckets[customer]; bucket != nil {
		bucket.level += cost
		bucket.local += cost
		bucket.unseen = max(bucket.unseen-cost, 0)
		l.admit[customer] -= cost
	}
}

func (l *SharedLimiter) refill(customer string, rate, burst float64, now time.Time) *sharedBucket {
	bucket := l.buckets[customer]
	if bucket == nil {
		bucket = &sharedBucket{at: l.began, level: startPart * burst}
		l.buckets[customer] = bucket
	}
	passed := max(min(now.Sub(bucket.at), refillMost), 0).Seconds()
	bucket.at = now
	fade := math.Exp(-passed / unseenOver.Seconds())
	bucket.unseen *= fade
	bucket.told *= fade
	bucket.level += rate * passed
	even, silent := rate/float64(l.nodes)*passed, silentAfter
	if l.summed {
		even, silent = even*float64(l.nodes-1), sumSilent
	}
	for _, peer := range l.peers {
		if now.Sub(peer.heard) > silent {
			peer.assumed[customer] += even
			bucket.level -= even
		}
	}
	bucket.level = min(bucket.level, burst)
	bucket.local = min(bucket.local+l.localPart(rate)*passed, localDepth*l.localPart(burst))
	return bucket
}
