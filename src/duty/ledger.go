package duty

import "sync"

// Ledger holds the number of executed requests counted by each node, by window and
// customer. Counts are cumulative within an incarnation of a node, so they may be
// merged repeatedly and in any order.
type Ledger struct {
	mu     sync.Mutex
	counts map[int64]map[usageKey]int64
	oldest int64 // window; counts of earlier ones are ignored
}

type usageKey struct {
	node        string
	incarnation int64
	customer    string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{counts: map[int64]map[usageKey]int64{}} }

// Merge records a node's cumulative count for a window. The highest of several
// counts is kept.
func (l *Ledger) Merge(node string, incarnation, window int64, customer string, count int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if window < l.oldest {
		return
	}
	windowCounts := l.counts[window]
	if windowCounts == nil {
		windowCounts = map[usageKey]int64{}
		l.counts[window] = windowCounts
	}
	key := usageKey{node, incarnation, customer}
	windowCounts[key] = max(windowCounts[key], count)
}

// Sum returns the number of executed requests in a window by customer.
func (l *Ledger) Sum(window int64) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int64{}
	for key, count := range l.counts[window] {
		out[key.customer] += count
	}
	return out
}

// DropBefore deletes all windows before the given one, and ignores their counts until the next
// call.
func (l *Ledger) DropBefore(before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oldest = before
	for window := range l.counts {
		if window < before {
			delete(l.counts, window)
		}
	}
}
