package cluster

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// goneFor is how long a node that is not stored any more is still counted
// after its last sign of life: a store that lost all leases at once has them
// back sooner.
const goneFor = 20 * time.Second

// Roster is the nodes among which limits are divided, this one included. A
// node that is stored counts however long it is silent: it may be cut off and
// use its share. It goes on news alone, when its entry has left the store and
// nothing was heard of it since for goneFor. Without news the shares of the
// others do not grow.
type Roster struct {
	mu    sync.Mutex
	self  string
	nodes map[string]*place
	now   func() time.Time
}

// place is what is known of one node's membership.
type place struct {
	entry  Entry // Peers is empty where the node was never stored
	stored bool
	sign   time.Time // when it was last stored or heard
}

// NewRoster returns the roster of the node self, no other known yet.
func NewRoster(self string, now func() time.Time) *Roster {
	return &Roster{self: self, nodes: map[string]*place{}, now: now}
}

// Stored takes in the entries that stand in the store.
func (r *Roster) SetStored(entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, p := range r.nodes {
		if p.stored {
			p.stored, p.sign = false, now
		}
	}
	for _, e := range entries {
		r.nodes[e.Node] = &place{entry: e, stored: true, sign: now}
	}
}

// Heard notes that a node was heard at a moment.
func (r *Roster) Heard(node string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.nodes[node]
	if p == nil {
		p = &place{entry: Entry{Node: node}}
		r.nodes[node] = p
	}
	if at.After(p.sign) {
		p.sign = at
	}
}

// Entries lists the nodes whose addresses the store told, sorted by name.
func (r *Roster) Entries() []Entry {
	var out []Entry
	for _, p := range r.present() {
		if p.entry.Peers != "" {
			out = append(out, p.entry)
		}
	}
	return out
}

// Others names the other nodes, sorted.
func (r *Roster) Others() []string {
	var out []string
	for _, p := range r.present() {
		if p.entry.Node != r.self {
			out = append(out, p.entry.Node)
		}
	}
	return out
}

// Count is the number of nodes, this one included.
func (r *Roster) Count() int { return len(r.Others()) + 1 }

// present drops the nodes that are gone and returns the others by name.
func (r *Roster) present() []*place {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	out := make([]*place, 0, len(r.nodes))
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		p := r.nodes[name]
		if !p.stored && now.Sub(p.sign) > goneFor {
			delete(r.nodes, name)
			continue
		}
		out = append(out, p)
	}
	return out
}
