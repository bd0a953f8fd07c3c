package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/origin"
)

// Streams that are bound to a version go on at its servers alone, while new requests may begin
// anywhere. Where such a stream found no place, new requests leave it room for a while.
const (
	shortagePeriod  = 2 * time.Second // from the last stream that found no place
	shortageReserve = 2               // new requests leave one in so many places of a server free
	maxShortages    = 8               // versions, in this node's record
)

// versionShortages holds the versions whose servers lack places for streams that are bound to
// them, as seen by this node and by others.
type versionShortages struct {
	mu       sync.Mutex
	until    map[origin.Origin]time.Time
	reported []origin.Origin
}

// record records that a stream found no place at its version.
func (v *versionShortages) record(at origin.Origin) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.until == nil {
		v.until = map[origin.Origin]time.Time{}
	}
	v.until[at] = clock.Now().Add(shortagePeriod)
}

// own returns the shortages that this node has seen, at most maxShortages.
func (v *versionShortages) own() []origin.Origin {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []origin.Origin
	for at, until := range v.until {
		switch {
		case clock.Now().After(until):
			delete(v.until, at)
		case len(out) < maxShortages:
			out = append(out, at)
		}
	}
	return out
}

// setReported replaces the shortages that other nodes report.
func (v *versionShortages) setReported(list []origin.Origin) {
	v.mu.Lock()
	v.reported = list
	v.mu.Unlock()
}

// lacksPlaces reports whether new requests are to leave room at the servers of a version.
func (v *versionShortages) lacksPlaces(at origin.Origin) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return clock.Now().Before(v.until[at]) || slices.Contains(v.reported, at)
}

// leaveRoom returns the candidates for a request that is not bound to a version: without servers
// at which it would take places that bound streams lack, unless no others are left.
func (n *Node) leaveRoom(req *clientRequest, list []candidate) []candidate {
	if req.isBound() {
		return list
	}
	return preferred(list, func(c candidate) bool {
		hasRoom := c.slots == 0 || c.requests < max(c.slots/shortageReserve, 1)
		return hasRoom || !n.shortages.lacksPlaces(origin.Origin{Service: req.service, Version: c.version})
	})
}

// recordShortage records that a stream which is bound to a version found no place there.
func (f *forwarder) recordShortage() {
	if f.req.isBound() {
		f.node.shortages.record(f.req.origin)
	}
}

// reportShortages returns the versions that lack places for this node's record.
func (n *Node) reportShortages() []*cluster.Shortage {
	var out []*cluster.Shortage
	for _, at := range n.shortages.own() {
		out = append(out, &cluster.Shortage{Service: at.Service, Version: at.Version})
	}
	return out
}

// applyShortages takes over what the other nodes, or a hub, report.
func (n *Node) applyShortages() {
	var reported []*cluster.Shortage
	if summary, _, _, ok := n.members.Summary(); ok && !n.peers.IsHub() {
		reported = summary.Shortages
	}
	for _, r := range n.members.Others(cluster.AliveTimeout) {
		reported = append(reported, r.Shortages...)
	}
	out := make([]origin.Origin, 0, len(reported))
	for _, s := range reported {
		out = append(out, origin.Origin{Service: s.Service, Version: s.Version})
	}
	n.shortages.setReported(out)
}
