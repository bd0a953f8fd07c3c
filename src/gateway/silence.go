package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
)

// Detection of partitions that drop packets without a reset.
const (
	silenceLimit     = 500 * time.Millisecond // without anything from any server of a service, after which some are probed
	silenceProbes    = 3                      // servers probed first
	silenceInterval  = time.Second            // between two probes of a server that accepts connections
	abandonDelay     = time.Second            // without any reachable server, until sends that may be repeated are given up
	responseStall    = 700 * time.Millisecond // without a response header on a reused connection, after which it may have stalled
	resetWindow      = time.Second            // in which resets of several servers have a common cause
	resetServers     = 3                      // servers, of which that many resets are several
	idleCloseSpacing = 5 * time.Second        // between two such closes for one server
)

// silenceState is what shows that open connections to a server have gone silent.
type silenceState struct {
	waitingSince    time.Time          // when the requests in progress began after there were none
	silenceProbedAt time.Time          // when it was probed last for being silent
	answeredSentAt  time.Time          // latest time of sending of a request that got a response
	resetAt         time.Time          // when an open connection to it was reset last
	idleClosedAt    time.Time          // when its idle connections were closed last after one had stalled
	abandonCtx      context.Context    // canceled when sends that may be repeated are given up
	abandon         context.CancelFunc // cancels abandonCtx
	abandoned       bool               // since the server became unreachable
}

// silenceStep looks for services whose servers have all gone silent, and gives up what may be
// repeated where this node reaches none of them but another node does.
func (n *Node) silenceStep() {
	for service, silent := range n.upstreams.silentServers() {
		go n.probeSilent(service, silent)
	}
	for _, service := range n.upstreams.lostServices() {
		if best, ok := bestPeer(n.peersFor(service, nil)); ok && best.share > 0 {
			count := n.upstreams.abandonSends(service)
			klog.InfoS("sends_abandoned", "service", service, "servers", count)
		}
	}
}

// probeSilent probes the servers of a service, those that have been silent longest first, and
// the others only if none of these accepts a connection. Where new connections work, the open
// ones may have stalled, and the idle ones are closed.
func (n *Node) probeSilent(service string, list []*upstream) {
	defer n.upstreams.endSilenceCheck(service)
	first := list[:min(len(list), silenceProbes)]
	if n.probeAll(first) == 0 {
		n.probeAll(list[len(first):])
		return
	}
	n.upstreams.closeIdleOf(service)
}

// probeAll probes servers and returns how many accept connections. Those that do not are
// marked as unreachable.
func (n *Node) probeAll(list []*upstream) (accepted int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, s := range list {
		group.Go(func() {
			if n.prober.probe(s.address) != probeAccepted {
				n.upstreams.markUnreachable(s)
				return
			}
			mu.Lock()
			accepted++
			mu.Unlock()
		})
	}
	group.Wait()
	return accepted
}

// silentFor returns how long requests have been waiting for a server that sends nothing. The
// caller holds the pool's lock.
func (s *upstream) silentFor(now time.Time) time.Duration {
	if s.requests == 0 {
		return 0
	}
	since := s.waitingSince
	if s.heardAt.After(since) {
		since = s.heardAt
	}
	return now.Sub(since)
}

// silentServers returns, by service, the servers to probe where none has sent anything for
// silenceLimit although requests wait. endSilenceCheck must follow for each service.
func (p *upstreamPool) silentServers() map[string][]*upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	out := map[string][]*upstream{}
	for service, servers := range p.byService {
		if p.silenceChecks[service] || !serviceSilent(servers, now) {
			continue
		}
		var list []*upstream
		for _, s := range servers {
			if !s.draining && !s.unreachable && now.Sub(s.silenceProbedAt) >= silenceInterval {
				s.silenceProbedAt = now
				list = append(list, s)
			}
		}
		if len(list) == 0 {
			continue
		}
		slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(b.silentFor(now), a.silentFor(now)) })
		p.silenceChecks[service] = true
		out[service] = list
	}
	return out
}

// serviceSilent reports whether requests wait for servers, and no server has sent anything.
func serviceSilent(servers []*upstream, now time.Time) bool {
	waiting := false
	for _, s := range servers {
		if now.Sub(s.heardAt) < silenceLimit {
			return false
		}
		waiting = waiting || s.silentFor(now) >= silenceLimit
	}
	return waiting
}

func (p *upstreamPool) endSilenceCheck(service string) {
	p.mu.Lock()
	delete(p.silenceChecks, service)
	p.mu.Unlock()
}

// lostServices returns the services of which no server could be reached for abandonDelay, and
// whose sends in progress have all got nothing over open connections for as long.
func (p *upstreamPool) lostServices() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var out []string
	for service, servers := range p.byService {
		lost := func(s *upstream) bool {
			silent := s.requests == 0 || s.silentFor(now) >= abandonDelay
			return s.draining || silent && s.unreachable && now.Sub(s.unreachableSince) >= abandonDelay
		}
		pending := func(s *upstream) bool { return !s.draining && !s.abandoned && s.requests > 0 }
		if !slices.ContainsFunc(servers, func(s *upstream) bool { return !lost(s) }) && slices.ContainsFunc(servers, pending) {
			out = append(out, service)
		}
	}
	return out
}

// abandonSends gives up the sends of a service that may be repeated, and returns the number of
// servers.
func (p *upstreamPool) abandonSends(service string) (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byService[service] {
		if s.draining || s.abandoned {
			continue
		}
		s.abandoned = true
		s.abandon()
		s.renewAbandon()
		count++
	}
	return count
}

// watchResponse closes idle connections if a request sent on a reused connection gets no
// response for responseStall although a later request to the server got one: other open
// connections may have stalled too. stop ends the watch.
func (n *Node) watchResponse(s *upstream, sentAt time.Time) (stop func()) {
	timer := time.AfterFunc(responseStall, func() {
		if !n.upstreams.overtaken(s, sentAt) {
			return
		}
		widespread := n.stalledServers.record(s.id, n.upstreams.listedCount()-1, clock.Now())
		klog.InfoS("server_connection_silent", "server", s.id, "general", widespread)
		if widespread {
			n.upstreams.closeIdleConnections()
		}
	})
	return func() { timer.Stop() }
}

// closeIdleOf closes the idle connections to the servers of a service, unless those of a
// server have been closed within idleCloseSpacing.
func (p *upstreamPool) closeIdleOf(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, s := range p.byService[service] {
		if now.Sub(s.idleClosedAt) >= idleCloseSpacing {
			s.idleClosedAt = now
			s.transport.CloseIdleConnections()
		}
	}
}

// recordReset records that an open connection to a server was reset. Its idle ones are closed,
// as they may have been reset too, and those of the whole service once resetServers of its
// servers have reset connections within resetWindow: then the network does.
func (p *upstreamPool) recordReset(s *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s.resetAt = now
	s.transport.CloseIdleConnections()
	servers := p.byService[s.service]
	recent := 0
	for _, other := range servers {
		if now.Sub(other.resetAt) < resetWindow {
			recent++
		}
	}
	if recent != min(resetServers, len(servers)) {
		return
	}
	for _, other := range servers {
		other.transport.CloseIdleConnections()
	}
}

// overtaken reports whether the server has responded to a request sent after sentAt, and takes
// note that its idle connections are closed, which it does not report again for
// idleCloseSpacing.
func (p *upstreamPool) overtaken(s *upstream, sentAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if !s.answeredSentAt.After(sentAt) || now.Sub(s.idleClosedAt) < idleCloseSpacing {
		return false
	}
	s.idleClosedAt = now
	s.transport.CloseIdleConnections()
	return true
}

// listedCount returns the number of listed servers.
func (p *upstreamPool) listedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byID)
}
