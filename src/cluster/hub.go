package cluster

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the exchange by way of hubs. In a small system every node
// exchanges records with every other. In a large one a node tells its record
// to the hub of its failure domain and is told sums; the hubs exchange the
// records that they were told. Any node is a hub as soon as others ask it.
const (
	flatMost     = 16                     // nodes of a small system
	nodeInterval = 500 * time.Millisecond // between the rounds of a node that is no hub
	soonest      = 60 * time.Millisecond  // between two rounds of which one comes early
	askedFor     = 3 * time.Second        // after it was asked for a summary a node acts as a hub
	avoidFor     = 3 * time.Second        // after a call that failed a node is not chosen as a hub
)

// Entry is where a node is found, as the node stored it.
type Entry struct {
	Node          string
	FailureDomain string
	Peers         string // address for other nodes
}

// target is whom to ask in a round, and for what.
type target struct {
	node    string // empty where only the address is known
	address string
	scope   Scope
}

// hubOf is the node of a failure domain that serves as its hub: the first by
// hash of those that are not avoided, or the first of all.
func hubOf(entries []Entry, domain string, avoided func(node string) bool) (Entry, bool) {
	var in []Entry
	for _, e := range entries {
		if e.FailureDomain == domain {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		return Entry{}, false
	}
	slices.SortFunc(in, func(a, b Entry) int {
		hashA, hashB := xxhash.Sum64String(a.Node), xxhash.Sum64String(b.Node)
		switch {
		case hashA < hashB:
			return -1
		case hashA > hashB:
			return 1
		}
		return 0
	})
	for _, e := range in {
		if !avoided(e.Node) {
			return e, true
		}
	}
	return in[0], true
}

// hubTargets are the targets of the node self in a large system. A node that
// needs all records, because it is a hub or holds the duties, asks the hubs of
// all failure domains for theirs.
func hubTargets(self string, domain string, entries []Entry, avoided func(node string) bool, needsAll bool) []target {
	var out []target
	own, _ := hubOf(entries, domain, avoided)
	if own.Node != self && own.Node != "" {
		out = append(out, target{own.Node, own.Peers, Scope_SUMMARY})
	}
	if !needsAll && own.Node != self {
		return out
	}
	for _, other := range domainsOf(entries) {
		hub, ok := hubOf(entries, other, avoided)
		if ok && hub.Node != self {
			out = append(out, target{hub.Node, hub.Peers, Scope_DIRECT})
		}
	}
	return out
}

func domainsOf(entries []Entry) []string {
	var out []string
	for _, e := range entries {
		if !slices.Contains(out, e.FailureDomain) {
			out = append(out, e.FailureDomain)
		}
	}
	slices.Sort(out)
	return out
}
