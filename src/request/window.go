package request

import (
	"sync"
	"time"
)

// Parts of the limits on repeated sends that this node uses of its share.
const (
	ratioUsed   = 0.8
	extraUsed   = 0.6
	youngUsed   = 0.9 // of what a whole share leaves unused, while the life before may have used all of that in the same window
	windowSlots = 20
)

// WindowBudget bounds repeated sends to a fraction of the requests in a
// sliding window, over all nodes: each uses the fraction of its own requests
// and an even share of what is allowed beyond it.
type WindowBudget struct {
	mu     sync.Mutex
	ratio  float64
	extra  float64
	window time.Duration
	first  bool // no process of the system ran before this one
	slots  map[string]*[windowSlots + 1]windowSlot
}

type windowSlot struct {
	number   int64
	requests float64
	repeats  float64
}

// NewWindowBudget allows ratio repeats for each request and extra more, in any
// window. Unless first tells that no process of the system ran before this
// one, its first window begins with a small part: what the process before it
// used is not known.
func NewWindowBudget(ratio, extra float64, window time.Duration, first bool) *WindowBudget {
	return &WindowBudget{ratio: ratio, extra: extra, window: window, first: first, slots: map[string]*[windowSlots + 1]windowSlot{}}
}

// SetLimits changes what is allowed from now on.
func (b *WindowBudget) SetLimits(ratio, extra float64) {
	b.mu.Lock()
	b.ratio, b.extra = ratio, extra
	b.mu.Unlock()
}

// slot is where what happens now is counted.
func (b *WindowBudget) slot(service string, now time.Duration) *windowSlot {
	ring := b.slots[service]
	if ring == nil {
		ring = &[windowSlots + 1]windowSlot{}
		b.slots[service] = ring
	}
	number := int64(now / (b.window / windowSlots))
	s := &ring[number%(windowSlots+1)]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}

// Earn counts a request for a service. Moments are given as the time since the
// process began, which no step of the clock moves.
func (b *WindowBudget) Earn(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(service, now).requests++
}

// Verdict is what a budget decided on one repeat, and by which figures.
type RetryDecision struct {
	Granted  bool
	Requests float64 // of this node in the window
	Retries  float64 // of this node in the window, this one included if it was granted
	Allowed  float64 // repeats in the window
	Nodes    int     // among which the part beyond the ratio is divided
}

// Spend takes one repeat when this node's share, among so many nodes, has one left.
func (b *WindowBudget) Spend(service string, nodes int, now time.Duration) RetryDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slot(service, now)
	v := RetryDecision{Nodes: max(nodes, 1)}
	for _, s := range b.slots[service] {
		if current.number-s.number <= windowSlots {
			v.Requests += s.requests
			v.Retries += s.repeats
		}
	}
	v.Allowed = b.allowed(v.Requests, v.Nodes, now)
	if v.Retries+1 > v.Allowed {
		return v
	}
	v.Granted = true
	v.Retries++
	current.repeats++
	return v
}

// allowed is how many repeats this node may send in the window that ends now.
// While the process is younger than a window, the part beyond the ratio grows
// with its age, so that several short lives add up to no more than a long one.
func (b *WindowBudget) allowed(requests float64, nodes int, now time.Duration) float64 {
	ratio := b.ratio * requests
	extra := b.extra / float64(nodes)
	if b.first || now >= b.window {
		return ratioUsed*ratio + extraUsed*extra
	}
	age := now.Seconds() / b.window.Seconds()
	return youngUsed * ((1-ratioUsed)*ratio + (1-extraUsed)*extra*age)
}
