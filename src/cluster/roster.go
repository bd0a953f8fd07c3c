package cluster

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// removalDelay is how long a node that is no longer stored is counted after it was
// last seen. It exceeds the time in which entries reappear after the store has lost
// all leases at once.
const removalDelay = 20 * time.Second

// Roster tracks the nodes among which limits are divided, including this one. A
// stored node counts no matter how long it has been silent, as it may be cut off and
// still use its share. It is removed only when its entry has left the store and it
// has not been heard from for removalDelay. Losing contact therefore never
// increases the shares of the remaining nodes.
type Roster struct {
	mu    sync.Mutex
	self  string
	nodes map[string]*rosterNode
	now   func() time.Time
}

// rosterNode is the membership state of a node.
type rosterNode struct {
	entry    Entry // Peers is empty if the node was never stored
	stored   bool
	lastSeen time.Time // when the node was last stored or heard from
}

// NewRoster returns a roster that contains only the node self.
func NewRoster(self string, now func() time.Time) *Roster {
	return &Roster{self: self, nodes: map[string]*rosterNode{}, now: now}
}

// SetStored replaces the set of stored entries.
func (r *Roster) SetStored(entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, n := range r.nodes {
		if n.stored {
			n.stored, n.lastSeen = false, now
		}
	}
	for _, e := range entries {
		r.nodes[e.Node] = &rosterNode{entry: e, stored: true, lastSeen: now}
	}
}

// Heard records that a node was heard from at the given time.
func (r *Roster) Heard(node string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nodes[node]
	if n == nil {
		n = &rosterNode{entry: Entry{Node: node}}
		r.nodes[node] = n
	}
	if at.After(n.lastSeen) {
		n.lastSeen = at
	}
}

// Entries returns the entries of the nodes with a known address, sorted by name.
func (r *Roster) Entries() []Entry {
	var out []Entry
	for _, n := range r.current() {
		if n.entry.Peers != "" {
			out = append(out, n.entry)
		}
	}
	return out
}

// Present returns the entries of the nodes that are stored now. If most entries have left the
// store at once, as when it has lost all leases, it returns those of all nodes with a known
// address.
func (r *Roster) Present() []Entry {
	var all, stored []Entry
	for _, n := range r.current() {
		if n.entry.Peers == "" {
			continue
		}
		all = append(all, n.entry)
		if n.stored {
			stored = append(stored, n.entry)
		}
	}
	if 2*len(stored) < len(all) {
		return all
	}
	return stored
}

// Others returns the names of the other nodes, sorted.
func (r *Roster) Others() []string {
	var out []string
	for _, n := range r.current() {
		if n.entry.Node != r.self {
			out = append(out, n.entry.Node)
		}
	}
	return out
}

// Count returns the number of nodes, including this one.
func (r *Roster) Count() int { return len(r.Others()) + 1 }

// current removes expired nodes and returns the remaining ones sorted by name.
func (r *Roster) current() []rosterNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	out := make([]rosterNode, 0, len(r.nodes))
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		n := r.nodes[name]
		if !n.stored && now.Sub(n.lastSeen) > removalDelay {
			delete(r.nodes, name)
			continue
		}
		out = append(out, *n)
	}
	return out
}
