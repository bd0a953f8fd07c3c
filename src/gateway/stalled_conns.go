package gateway

import (
	"maps"
	"sync"
	"time"
)

const (
	stalledWindow   = 2 * time.Second // stalls of different peers within this time have a common cause
	minStalledPeers = 2               // a single peer may just have been suspended or restarted
)

// stalledConnDetector records peers whose pooled connections have stalled while
// new ones work, to tell a fault of one peer from a stall of all connections.
type stalledConnDetector struct {
	mu    sync.Mutex
	peers map[string]time.Time // last stall
}

// record notes a stall of the connections to a peer. It reports whether enough
// peers stalled within stalledWindow to assume that all connections have. others
// is the number of peers.
func (d *stalledConnDetector) record(peer string, others int, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers == nil {
		d.peers = map[string]time.Time{}
	}
	d.peers[peer] = now
	maps.DeleteFunc(d.peers, func(_ string, at time.Time) bool { return now.Sub(at) > stalledWindow })
	if len(d.peers) < min(minStalledPeers, others) {
		return false
	}
	clear(d.peers)
	return true
}
