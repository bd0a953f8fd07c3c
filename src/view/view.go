// Package view is a node's copy of what the key-value service holds for the
// system: resources, node records, the upstream list and the shard map.
//
// A view only moves forward. Each key keeps the highest revision ever offered,
// removals included, so that no stale read, late watch or slow peer can bring
// an older version back.
package view

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/crankridge/crankridge/src/ports"
)

// Prefix is the part of the key space that belongs to the system.
const Prefix = "crankridge/"

// Source tells who offered a change.
type Source string

// The sources of changes.
const (
	FromKV   Source = "kv"
	FromPeer Source = "peer"
)

// View is safe for use by several goroutines.
type View struct {
	mu       sync.Mutex
	items    map[string]ports.Item
	complete int64
	// whole is the revision up to which removals may be unknown here: a
	// listing shows what stands, not what was removed before it.
	whole   int64
	removed int // removals remembered
	source  Source
	changed chan struct{}
	// watched is how far the own watch has shown everything; cutWatch ends it.
	watched  int64
	cutWatch context.CancelFunc

	// log keeps the last changes for those who follow them one by one; it is
	// whole from revision floor on.
	log   []ports.Item
	kept  int
	floor int64
}

// New returns an empty view.
func New() *View {
	return &View{items: map[string]ports.Item{}, changed: make(chan struct{})}
}

// NewLogged returns an empty view that also keeps its last changes, up to kept.
func NewWithLog(kept int) *View {
	v := New()
	v.kept = kept
	return v
}

// Log returns the changes above revision rev, removals included, in order,
// and the complete revision. ok is false when the log does not reach back so far.
func (v *View) ChangesSince(rev int64) (items []ports.Item, complete int64, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if rev < v.floor {
		return nil, v.complete, false
	}
	for _, it := range v.log {
		if it.Revision > rev {
			items = append(items, it)
		}
	}
	return items, v.complete, true
}

// Delta is what one view gives another.
type Delta struct {
	Items    []ports.Item
	Complete int64 // revision up to which nothing is missing after merging
	// Whole says that Items are all that stands, so that what is not among
	// them was removed; else they are what changed, removals included.
	Whole bool
}

// ApplyList merges a whole listing read at revision rev. A key that the
// listing lacks was removed by then, unless the view holds a later revision.
func (v *View) ApplyList(items []ports.Item, rev int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list(items, rev, FromKV)
}

func (v *View) list(items []ports.Item, rev int64, src Source) {
	if rev < v.complete {
		return
	}
	listed := make(map[string]bool, len(items))
	moved := false
	for _, it := range items {
		listed[it.Key] = true
		moved = v.offer(it) || moved
	}
	for key, it := range v.items {
		if !listed[key] && !it.Deleted && it.Revision <= rev {
			moved = v.offer(ports.Item{Key: key, Revision: rev, Deleted: true}) || moved
		}
	}
	v.whole = max(v.whole, rev)
	// A listing skips what lay between; the log begins anew.
	v.log, v.floor = nil, rev
	v.finish(moved, rev, src)
}

// ApplyBatch merges one message of an unbroken watch that began no later than
// the view's complete revision.
func (v *View) ApplyBatch(b ports.Batch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.merge(b.Items, b.Revision, FromKV)
}

// ApplyPeer merges what a peer gave for a complete revision that this view
// had at the time of asking, or has passed since.
func (v *View) ApplyPeer(d Delta) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if d.Whole {
		v.list(d.Items, d.Complete, FromPeer)
		return
	}
	v.merge(d.Items, d.Complete, FromPeer)
}

func (v *View) merge(items []ports.Item, complete int64, src Source) {
	moved := false
	for _, it := range items {
		moved = v.offer(it) || moved
	}
	v.finish(moved, complete, src)
}

// offer takes the item when it is newer than what the view holds.
func (v *View) offer(it ports.Item) bool {
	old, ok := v.items[it.Key]
	// What is not held although the view is whole up to it was removed since.
	if ok && old.Revision >= it.Revision || !ok && it.Revision <= v.whole {
		return false
	}
	v.items[it.Key] = it
	if it.Deleted && !old.Deleted {
		v.removed++
	}
	if !it.Deleted && old.Deleted {
		v.removed--
	}
	if v.kept > 0 {
		v.log = append(v.log, it)
		if len(v.log) > v.kept {
			v.floor = v.log[0].Revision
			v.log = v.log[1:]
		}
	}
	return true
}

func (v *View) finish(moved bool, complete int64, src Source) {
	if complete > v.complete {
		v.complete = complete
		v.source = src
	}
	for v.removed > removalsKept {
		v.forget()
	}
	if moved {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// removalsKept bounds the removals a view remembers.
const removalsKept = 2000

// forget drops the older half of the removals. Whoever is further behind than
// these is given the whole view.
func (v *View) forget() {
	var revs []int64
	for _, it := range v.items {
		if it.Deleted {
			revs = append(revs, it.Revision)
		}
	}
	slices.Sort(revs)
	upTo := revs[len(revs)/2]
	maps.DeleteFunc(v.items, func(_ string, it ports.Item) bool { return it.Deleted && it.Revision <= upTo })
	v.removed = len(revs) - len(revs)/2 - 1
	v.whole = max(v.whole, upTo)
}

// Since returns what a view that is complete up to rev lacks.
func (v *View) DeltaSince(rev int64) Delta {
	v.mu.Lock()
	defer v.mu.Unlock()
	d := Delta{Complete: v.complete, Whole: rev < v.whole}
	for _, it := range v.items {
		if d.Whole && !it.Deleted || !d.Whole && it.Revision > rev {
			d.Items = append(d.Items, it)
		}
	}
	slices.SortFunc(d.Items, func(a, b ports.Item) int { return int(a.Revision - b.Revision) })
	return d
}

// Get returns the live item of a key.
func (v *View) Get(key string) (ports.Item, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	it, ok := v.items[key]
	return it, ok && !it.Deleted
}

// List returns the live items below prefix, sorted by key.
func (v *View) List(prefix string) []ports.Item {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []ports.Item
	for _, key := range slices.Sorted(maps.Keys(v.items)) {
		it := v.items[key]
		if strings.HasPrefix(key, prefix) && !it.Deleted {
			out = append(out, it)
		}
	}
	return out
}

// Complete is the revision up to which nothing is missing, and who told so.
func (v *View) Complete() (int64, Source) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.complete, v.source
}

// Changed returns a channel that closes at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}
