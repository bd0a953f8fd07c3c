package gateway

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/duty"
	"github.com/crankridge/crankridge/src/ports"
)

// usageCounter counts the requests executed through this node, by window and customer, for as long
// as they may be reported.
type usageCounter struct {
	mu     sync.Mutex
	window time.Duration
	late   time.Duration // time from the end of a window until its report is due
	clock  func() time.Time
	counts map[windowUsage]int64
}

type windowUsage struct {
	window   int64
	customer string
}

func newUsageCounter(window, late time.Duration, clock func() time.Time) *usageCounter {
	return &usageCounter{window: window, late: late, clock: clock, counts: map[windowUsage]int64{}}
}

// add counts a request of the customer in the current window.
func (u *usageCounter) add(customer string) {
	window := duty.WindowIndex(u.clock(), u.window)
	u.mu.Lock()
	u.counts[windowUsage{window, customer}]++
	u.mu.Unlock()
}

// open returns the counts of the windows that may still be reported and are not sealed, and drops
// those of earlier windows.
func (u *usageCounter) open(isSealed func(window int64) bool) map[windowUsage]int64 {
	first := duty.FirstWindow(u.clock(), u.window, u.late)
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[windowUsage]int64, len(u.counts))
	for key, count := range u.counts {
		if key.window < first {
			delete(u.counts, key)
			continue
		}
		if !isSealed(key.window) {
			out[key] = count
		}
	}
	return out
}

// usageRecord is the latest usage record of the view.
type usageRecord struct {
	mu       sync.Mutex
	revision int64
	record   duty.UsageRecord
}

// update decodes the stored record if it has another revision than before, and returns it. Of one
// that is not usable no window is sealed.
func (r *usageRecord) update(stored ports.Item, window time.Duration) duty.UsageRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stored.Revision == r.revision {
		return r.record
	}
	r.revision = stored.Revision
	r.record = duty.UsageRecord{}
	if stored.Deleted {
		return r.record
	}
	record, err := duty.DecodeUsageRecord(stored.Value, window)
	if err != nil {
		klog.ErrorS(err, "usage_record_unusable", "revision", stored.Revision)
		return r.record
	}
	r.record = record
	return r.record
}

// openUsage returns this node's counts of the windows whose counts are not final.
func (n *Node) openUsage() map[windowUsage]int64 {
	stored, _ := n.view.Get(usageKey)
	record := n.usageRecord.update(stored, n.initial.Duties.UsageWindow)
	return n.usage.open(record.IsSealed)
}
