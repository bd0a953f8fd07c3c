package admit

import (
	"math"
	"sync"
	"time"
)

const (
	demandHalfLife   = 2 * time.Second  // of the sum from which a request rate is measured
	demandExpiry     = 30 * time.Second // the reading of a node that is not live is used for this long
	burstSeconds     = 1.0              // seconds of the rate that a bucket holds
	minShareFraction = 0.2              // fraction of an even share that a node keeps at any demand
	shareHalfLife    = 2 * time.Second  // half-life of the distance to a new share
	maxShareInterval = time.Second      // longest time that one share update accounts for
)

// Demand is a reading of one customer's request rate, measured at one node.
type Demand struct {
	Node     string
	Customer string
	Rate     float64 // requests per second, admitted or not
	At       time.Time
}

// Limiter divides each customer's limit among the live nodes in proportion to
// the demand they exchange. Checking a request makes no network call.
type Limiter struct {
	mu        sync.Mutex
	self      string
	local     map[string]*meter
	remote    map[string]map[string]Demand // by customer, then node
	liveNodes map[string]bool              // nodes whose last reading does not expire
	buckets   map[string]*bucket
	shares    map[string]*nodeShare
}

// nodeShare is this node's fraction of a customer's limit. It changes
// gradually, because at the start of a surge the nodes have not yet exchanged
// their demand.
type nodeShare struct {
	fraction  float64
	updatedAt time.Time
}

// meter measures a request rate by a decaying sum.
type meter struct {
	rate      float64
	updatedAt time.Time
}

type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// NewLimiter returns a limiter for the node named self.
func NewLimiter(self string) *Limiter {
	return &Limiter{self: self, local: map[string]*meter{}, remote: map[string]map[string]Demand{}, buckets: map[string]*bucket{}, shares: map[string]*nodeShare{}}
}

// Allow counts one request of a customer against limit, in requests per second
// over all nodes; 0 means no limit. nodes is the number of nodes that share the
// limit. If the request is not allowed, retry is the time until the next one is.
func (l *Limiter) Allow(customer string, limit float64, nodes int, now time.Time) (ok bool, retry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter(customer).record(now)
	if limit <= 0 {
		return true, 0
	}
	rate := l.localLimit(customer, limit, nodes, now)
	b := l.buckets[customer]
	burst := max(rate*burstSeconds, 1)
	if b == nil {
		b = &bucket{tokens: burst, updatedAt: now}
		l.buckets[customer] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.updatedAt).Seconds()*rate, burst)
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

func (l *Limiter) meter(customer string) *meter {
	m := l.local[customer]
	if m == nil {
		m = &meter{}
		l.local[customer] = m
	}
	return m
}

func (m *meter) record(now time.Time) {
	m.rate = m.rateAt(now) + math.Ln2/demandHalfLife.Seconds()
	m.updatedAt = now
}

func (m *meter) rateAt(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		return 0
	}
	return m.rate * math.Exp2(-now.Sub(m.updatedAt).Seconds()/demandHalfLife.Seconds())
}

// localLimit returns this node's part of the limit, in requests per second.
func (l *Limiter) localLimit(customer string, limit float64, nodes int, now time.Time) float64 {
	demands := map[string]float64{l.self: l.meter(customer).rateAt(now)}
	for node, d := range l.remote[customer] {
		if l.isCurrent(d, now) && node != l.self {
			demands[node] = d.Rate
		}
	}
	return limit * l.nodeShare(customer, nodes, now).moveToward(Share(l.self, demands, max(nodes, 1)), now)
}

// SetLive sets the live nodes. Their last reported demand stays in use until
// they report again, so that shares do not grow when the exchange fails.
func (l *Limiter) SetLive(nodes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.liveNodes = make(map[string]bool, len(nodes))
	for _, name := range nodes {
		l.liveNodes[name] = true
	}
}

// isCurrent reports whether a reading is still used.
func (l *Limiter) isCurrent(d Demand, now time.Time) bool {
	return l.liveNodes[d.Node] || now.Sub(d.At) < demandExpiry
}

func (l *Limiter) nodeShare(customer string, nodes int, now time.Time) *nodeShare {
	share := l.shares[customer]
	if share == nil || now.Sub(share.updatedAt) > demandExpiry {
		share = &nodeShare{fraction: 1 / float64(max(nodes, 1)), updatedAt: now}
		l.shares[customer] = share
	}
	return share
}

func (s *nodeShare) moveToward(target float64, now time.Time) float64 {
	elapsed := min(now.Sub(s.updatedAt), maxShareInterval)
	s.fraction += (target - s.fraction) * (1 - math.Exp2(-elapsed.Seconds()/shareHalfLife.Seconds()))
	s.updatedAt = now
	return s.fraction
}

// Share returns the fraction, 0 to 1, of a limit that the node self gets when
// it is divided by demand. Every node keeps a minimum at any demand. The shares
// of all nodes sum to 1 if they see the same demands.
func Share(self string, demands map[string]float64, nodes int) float64 {
	nodes = max(nodes, len(demands))
	total := 0.0
	for _, d := range demands {
		total += d
	}
	even := 1 / float64(nodes)
	if total <= 0 {
		return even
	}
	return even*minShareFraction + (1-minShareFraction)*demands[self]/total
}

// LocalDemand returns the demand measured at this node.
func (l *Limiter) LocalDemand(now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Demand
	for c, m := range l.local {
		if rate := m.rateAt(now); rate > 0.01 {
			out = append(out, Demand{l.self, c, rate, now})
		}
	}
	return out
}

// MergeDemand stores another node's reading unless a newer one is known.
func (l *Limiter) MergeDemand(d Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.remote[d.Customer]
	if m == nil {
		m = map[string]Demand{}
		l.remote[d.Customer] = m
	}
	if d.Node != l.self && d.At.After(m[d.Node].At) {
		m[d.Node] = d
	}
}

// Sample returns up to n readings of other nodes, to be forwarded, and deletes
// expired ones.
func (l *Limiter) Sample(n int, now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Demand
	for _, m := range l.remote {
		for node, d := range m {
			if !l.isCurrent(d, now) {
				delete(m, node)
			} else if len(out) < n {
				out = append(out, d)
			}
		}
	}
	return out
}
