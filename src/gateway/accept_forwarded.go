package gateway

import (
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/origin"
)

// serveForwarded handles a request that another node has forwarded, as it reaches no server
// itself. It is served as if the client had sent it here: this node checks the key, charges the
// retry budget, counts the usage and sends it to servers. Only the customer's limit has been
// charged by the other node, whose share of the limit its clients use.
func (n *Node) serveForwarded(w http.ResponseWriter, r *http.Request) {
	n.openRequests.Add(1)
	defer n.openRequests.Add(-1)
	arrived := clock.Now()
	unlimitWrites(w)
	if refused := n.acceptForwarded(w, r, arrived); refused != nil {
		w.Header().Set(headerRefused, refused.code)
		w.Header().Set(headerRuns, strconv.Itoa(refused.runs))
		n.writeRefusal(w, r, refused, arrived)
	}
}

func (n *Node) acceptForwarded(w http.ResponseWriter, r *http.Request, arrived time.Time) *refusal {
	headers, ok := takeForwardHeaders(r)
	switch {
	case !ok || !n.isNodeAddress(r.RemoteAddr):
		return &refusal{status: http.StatusForbidden, code: codeNotNode}
	case n.stopping():
		return &refusal{status: http.StatusServiceUnavailable, code: codeStopping, closeConn: true}
	case n.version() < headers.version:
		return &refusal{status: http.StatusServiceUnavailable, code: codeOutdated}
	}
	r.RequestURI = r.URL.RequestURI() // as the client sent it
	req, refused := n.parseRequest(r, arrived)
	if refused != nil {
		return refused
	}
	req.forwarded, req.earlierRuns, req.counted = true, headers.runs, headers.counted
	if headers.origin != (origin.Origin{}) {
		req.origin = headers.origin
		req.setService(headers.origin.Service)
	}
	return n.admit(w, req)
}

// forwardHeaders is what the node that forwards a request says of it.
type forwardHeaders struct {
	version int64         // of the configuration in force there
	runs    int           // of the request so far
	counted bool          // the request is counted for the retry budget and the demand
	origin  origin.Origin // where the stream began; zero if it has not
}

// takeForwardHeaders removes the headers between nodes from a request and returns their values.
func takeForwardHeaders(r *http.Request) (out forwardHeaders, ok bool) {
	var errs [5]error
	out.version, errs[0] = strconv.ParseInt(r.Header.Get(headerConfigVersion), 10, 64)
	out.runs, errs[1] = strconv.Atoi(r.Header.Get(headerRuns))
	out.counted, errs[2] = strconv.ParseBool(r.Header.Get(headerCounted))
	out.origin.Service, errs[3] = url.QueryUnescape(r.Header.Get(headerOriginService))
	out.origin.Version, errs[4] = url.QueryUnescape(r.Header.Get(headerOriginVersion))
	for _, name := range nodeRequestHeaders {
		r.Header.Del(name)
	}
	return out, errors.Join(errs[:]...) == nil && out.runs >= 0
}

// isNodeAddress reports whether a remote address belongs to the machine of a known node.
func (n *Node) isNodeAddress(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	for _, m := range n.members.All() {
		if sameHost(m.Record.Peers, host) {
			return true
		}
	}
	for _, e := range n.roster.Entries() {
		if sameHost(e.Peers, host) {
			return true
		}
	}
	return false
}

// sameHost reports whether an address, host:port, is at the given host.
func sameHost(address, host string) bool {
	at, _, err := net.SplitHostPort(address)
	return err == nil && at == host
}
