package gateway

import (
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/duty"
)

// usageCounter counts the runs of this node by window and customer.
type usageCounter struct {
	mu     sync.Mutex
	window time.Duration
	clock  func() time.Time
	counts map[usageCell]int64
}

type usageCell struct {
	window   int64
	customer string
}

const usageWindowsTold = 5

func newUsageCounter(window time.Duration, clock func() time.Time) *usageCounter {
	return &usageCounter{window: window, clock: clock, counts: map[usageCell]int64{}}
}

// count notes that a request of the customer begins to run now.
func (u *usageCounter) count(customer string) {
	window := duty.WindowIndex(u.clock(), u.window)
	u.mu.Lock()
	u.counts[usageCell{window, customer}]++
	u.mu.Unlock()
}

// recent returns the counts of the last windows and forgets older ones.
func (u *usageCounter) recent() map[usageCell]int64 {
	oldest := duty.WindowIndex(u.clock(), u.window) - usageWindowsTold
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[usageCell]int64, len(u.counts))
	for cell, count := range u.counts {
		if cell.window < oldest {
			delete(u.counts, cell)
			continue
		}
		out[cell] = count
	}
	return out
}
