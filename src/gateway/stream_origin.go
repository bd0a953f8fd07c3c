package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/origin"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/traffic"
)

// Limits of looking for the origin of a stream.
const (
	recallTimeout     = 300 * time.Millisecond // for which other nodes may take to reply
	recallRetryAfter  = 500 * time.Millisecond // if some, or the store, have not replied
	streamGrace       = 10 * time.Second       // after a client's deadline, for which its stream is remembered
	maxAttemptIDBytes = 256
)

// How the origin of a stream that a client takes up was found, for logs and metrics.
const (
	originByNode  = "node" // by this node's memory
	originByPeer  = "peer" // by another node's
	originBySole  = "sole" // the service has had one version alone
	originUnknown = "unknown"
)

// takesUpStream reports whether the request goes on with a stream that has begun in an earlier
// client attempt.
func (req *clientRequest) takesUpStream() bool {
	return req.resumable() && req.lastEventID != ""
}

// resumable reports whether the request is for a stream that may go on at another server.
func (req *clientRequest) resumable() bool {
	return req.route.Kind == traffic.Stream && req.route.Resumable
}

// isBound reports whether the stream may go on only at a version.
func (req *clientRequest) isBound() bool { return req.origin != origin.Origin{} }

// parseTakeUp reads which stream the request goes on with.
func (req *clientRequest) parseTakeUp(lastEventID string, firstAttempts []string) {
	req.lastEventID = lastEventID
	req.firstAttempt = soleAttempt(firstAttempts)
}

// soleAttempt returns the ID of a client attempt from the values of a header. Values that
// differ, and those that cannot be an ID, name none.
func soleAttempt(values []string) string {
	if len(values) == 0 || len(values[0]) > maxAttemptIDBytes {
		return ""
	}
	if slices.ContainsFunc(values, func(v string) bool { return v != values[0] }) {
		return ""
	}
	return values[0]
}

// streamKey returns the key of the stream that a client attempt of this request's customer, at
// the same path, has begun.
func (req *clientRequest) streamKey(attempt string) origin.Key {
	return origin.NewKey(req.customerName(), req.route.Host, req.request.URL.Path, attempt)
}

// bindToOrigin binds a stream that a client takes up to the service and version at which it
// began. A stream whose version is not known is refused: it must not go on at another one.
func (n *Node) bindToOrigin(req *clientRequest) *refusal {
	if !req.takesUpStream() || req.isBound() {
		return nil
	}
	at, by, complete := n.findOrigin(req)
	klog.InfoS("stream_taken_up", "id", req.id, "first", req.firstAttempt, "last_event", req.lastEventID, "service", at.Service, "version", at.Version, "by", by)
	n.metrics.StreamTakenUp(req.service, by)
	switch {
	case by == originUnknown && complete:
		return &refusal{status: http.StatusServiceUnavailable, code: codeStreamUnknown}
	case by == originUnknown:
		return &refusal{status: http.StatusServiceUnavailable, code: codeStreamUnknown, retryAfter: request.JitterUp(recallRetryAfter)}
	case !req.route.Serves(at.Service):
		return &refusal{status: http.StatusServiceUnavailable, code: codeStreamMoved}
	}
	req.origin = at
	req.setService(at.Service)
	return nil
}

// findOrigin returns where the stream began that a request takes up, and how that was found.
// complete reports whether no node is left that might know.
func (n *Node) findOrigin(req *clientRequest) (at origin.Origin, by string, complete bool) {
	complete = true
	if req.firstAttempt != "" {
		key := req.streamKey(req.firstAttempt)
		if at, _, ok := n.streams.Lookup(key); ok {
			return at, originByNode, true
		}
		ctx, cancel := context.WithTimeout(req.request.Context(), recallTimeout)
		defer cancel()
		var ok bool
		if at, ok, complete = n.peers.RecallByPeers(ctx, key); ok {
			return at, originByPeer, true
		}
	}
	version, ok, err := n.soleVersion(req)
	switch {
	case err != nil:
		klog.InfoS("version_history_not_read", "service", req.service, "err", err)
		return origin.Origin{}, originUnknown, false
	case ok:
		return origin.Origin{Service: req.service, Version: version}, originBySole, true
	}
	return origin.Origin{}, originUnknown, complete
}

// soleVersion returns the version that all servers which may have begun a stream of the
// request's route have. It relies on the history as stored after the request arrived: no stream
// begins at a version that the history does not name (atStoredVersions).
func (n *Node) soleVersion(req *clientRequest) (version string, ok bool, err error) {
	if services := req.route.Services(); len(services) != 1 {
		return "", false, nil
	}
	ctx, cancel := context.WithTimeout(req.request.Context(), historyReadTimeout)
	defer cancel()
	history, ok, err := n.historyReads.read(ctx, req.service)
	if err != nil || !ok {
		return "", false, err
	}
	version, ok = history.Sole(n.upstreams.listedVersions(req.service), n.clusterTime())
	return version, ok, nil
}

// rememberOrigin binds the stream to the version that has sent its first event, and remembers
// it for the time in which its client may come back.
func (f *forwarder) rememberOrigin(version string) {
	req := f.req
	if f.remembered || !req.resumable() || version == "" {
		return
	}
	f.remembered = true
	if !req.isBound() {
		req.origin = origin.Origin{Service: req.service, Version: version}
	}
	ttl := req.clientTimeout + streamGrace
	f.node.streams.Remember(req.streamKey(req.id), req.origin, ttl)
	if req.takesUpStream() && req.firstAttempt != "" {
		f.node.streams.Remember(req.streamKey(req.firstAttempt), req.origin, ttl)
	}
}

// forgetStreamPositions drops what is known of the logs of nodes that are no longer there.
func (n *Node) forgetStreamPositions() {
	present := map[string]bool{}
	for _, m := range n.members.All() {
		present[m.Record.Peers] = true
	}
	for _, e := range n.roster.Entries() {
		present[e.Peers] = true
	}
	n.streams.Forget(func(address string) bool { return present[address] })
}

// finishWithoutVersion ends a stream for which no server of its version may be sent to now. It
// may come back as long as there is, or was just now, one.
func (f *forwarder) finishWithoutVersion(ctx context.Context) *refusal {
	wait := time.Duration(0)
	if f.node.upstreams.hasVersion(f.req.service, f.req.origin.Version) {
		wait = request.JitterUp(versionRetryAfter)
	}
	return f.finish(ctx, codeVersionUnavailable, wait)
}

// versionRetryAfter is when a client may return to a stream whose version has servers, but none
// that may be sent to now.
const versionRetryAfter = time.Second
