package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crankridge/crankridge/src/cluster"
)

// Evidence of other connections and nodes on a server that refuses connections.
const (
	evidenceTimeout = 200 * time.Millisecond // for which other nodes may take to probe it
	evidenceServers = 2                      // other servers of the service that are connected to, one after the other
)

// crashVerdict is what a refused connection shows.
type crashVerdict int

const (
	verdictUnclear     crashVerdict = iota // no node reaches any server of the service
	verdictCrashed                         // nodes that reach the service are refused by the server
	verdictPartitioned                     // another node reaches the server
)

// peerProbes asks the other nodes to probe a server.
type peerProbes func(ctx context.Context, r *cluster.ProbeRequest) []*cluster.ProbeReply

// judge tells a server that has crashed from a partition that refuses connections in its
// place: the other nodes are asked, and a refusal counts only from a node that reaches the
// service otherwise.
func (d *crashDetector) judge(s *upstream) crashVerdict {
	reached := d.connectsToAny(d.pool.othersOf(s, evidenceServers))
	ctx, cancel := context.WithTimeout(context.Background(), evidenceTimeout)
	defer cancel()
	var replies []*cluster.ProbeReply
	if d.askPeers != nil {
		replies = d.askPeers(ctx, &cluster.ProbeRequest{Server: s.id, StartedMs: s.startedMS, ServiceReached: reached})
	}
	return verdict(reached, replies)
}

// verdict combines the replies of the other nodes with whether this node, which is refused by
// the server, reaches the service otherwise.
func verdict(reached bool, replies []*cluster.ProbeReply) crashVerdict {
	for _, r := range replies {
		if r.Result == cluster.ProbeResult_REACHED {
			return verdictPartitioned
		}
		reached = reached || r.Result == cluster.ProbeResult_REFUSED && r.ServiceReached
	}
	if reached {
		return verdictCrashed
	}
	return verdictUnclear
}

// connectsToAny reports whether one of the servers accepts a connection, or there are none, so
// that nothing speaks against the node's link.
func (d *crashDetector) connectsToAny(servers []*upstream) bool {
	if len(servers) == 0 {
		return true
	}
	for _, s := range servers {
		if d.prober.connect(s.address) == probeAccepted {
			return true
		}
	}
	return false
}

// probeForPeer probes a server that refuses connections at another node.
func (n *Node) probeForPeer(r *cluster.ProbeRequest) *cluster.ProbeReply {
	s := n.upstreams.running(r.Server, r.StartedMs)
	if s == nil {
		return &cluster.ProbeReply{}
	}
	switch n.prober.connect(s.address) {
	case probeAccepted:
		return &cluster.ProbeReply{Result: cluster.ProbeResult_REACHED}
	case probeRefused:
		reached := !r.ServiceReached && n.crashes.connectsToAny(n.upstreams.othersOf(s, evidenceServers))
		return &cluster.ProbeReply{Result: cluster.ProbeResult_REFUSED, ServiceReached: reached}
	}
	return &cluster.ProbeReply{}
}

// running returns the listed server with the given ID and start, or nil.
func (p *upstreamPool) running(id string, startedMS int64) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.byID[id]; s != nil && s.startedMS == startedMS {
		return s
	}
	return nil
}

// othersOf returns at most limit other servers of the service of s, first those that this node
// has not found unreachable.
func (p *upstreamPool) othersOf(s *upstream, limit int) []*upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out, unreachable []*upstream
	for _, other := range p.byService[s.service] {
		switch {
		case other == s || other.draining:
		case other.unreachable:
			unreachable = append(unreachable, other)
		default:
			out = append(out, other)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = slices.Concat(out, unreachable)
	return out[:min(len(out), limit)]
}
