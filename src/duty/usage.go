package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Timing of usage reports. A window is first reported a settle delay after its end,
// which lets the nodes' counts arrive. A failed report is retried until retryPeriod
// after it is due (UsageReporter.Late). A seal is the stored counts of a window.
const (
	minSettleDelay      = 700 * time.Millisecond  // if no node is silent
	maxSettleDelay      = 2500 * time.Millisecond // if a node is silent
	retryPeriod         = 4 * time.Second         // after a report is due
	reportedWindowsKept = 8                       // UsageReporter.reported keeps a window for this many windows after its retry period
	sealRetention       = 6                       // number of windows after which the seal of a window is deleted
)

// Ledger holds the number of executed requests counted by each node, by window and
// customer. Counts are cumulative within an incarnation of a node, so they may be
// merged repeatedly and in any order.
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

// Merge records a node's cumulative count for a window. The highest of several
// counts is kept.
func (l *Ledger) Merge(node string, incarnation, window int64, customer string, count int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
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

// DropBefore deletes all windows before the given one.
func (l *Ledger) DropBefore(before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window := range l.counts {
		if window < before {
			delete(l.counts, window)
		}
	}
}

// UsageSender sends usage reports.
type UsageSender interface {
	ReportUsage(ctx context.Context, term Term, window int64, counts map[string]int64) error
}

// UsageReporter reports the usage of each window. Before the first attempt it
// stores the counts as the window's seal, so that retries and later holders of the
// lease report the same counts.
type UsageReporter struct {
	Ledger *Ledger
	Lease  *Lease
	Store  Store
	Sender UsageSender
	Prefix string           // of the keys of seals
	Window time.Duration    // length of a window
	Late   time.Duration    // time from the end of a window until its report is due
	Clock  func() time.Time // agreed time of the nodes
	// AllHeard reports whether no node is currently silent. Windows are then
	// sealed earlier, which loses fewer counts when many nodes are killed.
	AllHeard func() bool

	reported      map[int64]bool
	reportedFence int64 // fence of the term to which reported applies
}

// Step reports the windows that have settled and are not yet reported.
func (u *UsageReporter) Step(ctx context.Context) {
	term, ok := u.Lease.Term()
	if !ok {
		return
	}
	if u.reportedFence != term.Fence {
		u.reported, u.reportedFence = map[int64]bool{}, term.Fence
	}
	now := u.Clock()
	settle := maxSettleDelay
	if u.AllHeard() {
		settle = minSettleDelay
	}
	last := WindowIndex(now.Add(-settle), u.Window) - 1
	first := WindowIndex(now.Add(-u.Late-retryPeriod), u.Window)
	for window := first; window <= last; window++ {
		if !u.reported[window] {
			u.reported[window] = u.report(ctx, window)
		}
	}
	for window := range u.reported {
		if window < first-reportedWindowsKept {
			delete(u.reported, window)
		}
	}
}

// WindowIndex returns the index of the window that contains the time.
func WindowIndex(at time.Time, window time.Duration) int64 {
	return at.UnixNano() / int64(window)
}

func (u *UsageReporter) sealKey(window int64) string { return fmt.Sprintf("%s%d", u.Prefix, window) }

// report seals and sends the counts of a window. It returns true if nothing is left
// to do for the window.
func (u *UsageReporter) report(ctx context.Context, window int64) bool {
	counts, ok := u.seal(ctx, window)
	if !ok {
		return false
	}
	if len(counts) == 0 {
		return true
	}
	// Check again that this node holds the lease: sealing may have taken long.
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

// seal stores the counts of a window unless they are already sealed, and returns
// the sealed counts and whether they could be determined.
func (u *UsageReporter) seal(ctx context.Context, window int64) (map[string]int64, bool) {
	counts := u.Ledger.Sum(window)
	raw, err := json.Marshal(counts)
	if err != nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	it, found, _, err := u.Store.Get(ctx, u.sealKey(window))
	if err != nil {
		return nil, false
	}
	if !found {
		if len(counts) == 0 {
			return nil, true
		}
		// Create the seal without a lease, and delete that of an old window.
		swap, err := u.Store.PutIf(ctx, u.sealKey(window), raw, 0, 0, u.sealKey(window-sealRetention))
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
