package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Times of the usage reports, after the end of a window.
const (
	settleSoon   = 700 * time.Millisecond  // counts of nodes that are heard have arrived by then
	settleAfter  = 2500 * time.Millisecond // for the counts of nodes that are silent just now
	tryFor       = 4 * time.Second         // beyond the time at which a report is due
	windowsKept  = 8
	sealsRemoved = 6 // windows after which a seal is removed
)

// Ledger sums up the runs that each node counted, by window and customer.
// Counts are running sums of one life of a node, so that they may be told any
// number of times and in any order.
type Ledger struct {
	mu     sync.Mutex
	counts map[int64]map[usageKey]int64
}

type usageKey struct {
	node        string
	incarnation int64
	customer    string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{counts: map[int64]map[usageKey]int64{}} }

// Take notes a node's running sum.
func (l *Ledger) Merge(node string, incarnation, window int64, customer string, count int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	of := l.counts[window]
	if of == nil {
		of = map[usageKey]int64{}
		l.counts[window] = of
	}
	key := usageKey{node, incarnation, customer}
	of[key] = max(of[key], count)
}

// Sum returns the runs of a window by customer.
func (l *Ledger) Sum(window int64) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int64{}
	for key, count := range l.counts[window] {
		out[key.customer] += count
	}
	return out
}

// Forget drops the windows before one.
func (l *Ledger) DropBefore(before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window := range l.counts {
		if window < before {
			delete(l.counts, window)
		}
	}
}

// UsageSender makes a report.
type UsageSender interface {
	ReportUsage(ctx context.Context, term Term, window int64, counts map[string]int64) error
}

// Usage reports each window once. A window's counts are sealed in the store
// before they are sent, so that whoever sends them again sends the same.
type UsageReporter struct {
	Ledger *Ledger
	Lease  *Lease
	Store  Store
	Sender UsageSender
	Prefix string // of the keys of seals
	Window time.Duration
	Late   time.Duration    // after a window's end its report is due
	Clock  func() time.Time // the time of day on which the nodes agree
	// AllHeard tells whether no node is silent just now: then a window is
	// sealed sooner, and less is lost when many nodes are killed.
	AllHeard func() bool

	sent map[int64]bool
	fell int64 // fence under which sent was noted
}

// Step reports the windows that have settled and are not reported yet.
func (u *UsageReporter) Step(ctx context.Context) {
	term, ok := u.Lease.Term()
	if !ok {
		return
	}
	if u.fell != term.Fence {
		u.sent, u.fell = map[int64]bool{}, term.Fence
	}
	now := u.Clock()
	settle := settleAfter
	if u.AllHeard() {
		settle = settleSoon
	}
	last := WindowIndex(now.Add(-settle), u.Window) - 1
	first := WindowIndex(now.Add(-u.Late-tryFor), u.Window)
	for window := first; window <= last; window++ {
		if !u.sent[window] {
			u.sent[window] = u.report(ctx, window)
		}
	}
	for window := range u.sent {
		if window < first-windowsKept {
			delete(u.sent, window)
		}
	}
}

// WindowOf is the number of the window that holds a moment.
func WindowIndex(at time.Time, window time.Duration) int64 {
	return at.UnixNano() / int64(window)
}

func (u *UsageReporter) key(window int64) string { return fmt.Sprintf("%s%d", u.Prefix, window) }

func (u *UsageReporter) report(ctx context.Context, window int64) bool {
	counts, ok := u.seal(ctx, window)
	if !ok {
		return false
	}
	if len(counts) == 0 {
		return true
	}
	// The seal took time: the right to act is looked at again.
	term, ok := u.Lease.Term()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	err := u.Sender.ReportUsage(ctx, term, window, counts)
	klog.InfoS("usage_report", "window", window, "fence", term.Fence, "counts", counts, "err", err)
	return err == nil
}

// seal fixes the counts of a window. ok is false while it is not known which
// counts are fixed.
func (u *UsageReporter) seal(ctx context.Context, window int64) (map[string]int64, bool) {
	counts := u.Ledger.Sum(window)
	raw, err := json.Marshal(counts)
	if err != nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	it, found, _, err := u.Store.Get(ctx, u.key(window))
	if err != nil {
		return nil, false
	}
	if !found {
		if len(counts) == 0 {
			return nil, true
		}
		swap, err := u.Store.PutIf(ctx, u.key(window), raw, 0, 0, u.key(window-sealsRemoved))
		if err != nil {
			return nil, false
		}
		if swap.Succeeded {
			return counts, true
		}
		it = swap.Current
	}
	sealed := map[string]int64{}
	if json.Unmarshal(it.Value, &sealed) != nil {
		return nil, false
	}
	return sealed, true
}
