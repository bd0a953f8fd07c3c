package admit

import (
	"math"
	"sync"
	"time"
)

// Times of shared limits.
const (
	silentAfter = 700 * time.Millisecond // a node not heard for longer is charged for by its even share
	refillMost  = 2 * time.Second        // most that counts as having passed between two looks
	unseenFor   = 400 * time.Millisecond // time constant in which the others learn of an admission
)

// Tolerance is by how much a limit may be exceeded over a window; a part of
// it is used, the rest covers what is admitted before the nodes know of it.
type Tolerance struct {
	Window time.Duration // in which the burst may be used once
	Slack  float64       // beyond rate and burst, in a window
}

// Parts of the tolerance that the buckets use.
const (
	depthPart   = 0.5  // of the burst; the rest comes back over the window
	slackUsed   = 0.25 // of the slack
	reservePart = 0.15 // of the depth, left by each step of priority
	reserveMost = 0.45 // of the depth, at most
	smallPart   = 0.01 // of a second's limit, up to which a request counts as small
)

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
	over    Tolerance
}

type sharedBucket struct {
	level  float64
	at     time.Time
	unseen float64 // own admissions that the others do not know yet, about
}

// peerTotals is what one node told of its running sums.
type peerTotals struct {
	incarnation int64
	totals      map[string]float64
	heard       time.Time
	assumed     map[string]float64 // charged while it was silent
}

// NewSharedLimiter returns a limiter whose buckets are empty: what was
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
func (l *SharedLimiter) SetNodes(others []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = len(others) + 1
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
func (l *SharedLimiter) Heard(node string, incarnation int64, totals map[string]float64, now time.Time) {
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
	}
	peer.incarnation, peer.totals, peer.heard = incarnation, totals, now
	clear(peer.assumed)
}

// Totals returns the own running sums.
func (l *SharedLimiter) Totals() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.admit))
	for customer, total := range l.admit {
		out[customer] = total
	}
	return out
}

// Take admits a request of the given cost under a customer's rate (a second)
// and burst. A less urgent request (a higher priority) leaves a reserve for
// more urgent ones. When it is refused, wait tells when there will be room.
func (l *SharedLimiter) Take(customer string, cost float64, priority int, rate, burst float64, now time.Time) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate += burst * (1 - depthPart) / l.over.Window.Seconds()
	burst = burst*depthPart + l.over.Slack*slackUsed
	bucket := l.refill(customer, rate, burst, now)
	// The others are taken to have admitted as much unseen as this node has.
	level := bucket.level - bucket.unseen*float64(l.nodes-1)
	// A request larger than the whole burst passes when the bucket is full.
	reserve := burst * min(float64(priority)*reservePart, reserveMost)
	need := min(cost+reserve, burst)
	if cost < rate*smallPart {
		// Many small requests weigh little: they go before a few large ones.
		need = -l.over.Slack * slackUsed
	}
	if level < need {
		return false, time.Duration((need - level) / rate * float64(time.Second))
	}
	bucket.level -= cost
	bucket.unseen += cost
	l.admit[customer] += cost
	return true, 0
}

// Refund gives back the cost of a request that did not run.
func (l *SharedLimiter) Refund(customer string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bucket := l.buckets[customer]; bucket != nil {
		bucket.level += cost
		bucket.unseen = max(bucket.unseen-cost, 0)
		l.admit[customer] -= cost
	}
}

func (l *SharedLimiter) refill(customer string, rate, burst float64, now time.Time) *sharedBucket {
	bucket := l.buckets[customer]
	if bucket == nil {
		bucket = &sharedBucket{at: l.began}
		l.buckets[customer] = bucket
	}
	passed := max(min(now.Sub(bucket.at), refillMost), 0).Seconds()
	bucket.at = now
	bucket.unseen *= math.Exp(-passed / unseenFor.Seconds())
	bucket.level += rate * passed
	even := rate / float64(l.nodes) * passed
	for _, peer := range l.peers {
		if now.Sub(peer.heard) > silentAfter {
			peer.assumed[customer] += even
			bucket.level -= even
		}
	}
	bucket.level = min(bucket.level, burst)
	return bucket
}
