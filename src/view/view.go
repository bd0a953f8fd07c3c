// Package view is a node's copy of what the key-value service holds for the
// system: resources, node records, the upstream list and the shard map.
//
// A view only moves forward. Each key keeps the highest revision ever offered,
// removals included, so that no stale read, late watch or slow peer can bring
// an older version back.
package view

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/crankridge/crankridge/src/platform"
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
	items    map[string]platform.Item
	complete int64
	source   Source
	changed  chan struct{}

	// log keeps the last changes for those who follow them one by one; it is
	// whole from revision floor on.
	log   []platform.Item
	kept  int
	floor int64
}

// New returns an empty view.
func New() *View {
	return &View{items: map[string]platform.Item{}, changed: make(chan struct{})}
}

// NewLogged returns an empty view that also keeps its last changes, up to kept.
func NewLogged(kept int) *View {
	v := New()
	v.kept = kept
	return v
}

// Log returns the changes above revision rev, removals included, in order,
// and the complete revision. ok is false when the log does not reach back so far.
func (v *View) Log(rev int64) (items []platform.Item, complete int64, ok bool) {
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

// ApplyList merges a whole listing read at revision rev. A key that the
// listing lacks was removed by then, unless the view holds a later revision.
func (v *View) ApplyList(items []platform.Item, rev int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
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
			moved = v.offer(platform.Item{Key: key, Revision: rev, Deleted: true}) || moved
		}
	}
	// A listing skips what lay between; the log begins anew.
	v.log, v.floor = nil, rev
	v.finish(moved, rev, FromKV)
}

// ApplyBatch merges one message of an unbroken watch that began no later than
// the view's complete revision.
func (v *View) ApplyBatch(b platform.Batch) {
	v.merge(b.Items, b.Revision, FromKV)
}

// ApplyPeer merges what a peer sent: all its items above the view's complete
// revision at the time of asking, and the peer's own complete revision.
func (v *View) ApplyPeer(items []platform.Item, complete int64) {
	v.merge(items, complete, FromPeer)
}

func (v *View) merge(items []platform.Item, complete int64, src Source) {
	v.mu.Lock()
	defer v.mu.Unlock()
	moved := false
	for _, it := range items {
		moved = v.offer(it) || moved
	}
	v.finish(moved, complete, src)
}

// offer takes the item when it is newer than what the view holds.
func (v *View) offer(it platform.Item) bool {
	if old, ok := v.items[it.Key]; ok && old.Revision >= it.Revision {
		return false
	}
	v.items[it.Key] = it
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
	if moved {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// Since returns every item above revision rev, removals included, and the
// complete revision that holds after merging them.
func (v *View) Since(rev int64) ([]platform.Item, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []platform.Item
	for _, it := range v.items {
		if it.Revision > rev {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b platform.Item) int { return int(a.Revision - b.Revision) })
	return out, v.complete
}

// Get returns the live item of a key.
func (v *View) Get(key string) (platform.Item, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	it, ok := v.items[key]
	return it, ok && !it.Deleted
}

// List returns the live items below prefix, sorted by key.
func (v *View) List(prefix string) []platform.Item {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []platform.Item
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
