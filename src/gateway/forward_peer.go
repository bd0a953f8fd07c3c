package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/conn"
	"github.com/crankridge/crankridge/src/retryafter"
)

// Headers between the node that forwards a request and the one that it is forwarded to.
const (
	headerConfigVersion = "Crankridge-Config-Version" // in force at the first node
	headerRuns          = "Crankridge-Runs"           // of the request before it was forwarded; in refusals, at the second node
	headerCounted       = "Crankridge-Counted"        // whether a node has counted it among those that it sends to servers
	headerRefused       = "Crankridge-Refused"        // in responses: the code of the second node's own refusal
	headerOriginService = "Crankridge-Origin-Service" // where the stream began; absent until it has
	headerOriginVersion = "Crankridge-Origin-Version"
	headerServerVersion = "Crankridge-Server-Version" // in responses: of the server that sends a stream
)

var (
	nodeRequestHeaders  = []string{headerConfigVersion, headerRuns, headerCounted, headerOriginService, headerOriginVersion}
	nodeResponseHeaders = []string{headerRefused, headerServerVersion}
)

// forwardPrefix is put before the path of a forwarded request.
const forwardPrefix = "/forward"

// Errors of nodes that requests are forwarded to.
var (
	errPeerRefused = errors.New("node refused the request")
	errNotFramed   = errors.New("node sent a response without a length or chunks")
)

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
		f.recordPeerRuns(1)
		if ctx.Err() == nil {
			n.forwardPeers.avoid(to.node)
		}
	case outcomeAnswered:
		f.recordPeerRuns(1)
		err = f.relayFromPeer(resp)
		_ = resp.Body.Close()
	}
	if err == nil {
		n.forwardPeers.served(to.node)
		f.log("forwarded", to.node, nil)
		n.metrics.Answered(f.req.route.Name, strconv.Itoa(f.response.status), clock.Since(f.req.arrived))
		return true, nil
	}
	f.log("forward_failed", to.node, err)
	return false, refused
}

// recordPeerRuns records that servers have run the request for another node, or may have.
func (f *forwarder) recordPeerRuns(runs int) {
	f.reached += runs
	f.runs += runs
	f.counted = f.counted || runs > 0
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
	for _, name := range nodeRequestHeaders {
		out.Header.Del(name) // those of the client
	}
	if f.req.isBound() {
		out.Header.Set(headerOriginService, url.QueryEscape(f.req.origin.Service))
		out.Header.Set(headerOriginVersion, url.QueryEscape(f.req.origin.Version))
	}
	out.Header.Set(headerConfigVersion, strconv.FormatInt(n.version(), 10))
	out.Header.Set(headerRuns, strconv.Itoa(f.runs))
	out.Header.Set(headerCounted, strconv.FormatBool(f.counted))
	return out
}

// relayFromPeer relays the response of another node, which frames all that it sends.
func (f *forwarder) relayFromPeer(resp *http.Response) error {
	n, req := f.node, f.req
	if !conn.IsFramed(resp) {
		return errNotFramed
	}
	if !isEventStream(resp) {
		if f.response.headerSent {
			return errResponseMismatch // a resumed stream must continue as a stream
		}
		return f.response.relayWhole(resp, n.stopping(), noEndCheck)
	}
	var lastEventAt time.Time
	f.response.version = serverVersion(resp)
	return f.response.relayStream(resp, n.stopping(), func() {
		now := clock.Now()
		if lastEventAt.IsZero() {
			n.metrics.FirstEvent(req.route.Name, now.Sub(req.arrived))
		} else {
			n.metrics.EventInterval(now.Sub(lastEventAt))
		}
		lastEventAt = now
		f.rememberOrigin(f.response.version)
	}, noEndCheck)
}

// serverVersion returns the version of the server whose stream another node relays, empty if
// the node does not say.
func serverVersion(resp *http.Response) string {
	text := resp.Header.Get(headerServerVersion)
	version, err := url.QueryUnescape(text)
	if err != nil {
		klog.ErrorS(err, "forward_version_unusable", "value", text)
		return ""
	}
	return version
}

// peerRefusal returns the refusal to relay, or nil if another node may serve the request or this
// one has to end it. What another node refuses holds for the whole request only if no server has
// run it before, or its time is over.
func (f *forwarder) peerRefusal(to peer, resp *http.Response) *refusal {
	code := resp.Header.Get(headerRefused)
	switch code {
	case codeStopping, codeNoConfig, codeOutdated, codeNotNode, codeUnreachable, codeNoServer:
		f.node.forwardPeers.avoid(to.node)
		return nil
	case codeVersionUnavailable, codeVersionNotStored: // of this stream; the node serves others
		return nil
	}
	f.recordPeerRuns(refusedRuns(to, resp))
	if code == codeOutcomeUnknown {
		f.node.forwardPeers.avoid(to.node)
	}
	if f.response.headerSent || f.runs > 0 && code != codeTimeout {
		return nil
	}
	if f.runs == 0 {
		f.node.refundQuota(f.req)
	}
	wait, err := retryafter.Parse(resp.Header, clock.Now())
	if err != nil {
		klog.ErrorS(err, "forward_wait_unusable", "node", to.node, "values", resp.Header.Values("Retry-After"))
	}
	return &refusal{status: resp.StatusCode, code: code, retryAfter: wait, runs: f.runs, logValues: []any{"by", to.node}}
}

// refusedRuns returns how often servers have run, or may have run, a request that a node has
// refused: once if the node does not say.
func refusedRuns(to peer, resp *http.Response) int {
	text := resp.Header.Get(headerRuns)
	runs, err := strconv.Atoi(text)
	if err != nil || runs < 0 {
		klog.InfoS("forward_runs_unusable", "node", to.node, "value", text)
		return 1
	}
	return runs
}
