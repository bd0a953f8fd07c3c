package cluster

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A record holds a node's addresses, state and usage, the cost it has admitted for
// each customer, and its load on each server.
//
// In a small system, every node exchanges records with every other node. In a
// large one, a node sends its record to the hub of its failure domain and receives
// a summary of the other nodes; hubs exchange the records that they receive. A
// node acts as a hub while other nodes request summaries from it, and while it needs
// all records itself (Node.NeedsAllRecords).
const (
	maxFlatNodes     = 16                     // nodes of the largest system without hubs
	nodeInterval     = 500 * time.Millisecond // between the exchange rounds of a node that is not a hub
	minRoundInterval = 60 * time.Millisecond  // from the start of a round until a triggered one may start
	hubTTL           = 3 * time.Second        // a node acts as a hub for this long after a summary was requested
	avoidPeriod      = 3 * time.Second        // a node is not selected as a hub for this long after a failed call, or with outdated news

	// HubConfirmationMaxAge is how long ago the store may have confirmed a hub's copy of it,
	// directly or through other hubs, for the hub to serve nodes in place of the store.
	HubConfirmationMaxAge = 1500 * time.Millisecond
	confirmationMargin    = 500 * time.Millisecond // by which a node's own confirmation must be later to avoid the hub
)

// Entry is a node as registered in the store.
type Entry struct {
	Node          string
	FailureDomain string
	Peers         string // address for other nodes
}

// target is a peer to exchange with. scope tells which records it is asked for: all
// that this node lacks, those it received from their own nodes, or a summary.
type target struct {
	node    string // empty if only the address is known
	address string
	scope   Scope
}

// selectHub returns the hub of a failure domain, and false if the domain has no nodes.
// The hub is the first node in hash order that is not avoided, or the first of all
// if every node is avoided.
func selectHub(entries []Entry, domain string, avoided func(node string) bool) (Entry, bool) {
	var candidates []Entry
	for _, e := range entries {
		if e.FailureDomain == domain {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return Entry{}, false
	}
	slices.SortFunc(candidates, func(a, b Entry) int {
		hashA, hashB := xxhash.Sum64String(a.Node), xxhash.Sum64String(b.Node)
		switch {
		case hashA < hashB:
			return -1
		case hashA > hashB:
			return 1
		}
		return 0
	})
	for _, e := range candidates {
		if !avoided(e.Node) {
			return e, true
		}
	}
	return candidates[0], true
}

// hubTargets returns the targets of the node self in a large system: the hub of its
// domain and, if self acts as a hub or is selected as one, the hubs of all domains.
func hubTargets(self string, domain string, entries []Entry, avoided func(node string) bool, isHub bool) []target {
	var out []target
	own, _ := selectHub(entries, domain, avoided)
	if own.Node != self && own.Node != "" {
		out = append(out, target{own.Node, own.Peers, Scope_SUMMARY})
	}
	if !isHub && own.Node != self {
		return out
	}
	for _, other := range failureDomains(entries) {
		hub, ok := selectHub(entries, other, avoided)
		if ok && hub.Node != self {
			out = append(out, target{hub.Node, hub.Peers, Scope_DIRECT})
		}
	}
	return out
}

func failureDomains(entries []Entry) []string {
	var out []string
	for _, e := range entries {
		if !slices.Contains(out, e.FailureDomain) {
			out = append(out, e.FailureDomain)
		}
	}
	slices.Sort(out)
	return out
}
