package request

import (
	"sync"
	"time"
)

const (
	ratioUsed   = 0.8 // part of the ratio that a node uses; the remainder is for a restarted process
	extraUsed   = 0.6 // part of a node's share of extra that it uses; the remainder is for a restarted process
	startupUsed = 0.9 // part of these two remainders that a restarted process uses in its first window
	windowSlots = 20  // per window; one more is kept, as the oldest is partly in the window
)

// WindowBudget limits the retries of each service over all nodes, in a sliding
// window, to a ratio of the requests plus a fixed number. Each node uses the ratio
// of its own requests and an even share of the fixed number. Budget, in contrast,
// limits the retries of one node, without a window.
type WindowBudget struct {
	mu           sync.Mutex
	ratio        float64
	extra        float64
	window       time.Duration
	firstProcess bool // no process of the system ran before this one
	slots        map[string]*[windowSlots + 1]windowSlot
}

type windowSlot struct {
	index    int64
	requests float64
	retries  float64
}

// NewWindowBudget returns a budget of ratio retries per request, plus extra, in
// any window. firstProcess means that no process of the system has run before
// this one. Otherwise an earlier process may have used up the budget, and less
// is allowed in the first window.
func NewWindowBudget(ratio, extra float64, window time.Duration, firstProcess bool) *WindowBudget {
	return &WindowBudget{ratio: ratio, extra: extra, window: window, firstProcess: firstProcess, slots: map[string]*[windowSlots + 1]windowSlot{}}
}

// SetLimits replaces the ratio and the fixed number of retries.
func (b *WindowBudget) SetLimits(ratio, extra float64) {
	b.mu.Lock()
	b.ratio, b.extra = ratio, extra
	b.mu.Unlock()
}

// slot returns the slot that counts requests and retries at now.
func (b *WindowBudget) slot(service string, now time.Duration) *windowSlot {
	ring := b.slots[service]
	if ring == nil {
		ring = &[windowSlots + 1]windowSlot{}
		b.slots[service] = ring
	}
	index := int64(now / (b.window / windowSlots))
	s := &ring[index%(windowSlots+1)]
	if s.index != index {
		*s = windowSlot{index: index}
	}
	return s
}

// Earn counts a request for a service. now is the time since the process
// started, on the monotonic clock.
func (b *WindowBudget) Earn(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(service, now).requests++
}

// RetryDecision is a budget's decision on one retry, with the figures behind it.
type RetryDecision struct {
	Granted  bool
	Requests float64 // this node's requests in the window
	Retries  float64 // this node's retries in the window, with this one if granted
	Allowed  float64 // retries allowed in the window
	Nodes    int     // number of nodes that share the fixed number of retries
}

// Spend takes one retry if this node's share of the budget has one left. nodes
// is the number of nodes that share it.
func (b *WindowBudget) Spend(service string, nodes int, now time.Duration) RetryDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slot(service, now)
	d := RetryDecision{Nodes: max(nodes, 1)}
	for _, s := range b.slots[service] {
		if current.index-s.index <= windowSlots {
			d.Requests += s.requests
			d.Retries += s.retries
		}
	}
	d.Allowed = b.allowed(d.Requests, d.Nodes, now)
	if d.Retries+1 > d.Allowed {
		return d
	}
	d.Granted = true
	d.Retries++
	current.retries++
	return d
}

// allowed returns the number of retries this node may send in the window that
// ends now. In a process younger than a window, the share of extra grows with
// its age, so that quick restarts do not add up to more than the budget.
func (b *WindowBudget) allowed(requests float64, nodes int, now time.Duration) float64 {
	ratio := b.ratio * requests
	extra := b.extra / float64(nodes)
	if b.firstProcess || now >= b.window {
		return ratioUsed*ratio + extraUsed*extra
	}
	age := now.Seconds() / b.window.Seconds()
	return startupUsed * ((1-ratioUsed)*ratio + (1-extraUsed)*extra*age)
}
