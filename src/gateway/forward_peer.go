package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
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
)

// Headers between the node that forwards a request and the one that it is forwarded to.
const (
	headerConfigVersion = "Crankridge-Config-Version" // in force at the first node
	headerRuns          = "Crankridge-Runs"           // of the request so far
	headerCounted       = "Crankridge-Counted"        // whether a node has counted it among those that it sends to servers
	headerRefused       = "Crankridge-Refused"        // in responses: the code of the second node's own refusal
)

// forwardPrefix is put before the path of a forwarded request.
const forwardPrefix = "/forward"

// errPeerRefused is the error of a node that does not serve a forwarded request.
var errPeerRefused = errors.New("node refused the request")

// forwardPeers holds what this node knows of the nodes that it forwards requests to.
type forwardPeers struct {
	transport *http.Transport

	mu           sync.Mutex
	inProgress   map[string]int       // forwarded requests, by node
	avoidedUntil map[string]time.Time // by node
}

func newForwardPeers() *forwardPeers {
	return &forwardPeers{
		inProgress: map[string]int{}, avoidedUntil: map[string]time.Time{},
		transport: &http.Transport{
			DialContext: conn.Dialer(peerDialTimeout).DialContext, MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: peerIdleTimeout,
			DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		},
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
	own := f.node.upstreams.reach(f.req.service)
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
// relay the records of others, those that this node knows only from the store are among them.
func (n *Node) peersFor(service string, tried map[string]bool) []peer {
	var out []peer
	known := map[string]bool{n.initial.Node: true}
	for _, m := range n.members.All() {
		r := m.Record
		if known[r.Node] {
			continue
		}
		known[r.Node] = true
		load, avoided := n.forwardPeers.load(r.Node)
		if tried[r.Node] || avoided || r.Leaving || !r.Ready || n.members.Age(m) > cluster.AliveTimeout {
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
		if load, avoided := n.forwardPeers.load(e.Node); !known[e.Node] && !tried[e.Node] && !avoided {
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

// forwardToPeer forwards the request to another node. ended reports whether the client's request
// has ended, with a response or with the refusal that is returned.
func (f *forwarder) forwardToPeer(ctx context.Context, to peer) (ended bool, refused *refusal) {
	if f.reached > 0 && !f.spendRetryBudget() {
		return true, f.finishFull(ctx)
	}
	done, refused := f.tryPeer(ctx, to)
	switch {
	case done || refused != nil:
		return true, refused
	case ctx.Err() != nil:
		return true, f.finish(ctx, codeTimeout, 0)
	case !f.mayResend():
		return true, f.finishFull(ctx)
	}
	return false, nil
}

// tryPeer forwards the request to another node and relays the response. done reports whether
// the client has received a complete one. A refusal is final; without either, the node did not
// serve the request, or its response ended early.
func (f *forwarder) tryPeer(ctx context.Context, to peer) (done bool, refused *refusal) {
	n := f.node
	f.triedPeers[to.node] = true
	n.forwardPeers.begin(to.node)
	defer n.forwardPeers.end(to.node)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, result, err := n.sendToPeer(ctx, f, to)
	n.metrics.Forwarded(f.req.service, result.String())
	switch result {
	case outcomeNotSent:
		n.forwardPeers.avoid(to.node)
	case outcomeRefused:
		refused = f.peerRefusal(to, resp)
		err = errPeerRefused
	case outcomeUnknown:
		f.recordPeerRun()
		if ctx.Err() == nil {
			n.forwardPeers.avoid(to.node)
		}
	case outcomeAnswered:
		f.recordPeerRun()
		err = f.relayFromPeer(resp)
		_ = resp.Body.Close()
	}
	if err == nil {
		f.log("forwarded", to.node, nil)
		n.metrics.Answered(f.req.route.Name, strconv.Itoa(f.response.status), clock.Since(f.req.arrived))
		return true, nil
	}
	f.log("forward_failed", to.node, err)
	return false, refused
}

// recordPeerRun records that another node has sent the request to a server, or may have.
func (f *forwarder) recordPeerRun() {
	f.reached++
	f.runs++
	f.counted = true
}

// sendToPeer forwards the request to another node and reads the response header. The caller
// must close the body if the request was answered.
func (n *Node) sendToPeer(ctx context.Context, f *forwarder, to peer) (*http.Response, outcome, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	resp, err := n.forwardPeers.transport.RoundTrip(n.peerRequest(ctx, f, to))
	switch {
	case err != nil && !connected.Load():
		return nil, outcomeNotSent, err
	case err != nil:
		return nil, outcomeUnknown, err
	case resp.Header.Get(n.headers.RequestID) != f.req.id:
		_ = resp.Body.Close()
		return nil, outcomeUnknown, errResponseMismatch
	case resp.Header.Get(headerRefused) != "":
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
		_ = resp.Body.Close()
		return resp, outcomeRefused, nil
	}
	return resp, outcomeAnswered, nil
}

// peerRequest builds the request to another node. It keeps the client's key, which that node
// checks again.
func (n *Node) peerRequest(ctx context.Context, f *forwarder, to peer) *http.Request {
	in := f.req.request.URL
	target := &url.URL{Scheme: "http", Host: to.address, Path: forwardPrefix + in.Path, RawQuery: in.RawQuery, ForceQuery: in.ForceQuery}
	if in.RawPath != "" {
		target.RawPath = forwardPrefix + in.RawPath
	}
	out := n.outgoingRequest(ctx, f.req, target, f.response.lastEventID)
	out.Header.Set(headerConfigVersion, strconv.FormatInt(n.version(), 10))
	out.Header.Set(headerRuns, strconv.Itoa(f.runs))
	out.Header.Set(headerCounted, strconv.FormatBool(f.counted))
	return out
}

// relayFromPeer relays the response of another node.
func (f *forwarder) relayFromPeer(resp *http.Response) error {
	n, req := f.node, f.req
	if !isEventStream(resp) {
		if f.response.headerSent {
			return errResponseMismatch // a resumed stream must continue as a stream
		}
		return f.response.relayWhole(resp, n.stopping())
	}
	var lastEventAt time.Time
	return f.response.relayStream(resp, n.stopping(), func() {
		now := clock.Now()
		if lastEventAt.IsZero() {
			n.metrics.FirstEvent(req.route.Name, now.Sub(req.arrived))
		} else {
			n.metrics.EventInterval(now.Sub(lastEventAt))
		}
		lastEventAt = now
	})
}

// peerRefusal returns the refusal to relay, or nil if another node may serve the request. What
// another node refuses holds for the whole request only if no server has run it before.
func (f *forwarder) peerRefusal(to peer, resp *http.Response) *refusal {
	code := resp.Header.Get(headerRefused)
	switch code {
	case codeStopping, codeNoConfig, codeOutdated, codeNotNode, codeUnreachable, codeNoServer:
		f.node.forwardPeers.avoid(to.node)
		return nil
	}
	if f.runs > 0 || f.response.headerSent {
		return nil
	}
	f.refundQuota()
	return &refusal{status: resp.StatusCode, code: code, retryAfter: retryAfterSeconds(resp), logValues: []any{"by", to.node}}
}

// retryAfterSeconds returns the Retry-After of a node's refusal, 0 if there is none.
func retryAfterSeconds(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
