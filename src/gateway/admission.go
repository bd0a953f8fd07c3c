package gateway

import (
	"net/http"
	"time"

	"github.com/crankridge/crankridge/src/clock"
)

// admit receives a request whose head is valid, checks whether it may be served now, and forwards
// it.
func (n *Node) admit(w http.ResponseWriter, req *clientRequest) *refusal {
	req.hold = n.held.Open(req.customerName())
	defer func() {
		req.body = nil // checks of crashes know the request for longer, by its digest
		req.hold.Close()
	}()
	if refused := n.prepare(w, req); refused != nil {
		n.refundQuota(req)
		return refused
	}
	return n.forward(w, req)
}

// prepare reads the body of the request and makes the checks.
func (n *Node) prepare(w http.ResponseWriter, req *clientRequest) *refusal {
	if refused := n.receiveBody(w, req); refused != nil {
		return refused
	}
	if refused := n.checkQuarantine(req); refused != nil {
		return refused
	}
	if refused := n.chargeQuota(req); refused != nil {
		return refused
	}
	return n.bindToOrigin(req)
}

// chargeQuota charges the request to its customer's limit.
func (n *Node) chargeQuota(req *clientRequest) *refusal {
	c := req.customer
	if c == nil || c.Rate <= 0 || req.forwarded {
		return nil
	}
	if ok, wait := n.quota.Take(c.Name, req.quotaCost(), req.priority, c.Rate, c.Burst, clock.Now()); !ok {
		return n.quotaRefusal(req, wait)
	}
	req.charged = true
	if n.quota.NeedsReport(c.Name, c.Rate) {
		n.peers.TriggerExchange()
	}
	return nil
}

// quotaRefusal refuses a request beyond its customer's limit.
func (n *Node) quotaRefusal(req *clientRequest, wait time.Duration) *refusal {
	c := req.customer
	logValues := []any{"customer", c.Name, "cost", req.quotaCost(), "rate", c.Rate, "priority", req.priority, "members", n.roster.Count()}
	return &refusal{status: http.StatusTooManyRequests, code: codeQuota, retryAfter: wait, logValues: logValues}
}

// refundQuota takes back what this node has charged to the customer's limit.
func (n *Node) refundQuota(req *clientRequest) {
	if req.charged {
		req.charged = false
		n.quota.Refund(req.customer.Name, req.quotaCost())
	}
}
