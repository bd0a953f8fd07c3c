package duty

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// Timing of usage reports. A window is first reported a settle delay after its end,
// which lets the nodes' counts arrive. A failed report is retried until retryPeriod
// after it is due (UsageReporter.Late).
const (
	minSettleDelay = 700 * time.Millisecond  // if no node is silent
	maxSettleDelay = 2500 * time.Millisecond // if a node is silent
	retryPeriod    = 4 * time.Second         // after a report is due
)

// UsageSender sends usage reports.
type UsageSender interface {
	ReportUsage(ctx context.Context, term Term, window int64, counts map[string]int64) error
}

// UsageReporter reports the usage of each window. Before the first attempt it
// seals the counts in the store, so that retries and later holders of the
// lease report the same counts.
type UsageReporter struct {
	Ledger *Ledger
	Lease  *Lease
	Store  Store
	Sender UsageSender
	Key    string           // of the record in the store
	Window time.Duration    // length of a window
	Late   time.Duration    // time from the end of a window until its report is due
	Clock  func() time.Time // agreed time of the nodes
	// FirstStart says that no node of this deployment has run before. Otherwise windows that
	// began before a record is stored may have been reported.
	FirstStart bool
	// AllHeard reports whether no node is currently silent. Windows are then
	// sealed earlier, which loses fewer counts when many nodes are killed.
	AllHeard func() bool

	record   UsageRecord    // as stored at the given revision, or earlier
	revision int64          // 0 if none is stored
	current  bool           // the record is that of the store, if no other node has changed it
	fence    int64          // of the term in which the record was read
	reported map[int64]bool // pending windows that were reported in this term
}

// Step seals the windows that have settled and reports those that are not known to be reported.
func (u *UsageReporter) Step(ctx context.Context) {
	term, ok := u.Lease.Term()
	if !ok {
		return
	}
	if u.fence != term.Fence {
		u.fence, u.current, u.record, u.reported = term.Fence, false, UsageRecord{}, map[int64]bool{}
	}
	if !u.current {
		u.read(ctx)
	}
	if u.current {
		u.sealSettled(ctx)
	}
	u.reportPending(ctx)
}

// FirstWindow returns the oldest window that may still be reported.
func (u *UsageReporter) FirstWindow() int64 { return FirstWindow(u.Clock(), u.Window, u.Late) }

// FirstWindow returns the oldest window that may still be reported at the given time, if a report
// is due late after the end of its window.
func FirstWindow(now time.Time, window, late time.Duration) int64 {
	return WindowIndex(now.Add(-late-retryPeriod), window)
}

// WindowIndex returns the index of the window that contains the time.
func WindowIndex(at time.Time, window time.Duration) int64 {
	return at.UnixNano() / int64(window)
}

// read reads the record from the store. If there is no usable one, the windows up to now are left
// to whoever may have reported them, unless this is a new deployment.
func (u *UsageReporter) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	it, found, _, err := u.Store.Get(ctx, u.Key)
	if err != nil {
		return
	}
	u.revision, u.current = it.Revision, true
	if !found {
		u.revision, u.record = 0, newUsageRecord(u.Window, u.currentWindow())
		if u.FirstStart {
			u.record.Sealed = nil
		}
		return
	}
	u.record, err = DecodeUsageRecord(it.Value, u.Window)
	if err != nil {
		klog.ErrorS(err, "usage_record_unusable", "revision", it.Revision)
		u.record = newUsageRecord(u.Window, u.currentWindow())
	}
}

func (u *UsageReporter) currentWindow() int64 { return WindowIndex(u.Clock(), u.Window) }

// sealSettled stores the counts of the windows that have settled and are not sealed yet.
func (u *UsageReporter) sealSettled(ctx context.Context) {
	settle := maxSettleDelay
	if u.AllHeard() {
		settle = minSettleDelay
	}
	first, last := u.FirstWindow(), WindowIndex(u.Clock().Add(-settle), u.Window)-1
	next, added := u.record.clone(), false
	for window := first; window <= last; window++ {
		if next.IsSealed(window) {
			continue
		}
		if counts := u.Ledger.Sum(window); len(counts) > 0 {
			next.seal(window, counts)
			added = true
		}
	}
	if !added {
		return
	}
	maps.DeleteFunc(next.Pending, func(window int64, _ map[string]int64) bool { return window < first || u.reported[window] })
	u.write(ctx, next)
}

// write replaces the stored record. If the outcome is unknown, or another node has changed it, it
// is read again before the next write.
func (u *UsageReporter) write(ctx context.Context, next UsageRecord) {
	raw, err := json.Marshal(next)
	if err != nil {
		klog.ErrorS(err, "usage_record_not_encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	swap, err := u.Store.PutIf(ctx, u.Key, raw, u.revision, 0)
	if err != nil || !swap.Succeeded {
		u.current = false
		klog.InfoS("usage_record_not_stored", "revision", u.revision, "current", swap.Current.Revision, "err", err)
		return
	}
	u.record, u.revision = next, swap.Revision
	maps.DeleteFunc(u.reported, func(window int64, _ bool) bool { return next.Pending[window] == nil })
}

// reportPending sends the sealed counts of windows that are not known to be reported.
func (u *UsageReporter) reportPending(ctx context.Context) {
	first := u.FirstWindow()
	for _, window := range slices.Sorted(maps.Keys(u.record.Pending)) {
		if window >= first && !u.reported[window] {
			u.reported[window] = u.report(ctx, window, u.record.Pending[window])
		}
	}
}

// report sends the counts of a window if this node still holds the lease, and reports whether the
// platform has accepted them.
func (u *UsageReporter) report(ctx context.Context, window int64, counts map[string]int64) bool {
	term, ok := u.Lease.Term() // sealing may have taken long
	if !ok || term.Fence != u.fence {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	err := u.Sender.ReportUsage(ctx, term, window, counts)
	klog.InfoS("usage_report", "window", window, "fence", term.Fence, "counts", counts, "err", err)
	return err == nil
}
