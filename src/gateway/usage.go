package gateway

import (
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/duty"
)

// usageCounter counts the requests executed through this node, by window and customer.
type usageCounter struct {
	mu     sync.Mutex
	window time.Duration
	clock  func() time.Time
	counts map[usageKey]int64
}

type usageKey struct {
	window   int64
	customer string
}

const maxUsageWindows = 5 // kept besides the current window

func newUsageCounter(window time.Duration, clock func() time.Time) *usageCounter {
	return &usageCounter{window: window, clock: clock, counts: map[usageKey]int64{}}
}

// add counts a request of the customer in the current window.
func (u *usageCounter) add(customer string) {
	window := duty.WindowIndex(u.clock(), u.window)
	u.mu.Lock()
	u.counts[usageKey{window, customer}]++
	u.mu.Unlock()
}

// recent returns the counts of the windows that are kept and drops older ones.
func (u *usageCounter) recent() map[usageKey]int64 {
	oldest := duty.WindowIndex(u.clock(), u.window) - maxUsageWindows
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[usageKey]int64, len(u.counts))
	for key, count := range u.counts {
		if key.window < oldest {
			delete(u.counts, key)
			continue
		}
		out[key] = count
	}
	return out
}
