package gateway

import (
	"context"
	"errors"
	"maps"
	"net"
	"os"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/conn"
)

// Timing of the probes of servers that this node cannot connect to.
const (
	reachInterval    = 100 * time.Millisecond // between two looks for servers to probe
	minProbeInterval = 250 * time.Millisecond // for one server, doubled with each failure up to maxProbeInterval
	maxProbeInterval = 500 * time.Millisecond
	maxProbes        = 32 // started at a time
)

// unreachableRetryAfter is when a client may return if no node reaches a server: by then all
// servers have been probed once more.
const unreachableRetryAfter = maxProbeInterval + probeTimeout

// errServerUnreachable is the error of a connection that was not attempted, as an earlier
// attempt has failed.
var errServerUnreachable = errors.New("server is unreachable from this node")

// reachState is whether this node can connect to a server.
type reachState struct {
	unreachable      bool
	unreachableSince time.Time
	heardAt          time.Time     // when something came from it last, over any connection
	noConnectionAt   time.Time     // when a request found no open connection to it last
	reachableAgainAt time.Time     // when this node could connect to it again last; zero if it always could
	probeAt          time.Time     // if unreachable, when it is probed next
	probeInterval    time.Duration // between two probes
	probeRunning     bool
}

// dialServer returns a dial function for connections to a server. Servers that cannot be
// connected to are probed in the background, not by the requests of clients.
func (p *upstreamPool) dialServer(s *upstream) conn.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if p.isUnreachable(s) {
			return nil, errServerUnreachable
		}
		started := clock.Now()
		c, err := p.dial(ctx, network, address)
		if err != nil {
			if provesUnreachable(err, clock.Since(started)) {
				p.markUnreachable(s)
			}
			return nil, err
		}
		if p.isResting(s) {
			// Connecting has taken long enough for the server to ask for rest in the meantime.
			_ = c.Close()
			return nil, errServerResting
		}
		return c, nil
	}
}

// provesUnreachable reports whether an attempt to connect has failed because of the server
// or the network, and not for want of time or of something that this node lacks.
func provesUnreachable(err error, took time.Duration) bool {
	var timeout net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		return took >= dialTimeout
	}
	for _, code := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ETIMEDOUT} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}

// markUnreachable records that this node cannot connect to a server. It gets no requests over
// new connections until a probe succeeds.
func (p *upstreamPool) markUnreachable(s *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.unreachable {
		return
	}
	now := p.now()
	s.unreachable, s.unreachableSince, s.abandoned = true, now, false
	s.probeInterval = minProbeInterval
	s.probeAt = now.Add(s.probeInterval)
	klog.InfoS("server_reachable", "server", s.id, "started_ms", s.startedMS, "reachable", false)
	p.logReach(s.entry.Service)
}

func (p *upstreamPool) isUnreachable(s *upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.unreachable
}

// heard records that a server has sent something.
func (p *upstreamPool) heard(s *upstream) {
	p.mu.Lock()
	s.heardAt = p.now()
	p.mu.Unlock()
}

// recordNoConnection records that a request found no open connection to an unreachable server.
// There may be others, with requests in progress.
func (p *upstreamPool) recordNoConnection(s *upstream) {
	p.mu.Lock()
	s.noConnectionAt = p.now()
	p.mu.Unlock()
}

// usable reports whether requests can get to the server: over new connections, or over open
// ones that have worked since no new one could be made and since none was free. The caller
// holds the pool's lock.
func (s *upstream) usable() bool {
	return !s.unreachable || s.heardAt.After(s.unreachableSince) && s.heardAt.After(s.noConnectionAt)
}

// reach tells how many of a service's servers this node reaches.
type reach struct {
	reached, listed int
}

// none reports whether there are servers and this node reaches none.
func (r reach) none() bool { return r.listed > 0 && r.reached == 0 }

// share returns the part of the servers that this node reaches, 1 if there are none.
func (r reach) share() float64 {
	if r.listed == 0 {
		return 1
	}
	return float64(r.reached) / float64(r.listed)
}

// reach returns how many of the servers of a service that are not draining this node reaches.
func (p *upstreamPool) reach(service string) reach { return p.reachOf(service, anyVersion) }

// reachOf is reach for servers of one version.
func (p *upstreamPool) reachOf(service, version string) reach {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reachLocked(service, version)
}

func (p *upstreamPool) reachLocked(service, version string) (out reach) {
	for _, s := range p.byService[service] {
		if s.draining || version != anyVersion && s.version != version {
			continue
		}
		out.listed++
		if s.usable() && p.mayServe(s, version) {
			out.reached++
		}
	}
	return out
}

// poorReaches returns the services of which this node reaches less than poorReach of the servers.
func (p *upstreamPool) poorReaches() map[string]reach {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]reach{}
	for service := range p.byService {
		if r := p.reachLocked(service, anyVersion); r.share() < poorReach {
			out[service] = r
		}
	}
	return out
}

// logReach logs the reach of a service. The caller holds the lock.
func (p *upstreamPool) logReach(service string) {
	r := p.reachLocked(service, anyVersion)
	klog.InfoS("service_reach", "service", service, "reached", r.reached, "listed", r.listed)
}

// unreachableCount returns the number of listed servers that this node cannot connect to.
func (p *upstreamPool) unreachableCount() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byID {
		if s.unreachable && !s.draining {
			count++
		}
	}
	return count
}

// reachStep probes the servers that this node cannot connect to, and looks for those that have
// gone silent.
func (n *Node) reachStep() {
	n.silenceStep()
	if poor := n.upstreams.poorReaches(); !maps.Equal(poor, n.reportedReach) {
		n.reportedReach = poor
		n.peers.TriggerUrgentExchange()
	}
	for _, s := range n.upstreams.dueProbes() {
		go func() { n.upstreams.recordProbe(s, n.prober.probe(s.address)) }()
	}
}

// dueProbes returns the servers to probe now. recordProbe must follow for each.
func (p *upstreamPool) dueProbes() []*upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var out []*upstream
	for _, s := range p.byID {
		if s.unreachable && !s.draining && !s.probeRunning && !now.Before(s.probeAt) && len(out) < maxProbes {
			s.probeRunning = true
			out = append(out, s)
		}
	}
	return out
}

// recordProbe records the result of a probe. Once one server accepts a connection again, all
// others are probed at once, as the same partition may have hidden them.
func (p *upstreamPool) recordProbe(s *upstream, result probeResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s.probeRunning = false
	if !s.unreachable {
		return
	}
	if result != probeAccepted {
		s.probeInterval = min(2*s.probeInterval, maxProbeInterval)
		s.probeAt = now.Add(s.probeInterval)
		return
	}
	s.unreachable, s.consecutiveFailures, s.ejection, s.ejectedUntil = false, 0, 0, time.Time{}
	s.reachableAgainAt = now
	for _, other := range p.byID {
		if other.unreachable {
			other.probeAt = now
		}
	}
	klog.InfoS("server_reachable", "server", s.id, "started_ms", s.startedMS, "reachable", true, "after_ms", now.Sub(s.unreachableSince).Milliseconds())
	p.logReach(s.entry.Service)
}
