package gateway

import (
	"maps"
	"sync"
	"time"
)

// Bounds of taking silence at peers for silence everywhere.
const (
	silenceWithin = 2 * time.Second
	silencePeers  = 2 // one alone may have been frozen or started again
)

// silence collects the peers whose kept connections fell silent while new ones
// work, to tell a peer's own trouble from that of all connections.
type silence struct {
	mu    sync.Mutex
	peers map[string]time.Time
}

// general notes a peer, and tells whether as many were silent within a short
// time that all connections have to be taken for silent. others is how many
// peers there are.
func (s *silence) general(peer string, others int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = map[string]time.Time{}
	}
	s.peers[peer] = now
	maps.DeleteFunc(s.peers, func(_ string, at time.Time) bool { return now.Sub(at) > silenceWithin })
	if len(s.peers) < min(silencePeers, others) {
		return false
	}
	clear(s.peers)
	return true
}
