package duty

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"
)

// UsageRecord is what the system's store holds about usage reports: which windows are sealed, that
// is, have counts that are final, and the counts of those that may not have been reported yet. A
// window that is not sealed has never been reported.
type UsageRecord struct {
	WindowMs int64                      `json:"window_ms"` // length of a window
	Sealed   []windowRange              `json:"sealed"`    // ascending and disjoint
	Pending  map[int64]map[string]int64 `json:"pending"`   // by window and customer
}

// windowRange is the windows from the first number to the second, both included.
type windowRange [2]int64

// maxSealedRanges bounds the ranges of a record.
const maxSealedRanges = 16

// newUsageRecord returns a record in which all windows are sealed up to the given one.
func newUsageRecord(window time.Duration, through int64) UsageRecord {
	return UsageRecord{WindowMs: window.Milliseconds(), Sealed: []windowRange{{0, through}}, Pending: map[int64]map[string]int64{}}
}

// DecodeUsageRecord decodes a record of windows of the given length. Numbers of windows of another
// length have no meaning here, so such a record is an error.
func DecodeUsageRecord(raw []byte, window time.Duration) (r UsageRecord, err error) {
	if err := json.Unmarshal(raw, &r); err != nil {
		return UsageRecord{}, oops.Wrapf(err, "decode usage record")
	}
	if r.WindowMs != window.Milliseconds() {
		return UsageRecord{}, oops.Errorf("usage record of windows of %d ms, not %d", r.WindowMs, window.Milliseconds())
	}
	return r, nil
}

// clone returns a record that can be changed without changing r. Counts are shared.
func (r UsageRecord) clone() UsageRecord {
	r.Sealed, r.Pending = slices.Clone(r.Sealed), maps.Clone(r.Pending)
	if r.Pending == nil {
		r.Pending = map[int64]map[string]int64{}
	}
	return r
}

// IsSealed reports whether the counts of a window are final.
func (r UsageRecord) IsSealed(window int64) bool {
	return slices.ContainsFunc(r.Sealed, func(s windowRange) bool { return s[0] <= window && window <= s[1] })
}

// seal makes the counts of a window that is not sealed final.
func (r *UsageRecord) seal(window int64, counts map[string]int64) {
	r.Pending[window] = counts
	r.Sealed = append(r.Sealed, windowRange{window, window})
	slices.SortFunc(r.Sealed, func(a, b windowRange) int { return cmp.Compare(a[0], b[0]) })
	for i := 1; i < len(r.Sealed); {
		// The windows between the oldest of too many ranges are never reported.
		if r.Sealed[i-1][1]+1 == r.Sealed[i][0] || len(r.Sealed) > maxSealedRanges {
			r.Sealed[i-1][1] = r.Sealed[i][1]
			r.Sealed = slices.Delete(r.Sealed, i, i+1)
			continue
		}
		i++
	}
}
