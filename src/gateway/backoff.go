package gateway

import "time"

// Backoff from servers that reject requests, and their recovery.
const (
	minRejectionBackoff = 50 * time.Millisecond // doubled with each further rejection in a row
	maxRejectionBackoff = time.Second
	recoveryPeriod      = time.Second // after an acceptance, until which the load from other nodes is estimated
)

// recordRejection records that a server rejected a request. Until its backoff ends, other
// servers are preferred; then it gets one request at a time until it accepts one.
// Otherwise a full server would be chosen first, as it has the fewest requests.
func (p *upstreamPool) recordRejection(s *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s.recordBrittleRejection(now)
	s.probing = true
	if now.Before(s.backoffUntil) {
		return // the response to a request from before the backoff
	}
	backoff := min(minRejectionBackoff<<min(s.rejections, 8), maxRejectionBackoff)
	s.rejections++
	s.backoffUntil = now.Add(backoff)
}

// backingOff reports whether other servers are preferred to this one now. The caller
// holds the pool's lock.
func (s *upstream) backingOff(now time.Time) bool {
	return now.Before(s.backoffUntil) || s.probing && s.requests > 0
}

// recordAcceptance records that a server has accepted a request, which ends its backoff.
func (p *upstreamPool) recordAcceptance(s *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.rejections = 0
	if s.probing {
		s.probing, s.recoveringUntil = false, p.now().Add(recoveryPeriod)
	}
}

// totalRequests returns the requests that all nodes have at a server. Right after a backoff
// it assumes that each of the nodes sends as many as this one: they return at the same time,
// and their reports are not there yet. The caller holds the pool's lock.
func (p *upstreamPool) totalRequests(s *upstream, now time.Time) int {
	total := s.requests + s.remoteLoad.requests
	if now.Before(s.recoveringUntil) {
		total = max(total, s.requests*p.nodes)
	}
	return total
}

// setNodes sets the number of nodes, this one included.
func (p *upstreamPool) setNodes(count int) {
	p.mu.Lock()
	p.nodes = count
	p.mu.Unlock()
}
