// Package view keeps a node's local copy of keys in the key-value service, such as
// resources, node records, the upstream list and the shard map.
//
// A view never moves backward. It keeps the highest revision offered for each
// key, deletions included, so that stale reads, delayed watches and slow peers
// cannot restore an older version.
package view

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/ports"
)

// Prefix is the prefix of all keys of the system.
const Prefix = "crankridge/"

// Source is the origin of a change.
type Source string

const (
	FromKV   Source = "kv"
	FromPeer Source = "peer"
)

// View is a local copy of the items under a key prefix. It is safe for concurrent
// use.
type View struct {
	mu       sync.Mutex
	items    map[string]ports.Item
	complete int64 // revision up to which no change is missing
	// tombstoneFloor is the revision up to which tombstones may be missing: a
	// listing does not contain the keys deleted before it.
	tombstoneFloor int64
	tombstones     int // number of deleted items
	source         Source
	changed        chan struct{}
	// watchedRevision is the revision up to which the view's own watch has
	// delivered all changes; cancelWatch ends that watch.
	watchedRevision int64
	cancelWatch     context.CancelFunc
	confirmedAt     time.Time // when the store said last that the view lacks nothing; zero if never

	// log holds the latest changes, at most logCapacity. It contains every change
	// above revision logFloor.
	log         []ports.Item
	logCapacity int
	logFloor    int64

	unshared string // prefix of the keys that are not passed on to other views; empty if all are
}

// New returns an empty view.
func New() *View {
	return &View{items: map[string]ports.Item{}, changed: make(chan struct{})}
}

// NewWithLog returns an empty view that also keeps its latest logCapacity changes.
func NewWithLog(logCapacity int) *View {
	v := New()
	v.logCapacity = logCapacity
	return v
}

// SetUnshared sets the prefix of the keys that DeltaSince leaves out.
func (v *View) SetUnshared(prefix string) {
	v.mu.Lock()
	v.unshared = prefix
	v.mu.Unlock()
}

// ChangesSince returns the logged changes above revision rev, deletions included,
// in order, and the complete revision. Unlike DeltaSince, it returns every change of
// a key, not only the last, and needs a view made by NewWithLog. ok is false if the
// log has been truncated above rev.
func (v *View) ChangesSince(rev int64) (items []ports.Item, complete int64, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if rev < v.logFloor {
		return nil, v.complete, false
	}
	for _, it := range v.log {
		if it.Revision > rev {
			items = append(items, it)
		}
	}
	return items, v.complete, true
}

// Delta is a set of changes that one view passes to another.
type Delta struct {
	Items            []ports.Item
	CompleteRevision int64 // revision up to which the receiver lacks nothing after merging
	// Whole marks a snapshot: Items are all live items, and any other key has
	// been deleted. Otherwise Items are the changes, deletions included.
	IsSnapshot bool
}

// ApplyList merges a full listing read at revision rev. Keys missing from the
// listing are deleted unless the view holds a later revision of them. A listing
// older than the complete revision of the view is ignored.
func (v *View) ApplyList(items []ports.Item, rev int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyListing(items, rev, FromKV)
	v.confirm(rev, clock.Now())
}

func (v *View) applyListing(items []ports.Item, rev int64, src Source) {
	if rev < v.complete {
		return
	}
	listed := make(map[string]bool, len(items))
	updated := false
	for _, it := range items {
		listed[it.Key] = true
		updated = v.applyItem(it) || updated
	}
	for key, it := range v.items {
		if !listed[key] && !it.Deleted && it.Revision <= rev {
			updated = v.applyItem(ports.Item{Key: key, Revision: rev, Deleted: true}) || updated
		}
	}
	v.tombstoneFloor = max(v.tombstoneFloor, rev)
	// The changes between the previous revision and the listing are unknown.
	v.log, v.logFloor = nil, rev
	v.advance(updated, rev, src)
}

// ApplyBatch merges one message of an uninterrupted watch that started no later
// than the view's complete revision.
func (v *View) ApplyBatch(b ports.Batch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.merge(b.Items, b.Revision, FromKV)
	v.confirm(b.Revision, clock.Now())
}

// confirm records that the store had no change after rev at the given time.
func (v *View) confirm(rev int64, at time.Time) {
	if rev <= v.complete && at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// Confirm records that the store had no change after rev at the given local time, as a read or
// a peer has shown.
func (v *View) Confirm(rev int64, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirm(rev, at)
}

// ConfirmedAge returns how long ago the view lacked nothing that the store had, and false if
// that has never been known.
func (v *View) ConfirmedAge() (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return clock.Since(v.confirmedAt), !v.confirmedAt.IsZero()
}

// ApplyPeer merges a delta from a peer. The delta must have been made for the
// current complete revision of this view or an earlier one.
func (v *View) ApplyPeer(d Delta) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if d.IsSnapshot {
		v.applyListing(d.Items, d.CompleteRevision, FromPeer)
		return
	}
	v.merge(d.Items, d.CompleteRevision, FromPeer)
}

func (v *View) merge(items []ports.Item, complete int64, src Source) {
	updated := false
	for _, it := range items {
		updated = v.applyItem(it) || updated
	}
	v.advance(updated, complete, src)
}

// applyItem stores the item if it is newer than the one held, and reports whether
// it did.
func (v *View) applyItem(it ports.Item) bool {
	old, ok := v.items[it.Key]
	// An unknown key at or below tombstoneFloor has been deleted since.
	if ok && old.Revision >= it.Revision || !ok && it.Revision <= v.tombstoneFloor {
		return false
	}
	v.items[it.Key] = it
	if it.Deleted && !old.Deleted {
		v.tombstones++
	}
	if !it.Deleted && old.Deleted {
		v.tombstones--
	}
	if v.logCapacity > 0 {
		v.log = append(v.log, it)
		if len(v.log) > v.logCapacity {
			v.logFloor = v.log[0].Revision
			v.log = v.log[1:]
		}
	}
	return true
}

func (v *View) advance(updated bool, complete int64, src Source) {
	if complete > v.complete {
		v.complete = complete
		v.source = src
	}
	for v.tombstones > maxTombstones {
		v.compactTombstones()
	}
	if updated {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// maxTombstones bounds the number of tombstones kept.
const maxTombstones = 2000

// compactTombstones drops the older half of the tombstones. A peer that lags
// behind them is sent a snapshot. Many tombstones may have the same revision, that of a
// listing in which their keys were missing.
func (v *View) compactTombstones() {
	deleted := make([]ports.Item, 0, v.tombstones)
	for _, it := range v.items {
		if it.Deleted {
			deleted = append(deleted, it)
		}
	}
	slices.SortFunc(deleted, func(a, b ports.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	dropped := deleted[:len(deleted)/2]
	for _, it := range dropped {
		delete(v.items, it.Key)
		v.tombstoneFloor = max(v.tombstoneFloor, it.Revision)
	}
	v.tombstones = len(deleted) - len(dropped)
}

// DeltaSince returns what a view that is complete up to rev is missing: the last
// change of each key, or a snapshot if tombstones above rev may be missing.
func (v *View) DeltaSince(rev int64) Delta {
	v.mu.Lock()
	defer v.mu.Unlock()
	d := Delta{CompleteRevision: v.complete, IsSnapshot: rev < v.tombstoneFloor}
	for _, it := range v.items {
		if v.unshared != "" && strings.HasPrefix(it.Key, v.unshared) {
			continue
		}
		if d.IsSnapshot && !it.Deleted || !d.IsSnapshot && it.Revision > rev {
			d.Items = append(d.Items, it)
		}
	}
	slices.SortFunc(d.Items, func(a, b ports.Item) int { return int(a.Revision - b.Revision) })
	return d
}

// Get returns the item at key unless it is deleted.
func (v *View) Get(key string) (ports.Item, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	it, ok := v.items[key]
	return it, ok && !it.Deleted
}

// List returns the items whose keys start with prefix, sorted by key.
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

// Complete returns the revision up to which the view has every change, and the
// source that last advanced it.
func (v *View) Complete() (int64, Source) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.complete, v.source
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}
