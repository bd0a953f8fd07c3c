package admit

import (
	"math"
	"sync"
	"time"
)

const (
	demandHalfLife = 2 * time.Second
	demandStale    = 30 * time.Second
	burstSeconds   = 1.0
	minShare       = 0.2             // of an even share, left to a node whatever the others say
	shareHalfLife  = 2 * time.Second // in which half the way to a new share is gone
	shareStep      = time.Second     // most that counts as having passed between two requests
)

// Demand is one node's reading of one customer's asked-for rate.
type Demand struct {
	Node     string
	Customer string
	Rate     float64 // requests a second
	At       time.Time
}

// Limiter divides each customer's limit over the live nodes by exchanged
// demand. No call leaves the node when a request is checked.
type Limiter struct {
	mu      sync.Mutex
	self    string
	own     map[string]*meter
	heard   map[string]map[string]Demand // by customer, then node
	live    map[string]bool              // nodes whose last reading holds however old it is
	buckets map[string]*bucket
	shares  map[string]*portion
}

// portion is a node's part of a customer's limit. It moves slowly: when a
// surge begins at all nodes at once, none of them knows of the others yet.
type portion struct {
	part float64
	at   time.Time
}

type meter struct {
	rate float64
	at   time.Time
}

type bucket struct {
	have float64
	at   time.Time
}

// NewLimiter returns the limiter of the node self.
func NewLimiter(self string) *Limiter {
	return &Limiter{self: self, own: map[string]*meter{}, heard: map[string]map[string]Demand{}, buckets: map[string]*bucket{}, shares: map[string]*portion{}}
}

// Allow counts one request of a customer with the given limit (requests a
// second over all nodes; 0 for none). When it is not allowed, retry tells
// when there will be room.
func (l *Limiter) Allow(customer string, limit float64, nodes int, now time.Time) (ok bool, retry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter(customer).count(now)
	if limit <= 0 {
		return true, 0
	}
	rate := l.share(customer, limit, nodes, now)
	b := l.buckets[customer]
	burst := max(rate*burstSeconds, 1)
	if b == nil {
		b = &bucket{have: burst, at: now}
		l.buckets[customer] = b
	}
	b.have = min(b.have+now.Sub(b.at).Seconds()*rate, burst)
	b.at = now
	if b.have >= 1 {
		b.have--
		return true, 0
	}
	return false, time.Duration((1 - b.have) / rate * float64(time.Second))
}

func (l *Limiter) meter(customer string) *meter {
	m := l.own[customer]
	if m == nil {
		m = &meter{}
		l.own[customer] = m
	}
	return m
}

func (m *meter) count(now time.Time) {
	m.rate = m.read(now) + math.Ln2/demandHalfLife.Seconds()
	m.at = now
}

func (m *meter) read(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * math.Exp2(-now.Sub(m.at).Seconds()/demandHalfLife.Seconds())
}

// share is this node's part of the limit.
func (l *Limiter) share(customer string, limit float64, nodes int, now time.Time) float64 {
	demands := map[string]float64{l.self: l.meter(customer).read(now)}
	for node, d := range l.heard[customer] {
		if l.holds(d, now) && node != l.self {
			demands[node] = d.Rate
		}
	}
	return limit * l.portion(customer, nodes, now).move(Share(l.self, demands, max(nodes, 1)), now)
}

// SetLive tells which nodes are there. What they told last holds while they
// are silent, so that nobody's part grows because news stops.
func (l *Limiter) SetLive(nodes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live = make(map[string]bool, len(nodes))
	for _, name := range nodes {
		l.live[name] = true
	}
}

// holds tells whether a reading still counts.
func (l *Limiter) holds(d Demand, now time.Time) bool {
	return l.live[d.Node] || now.Sub(d.At) < demandStale
}

func (l *Limiter) portion(customer string, nodes int, now time.Time) *portion {
	p := l.shares[customer]
	if p == nil || now.Sub(p.at) > demandStale {
		p = &portion{part: 1 / float64(max(nodes, 1)), at: now}
		l.shares[customer] = p
	}
	return p
}

func (p *portion) move(target float64, now time.Time) float64 {
	passed := min(now.Sub(p.at), shareStep)
	p.part += (target - p.part) * (1 - math.Exp2(-passed.Seconds()/shareHalfLife.Seconds()))
	p.at = now
	return p.part
}

// Share is the part, 0 to 1, that falls to self of what is divided by demand.
// Every node keeps a small part whatever the others ask, and the parts of all
// nodes sum to 1 when they know the same demands.
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
	return even*minShare + (1-minShare)*demands[self]/total
}

// Own returns this node's readings.
func (l *Limiter) LocalDemand(now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Demand
	for c, m := range l.own {
		if rate := m.read(now); rate > 0.01 {
			out = append(out, Demand{l.self, c, rate, now})
		}
	}
	return out
}

// Heard takes in another node's reading; an older one is dropped.
func (l *Limiter) MergeDemand(d Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.heard[d.Customer]
	if m == nil {
		m = map[string]Demand{}
		l.heard[d.Customer] = m
	}
	if d.Node != l.self && d.At.After(m[d.Node].At) {
		m[d.Node] = d
	}
}

// Sample returns up to n of the readings heard, for passing on.
func (l *Limiter) Sample(n int, now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Demand
	for _, m := range l.heard {
		for node, d := range m {
			if !l.holds(d, now) {
				delete(m, node)
			} else if len(out) < n {
				out = append(out, d)
			}
		}
	}
	return out
}
