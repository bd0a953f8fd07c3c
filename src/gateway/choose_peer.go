package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/conn"
)

// Limits of forwarding to other nodes.
const (
	maxForwards        = 3                      // nodes that a request is forwarded to, one after the other
	minUnconnected     = 2                      // servers that a request could not connect to, after which it is forwarded
	poorReach          = 0.5                    // share of a service's servers below which a node forwards requests
	peerDialTimeout    = 300 * time.Millisecond // to connect to another node
	peerAvoidPeriod    = time.Second            // after a failure, for which other nodes are chosen
	maxIdlePerPeer     = 32                     // connections
	peerIdleTimeout    = 10 * time.Second       // of a connection
	otherDomainPenalty = 2                      // requests that a node of another failure domain seems to have more
	unknownPenalty     = 4                      // the same, of a node of which there is no recent record
	servedMemory       = 5 * time.Second        // for which a node that has served a forwarded request is known to reach servers
)

// forwardPeers holds what this node knows of the nodes that it forwards requests to.
type forwardPeers struct {
	transport *conn.Transport

	mu           sync.Mutex
	inProgress   map[string]int       // forwarded requests, by node
	avoidedUntil map[string]time.Time // by node
	servedAt     map[string]time.Time // by node: when it has served a forwarded request last
}

func newForwardPeers() *forwardPeers {
	return &forwardPeers{
		inProgress: map[string]int{}, avoidedUntil: map[string]time.Time{}, servedAt: map[string]time.Time{},
		transport: conn.NewTransport(&http.Transport{
			DialContext: conn.Dialer(peerDialTimeout).DialContext, MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: peerIdleTimeout,
			DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		}),
	}
}

func (p *forwardPeers) begin(node string) {
	p.mu.Lock()
	p.inProgress[node]++
	p.mu.Unlock()
}

func (p *forwardPeers) end(node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress[node]--; p.inProgress[node] == 0 {
		delete(p.inProgress, node)
	}
}

func (p *forwardPeers) avoid(node string) {
	p.mu.Lock()
	p.avoidedUntil[node] = clock.Now().Add(peerAvoidPeriod)
	p.mu.Unlock()
}

// served records that a node has served a forwarded request.
func (p *forwardPeers) served(node string) {
	p.mu.Lock()
	p.servedAt[node] = clock.Now()
	p.mu.Unlock()
}

// unknownLoad is load for a node of which there is no recent record. It seems to have more
// requests, unless it has served a request lately.
func (p *forwardPeers) unknownLoad(node string) (requests int, avoided bool) {
	requests, avoided = p.load(node)
	p.mu.Lock()
	defer p.mu.Unlock()
	if clock.Since(p.servedAt[node]) > servedMemory {
		delete(p.servedAt, node)
		requests += unknownPenalty
	}
	return requests, avoided
}

// load returns the forwarded requests in progress at a node, and whether to avoid it.
func (p *forwardPeers) load(node string) (requests int, avoided bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inProgress[node], clock.Now().Before(p.avoidedUntil[node])
}

// peer is a node that a request may be forwarded to.
type peer struct {
	node, address string
	share         float64 // of the service's servers that it reaches
	requests      int     // in progress at servers, and forwarded by this node
}

// nextPeer returns the node to forward the request to, if this node reaches so few servers
// of the service that another one serves it better. A forwarded request stays where it is.
func (f *forwarder) nextPeer() (peer, bool) {
	if f.req.forwarded || f.req.trialVersion != "" || len(f.triedPeers) >= maxForwards {
		return peer{}, false
	}
	own := f.node.upstreams.reachOf(f.req.service, f.req.origin.Version)
	if own.share() >= poorReach && f.unconnected < minUnconnected {
		return peer{}, false
	}
	best, ok := bestPeer(f.node.peersFor(f.req.service, f.triedPeers))
	switch {
	case !ok || best.share <= own.share():
		return peer{}, false
	case own.none() || f.unconnected >= minUnconnected:
		return best, true
	}
	// The rest of the requests goes to the servers that this node does reach.
	return best, rand.Float64() > own.share()/best.share
}

// bestPeer returns the node that reaches most servers, and of several the one with the fewest
// requests.
func bestPeer(list []peer) (best peer, ok bool) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, p := range list {
		if !ok || p.share > best.share || p.share == best.share && p.requests < best.requests {
			best, ok = p, true
		}
	}
	return best, ok
}

// peersFor returns the nodes that a request for a service may be forwarded to. Where hubs
// relay the records of others, those of which this node has no recent record are among them.
func (n *Node) peersFor(service string, tried map[string]bool) []peer {
	var out []peer
	known := map[string]bool{n.initial.Node: true}
	for _, m := range n.members.All() {
		r := m.Record
		if known[r.Node] || n.members.Age(m) > cluster.AliveTimeout {
			continue
		}
		known[r.Node] = true
		load, avoided := n.forwardPeers.load(r.Node)
		if tried[r.Node] || avoided || r.Leaving || !r.Ready {
			continue
		}
		p := peer{node: r.Node, address: r.Peers, share: reportedReach(r, service).share(), requests: load}
		for _, l := range r.Loads {
			p.requests += int(l.Requests)
		}
		if r.FailureDomain != n.initial.FailureDomain {
			p.requests += otherDomainPenalty
		}
		out = append(out, p)
	}
	if !n.peers.UsesHubs() {
		return out
	}
	for _, e := range n.roster.Entries() {
		if load, avoided := n.forwardPeers.unknownLoad(e.Node); !known[e.Node] && !tried[e.Node] && !avoided {
			out = append(out, peer{node: e.Node, address: e.Peers, share: 1, requests: load})
		}
	}
	return out
}

// reportedReach returns what a node's record says of its reach of a service.
func reportedReach(r *cluster.Record, service string) reach {
	for _, in := range r.Reach {
		if in.Service == service {
			return reach{int(in.Reached), int(in.Listed)}
		}
	}
	return reach{}
}

// reportReach returns this node's reach of the services that it forwards requests for.
func (n *Node) reportReach() []*cluster.Reach {
	var out []*cluster.Reach
	for service, r := range n.upstreams.poorReaches() {
		out = append(out, &cluster.Reach{Service: service, Reached: int32(r.reached), Listed: int32(r.listed)})
	}
	return out
}
