package admit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the requests to an upstream that has named a limit.
const (
	// minUpstreamRate is the rate, in requests per second, at which an upstream is used
	// whatever it names: only its responses tell when the limit ends.
	minUpstreamRate = 0.2
	// upstreamBurstSeconds and upstreamBurstExtra bound the requests that all owners
	// together send at once: upstreamBurstSeconds of the limit, plus upstreamBurstExtra.
	upstreamBurstSeconds = 2.0
	upstreamBurstExtra   = 3.0
	// minOwnerBurst is the least burst of an owner: one request, and the reserve that less
	// urgent requests must leave.
	minOwnerBurst       = 2.0
	ownerBurstSeconds   = 1.0  // an owner's burst, in seconds of its share, if above minOwnerBurst
	urgencyReserve      = 0.25 // requests that each step to a lower priority must leave
	maxUrgencyReserve   = 0.75
	minLimitedRetry     = 200 * time.Millisecond
	maxLimitedRetry     = 5 * time.Second
	unlistedLimitPeriod = time.Minute // for which a limit is kept after its upstream has left the list
)

// UpstreamRun identifies one run of an upstream's process.
type UpstreamRun struct {
	ID        string
	StartedMS int64 // Unix ms
}

// LimitNews is what an upstream said about its limit, as exchanged between nodes.
type LimitNews struct {
	Upstream UpstreamRun
	Limited  bool
	Rate     float64   // requests per second over all nodes, if limited
	At       time.Time // in the time on which the nodes agree
}

// supersedes reports whether a replaces b: the later one does, else the stricter one.
func (a LimitNews) supersedes(b LimitNews) bool {
	switch {
	case !a.At.Equal(b.At):
		return a.At.After(b.At)
	case a.Limited != b.Limited:
		return a.Limited
	}
	return a.Limited && a.Rate < b.Rate
}

// UpstreamLimiter holds the limits that upstreams name, over all nodes. Of each limited
// upstream a few nodes are the owners, by rendezvous hashing; each sends at an even
// share of the limit, and the others send nothing. There are so few owners that their
// bursts add up to little more than the limit, even if none hears of the others.
type UpstreamLimiter struct {
	active atomic.Bool
	mu     sync.Mutex
	self   string
	nodes  []string // all nodes, including this one
	limits map[UpstreamRun]*upstreamLimit
}

// upstreamLimit is this node's share of an upstream's limit.
type upstreamLimit struct {
	news       LimitNews
	owners     int
	owned      bool    // this node is one of the owners
	level      float64 // requests that this node may send at once
	updatedAt  time.Time
	unlistedAt time.Time // zero while the upstream is listed
}

// NewUpstreamLimiter returns a limiter of the node self that knows no limits.
func NewUpstreamLimiter(self string) *UpstreamLimiter {
	return &UpstreamLimiter{self: self, nodes: []string{self}, limits: map[UpstreamRun]*upstreamLimit{}}
}

// Active reports whether any limit is known, past ones included.
func (l *UpstreamLimiter) Active() bool { return l.active.Load() }

// SetNodes sets the names of the other nodes.
func (l *UpstreamLimiter) SetNodes(others []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = append(slices.Clone(others), l.self)
	for _, u := range l.limits {
		l.assign(u, now)
	}
}

// Retain drops the limits of upstreams that have not been listed for a while.
func (l *UpstreamLimiter) Retain(listed map[UpstreamRun]bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for run, u := range l.limits {
		switch {
		case listed[run]:
			u.unlistedAt = time.Time{}
		case u.unlistedAt.IsZero():
			u.unlistedAt = now
		case now.Sub(u.unlistedAt) > unlistedLimitPeriod:
			delete(l.limits, run)
		}
	}
	l.active.Store(len(l.limits) > 0)
}

// Observe records what a response said: the limit it named, received at received, or
// none, in answer to a request sent at sent. A response to a request from before a
// limit was named does not end the limit. It reports whether the limit changed.
func (l *UpstreamLimiter) Observe(run UpstreamRun, limited bool, rate float64, sent, received, now time.Time) (changed bool) {
	if !limited && !l.Active() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[run]
	if limited {
		return l.apply(LimitNews{run, true, rate, received}, now)
	}
	if known == nil || !known.news.Limited {
		return false
	}
	return l.apply(LimitNews{Upstream: run, At: sent}, now)
}

// Merge records what other nodes report.
func (l *UpstreamLimiter) Merge(list []LimitNews, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, news := range list {
		l.apply(news, now)
	}
}

// apply records news unless later ones are known, and reports whether the limit changed.
func (l *UpstreamLimiter) apply(news LimitNews, now time.Time) (changed bool) {
	u := l.limits[news.Upstream]
	if u == nil {
		u = &upstreamLimit{updatedAt: now, unlistedAt: now}
		l.limits[news.Upstream] = u
		l.active.Store(true)
	} else if !news.supersedes(u.news) {
		return false
	}
	before := u.news
	u.news = news
	if before.Limited == news.Limited && before.Rate == news.Rate {
		return false
	}
	if !before.Limited || news.Rate < before.Rate {
		// What was sent under the earlier limit may fill the share of the new one.
		u.level, u.updatedAt = min(u.level, 0), now
	}
	l.assign(u, now)
	return true
}

// assign decides whether this node owns an upstream. A new owner begins with an empty
// share, as others may just have used theirs.
func (l *UpstreamLimiter) assign(u *upstreamLimit, now time.Time) {
	if !u.news.Limited {
		u.owned = false
		return
	}
	wasOwned := u.owned
	u.owners = ownerCount(u.news.Rate, len(l.nodes))
	u.owned = Rank(l.self, l.nodes, u.news.Upstream.ID) < u.owners
	if u.owned && !wasOwned {
		u.level, u.updatedAt = 0, now
	}
}

// ownerCount returns how many of the nodes share a limit.
func ownerCount(rate float64, nodes int) int {
	most := math.Floor((upstreamBurstSeconds*rate + upstreamBurstExtra) / minOwnerBurst)
	return int(max(min(most, float64(nodes)), 1))
}

// Rank returns how many of the nodes come before the node self in the order for a key, by
// rendezvous hashing: all nodes that know of each other agree on it.
func Rank(self string, nodes []string, key string) int {
	hash := func(node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }
	own, rank := hash(self), 0
	for _, node := range nodes {
		if h := hash(node); h < own || h == own && node < self {
			rank++
		}
	}
	return rank
}

// refill adds what has accrued to this node's share since the last call.
func (u *upstreamLimit) refill(now time.Time) {
	share := max(u.news.Rate, minUpstreamRate) / float64(u.owners)
	u.level += share * max(now.Sub(u.updatedAt).Seconds(), 0)
	u.level = min(u.level, max(minOwnerBurst, share*ownerBurstSeconds))
	u.updatedAt = now
}

// Permit is whether a request may be sent to an upstream.
type Permit struct {
	Limited bool          // the upstream has a limit
	Granted bool          // this node may send the request now
	Wait    time.Duration // if not granted: time until it may, or another node
}

// Check returns whether a request of the given priority may be sent now. 0 is the
// highest priority; lower ones leave a reserve.
func (l *UpstreamLimiter) Check(run UpstreamRun, priority int, now time.Time) Permit {
	if !l.Active() {
		return Permit{Granted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(run, priority, now)
}

func (l *UpstreamLimiter) check(run UpstreamRun, priority int, now time.Time) Permit {
	u := l.limits[run]
	if u == nil || !u.news.Limited {
		return Permit{Granted: true}
	}
	if !u.owned {
		return Permit{Limited: true, Wait: retryAfter(1 / max(u.news.Rate, minUpstreamRate))}
	}
	u.refill(now)
	missing := 1 + min(urgencyReserve*float64(max(priority, 0)), maxUrgencyReserve) - u.level
	if missing <= 0 {
		return Permit{Limited: true, Granted: true}
	}
	share := max(u.news.Rate, minUpstreamRate) / float64(u.owners)
	return Permit{Limited: true, Wait: retryAfter(missing / share)}
}

// retryAfter rounds up, so that the wait is never too short.
func retryAfter(seconds float64) time.Duration {
	wait := time.Duration(math.Ceil(min(seconds, maxLimitedRetry.Seconds())*1000)) * time.Millisecond
	return max(wait, minLimitedRetry)
}

// Take takes a request from this node's share of the upstream's limit, if it is granted.
func (l *UpstreamLimiter) Take(run UpstreamRun, priority int, now time.Time) Permit {
	if !l.Active() {
		return Permit{Granted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	permit := l.check(run, priority, now)
	if permit.Limited && permit.Granted {
		l.limits[run].level--
	}
	return permit
}

// Refund returns a request taken by Take that did not reach the upstream.
func (l *UpstreamLimiter) Refund(run UpstreamRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.limits[run]; u != nil && u.owned {
		u.level++
	}
}

// Report returns what to tell other nodes, at most limit news: those that name a limit
// first, then the latest.
func (l *UpstreamLimiter) Report(limit int) []LimitNews {
	if !l.Active() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]LimitNews, 0, len(l.limits))
	for _, u := range l.limits {
		out = append(out, u.news)
	}
	slices.SortFunc(out, func(a, b LimitNews) int {
		if a.Limited != b.Limited {
			if a.Limited {
				return -1
			}
			return 1
		}
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Upstream.ID, b.Upstream.ID))
	})
	return out[:min(len(out), limit)]
}
