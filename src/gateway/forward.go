package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/memory"
	"github.com/crankridge/crankridge/src/quarantine"
)

// Limits of resending, and the responses when it fails.
const (
	maxSends              = 4 // servers that one client request is sent to
	maxFreeResends        = 1 // after runs that a crash ended, which do not count as attempts
	serversFullRetryAfter = 150 * time.Millisecond
	noServerRetryAfter    = 300 * time.Millisecond
	backlogDivisor        = 4 // prefill rates are sampled only if the backlog is below 1/backlogDivisor of the prompt's own tokens
	outcomeUnknownStatus  = http.StatusBadGateway
)

// forwarder forwards one client request, and resends it to other servers where
// that is allowed.
type forwarder struct {
	node            *Node
	req             *clientRequest
	response        *clientResponse
	excluded        map[string]bool
	sends           int  // sends attempted
	reached         int  // sends that reached a server, or may have
	runs            int  // sends that a server executed, or may have
	crashes         int  // of these, those that ended because the server is gone
	counted         bool // among the requests that this node sends to servers
	usageCounted    bool
	remembered      bool            // where the stream began
	endless         bool            // a server's response did not end
	storedVersions  bool            // it has waited for new versions to be stored
	soughtPlace     bool            // it was forwarded to a node with places at brittle servers
	unconnected     int             // servers that this request could not connect to
	triedPeers      map[string]bool // nodes that it was forwarded to
	pendingPrefill  int64           // tokens counted in the current server's backlog
	executed        bool            // the current server executes the request, or may
	seenAtEnd       bool            // the current server took connections after the end of its response
	sentAt          time.Time       // to the current server
	progressAt      time.Time
	gotFirstEvent   bool // from the current server
	lastEventAt     time.Time
	lastFailure     heldFailure // relayed if no other server succeeds
	budgetLogValues []any       // key-value pairs for the log when the retry budget was exhausted
}

// forward sends the request to servers until one gives a response to relay. It
// returns nil once the response has been sent, or the refusal to respond with.
func (n *Node) forward(w http.ResponseWriter, req *clientRequest) *refusal {
	ctx, cancel := clock.WithDeadline(req.request.Context(), req.deadline)
	defer cancel()
	limitWrites(w, req.deadline)
	f := &forwarder{node: n, req: req, response: &clientResponse{writer: w, toNode: req.forwarded, maxEvents: req.maxEvents(), hold: req.hold}, excluded: map[string]bool{}, triedPeers: map[string]bool{}}
	f.counted, f.usageCounted = req.counted, req.earlierRuns > 0
	for {
		if to, ok := f.nextPeer(); ok {
			if ended, refused := f.forwardToPeer(ctx, to); ended {
				return refused
			}
			continue
		}
		f.count()
		decision := n.decide(req)
		switch {
		case decision.Quarantined && req.trialVersion == "":
			return f.finishQuarantined(ctx, decision.Cause)
		case decision.Held:
			return f.finishHeld(ctx)
		}
		picked := n.chooseServer(req, decision, f.excluded)
		s := picked.server
		if picked.reserved {
			return f.finishReserved(ctx)
		}
		if picked.unstored && !f.storedVersions {
			f.storedVersions = true
			n.storeNewVersions(ctx, req.service)
			continue
		}
		if s == nil {
			if _, ok := f.nextPeer(); ok {
				continue // other requests have found the servers unreachable meanwhile
			}
			if to, ok := f.nextOwner(picked); ok {
				if ended, refused := f.forwardToPeer(ctx, to); ended {
					return refused
				}
			}
			return f.finishWithoutServer(ctx, picked)
		}
		if f.reached > 0 && !f.spendRetryBudget() {
			n.cancelChoice(picked)
			return f.finishFull(ctx)
		}
		done, err := f.tryApart(ctx, s, decision, picked.uncached)
		if errors.Is(err, syscall.ECONNRESET) && ctx.Err() == nil {
			n.upstreams.recordReset(s)
		}
		if f.mayHaveCrashed(ctx, err) && f.checkCrash(ctx, s) {
			f.crashes++
		}
		if done {
			f.log("answered", s.id, err)
			n.metrics.Answered(req.route.Name, strconv.Itoa(f.response.status), clock.Since(req.arrived))
			return nil
		}
		f.log("failed", s.id, err)
		if ctx.Err() != nil {
			return f.finish(ctx, codeTimeout, 0)
		}
		if !f.mayResend() {
			return f.finishFull(ctx)
		}
		f.excluded[s.id] = true
	}
}

// count counts the request for the retry budget and the demand of its service, once. Of a
// forwarded request the node does so that sends it to servers.
func (f *forwarder) count() {
	if f.counted {
		return
	}
	f.counted = true
	n, req := f.node, f.req
	n.retryBudget.Earn(req.service, req.arrived.Sub(n.startedAt))
	if ownTokens := req.ownTokens(); ownTokens > 0 {
		n.scaler.meter(req.service).RecordPrompt(ownTokens, req.arrived)
	}
}

// spendRetryBudget takes one retry from the budget and reports whether it was granted.
func (f *forwarder) spendRetryBudget() bool {
	n := f.node
	decision := n.retryBudget.Spend(f.req.service, n.roster.Count(), clock.Since(n.startedAt))
	n.metrics.Retry(f.req.service, decision.Granted, decision.Nodes)
	if !decision.Granted {
		f.budgetLogValues = []any{"budget_nodes", decision.Nodes, "budget_requests", decision.Requests, "budget_repeats", decision.Retries, "budget_allowed", decision.Allowed}
	}
	return decision.Granted
}

// mayResend reports whether the request may be sent to another server.
func (f *forwarder) mayResend() bool {
	switch {
	case f.endless && f.response.headerSent, f.req.hasAllEvents(f.response.events):
		return false // what was relayed last may be no part of an answer
	case f.sends >= maxSends, f.req.trialVersion != "" && f.reached > 0:
		return false
	case f.runs == 0:
		return true
	case f.response.headerSent && (!f.req.isBound() || f.response.lastEventID == ""):
		return false
	}
	attempts := f.req.earlierRuns + f.runs - min(f.crashes, maxFreeResends)
	return f.req.route.Retryable() && attempts < f.req.route.MaxAttempts
}

// tryApart is try, which counts the request among the suspects at the server if it is one.
func (f *forwarder) tryApart(ctx context.Context, s *upstream, decision quarantine.Decision, uncached int64) (done bool, err error) {
	if !decision.Suspected {
		return f.try(ctx, s, uncached)
	}
	n, standing, lead := f.node, decision.Standing, decision.Lead
	n.upstreams.beginSuspect(s, standing)
	n.suspectRuns.add(lead, s.id, standing, 1)
	defer func() {
		n.upstreams.endSuspect(s, standing)
		n.suspectRuns.add(lead, s.id, standing, -1)
	}()
	return f.try(ctx, s, uncached)
}

// try sends the request to one server and relays its response. done reports
// whether the client has received a complete response.
func (f *forwarder) try(ctx context.Context, s *upstream, uncached int64) (done bool, err error) {
	n, req := f.node, f.req
	if f.sends == 0 {
		n.metrics.AddedLatency(req.route.Name, clock.Since(req.arrived))
	}
	f.sends++
	f.pendingPrefill, f.gotFirstEvent, f.executed, f.seenAtEnd = uncached, false, false, false
	defer n.upstreams.endRequest(s)
	defer f.prefillDone(s)
	lastEventID := f.response.lastEventID
	sentAt := clock.Now()
	f.sentAt, f.progressAt = sentAt, sentAt
	result := n.send(ctx, req, s, lastEventID)
	n.upstreams.confirmRequest(s)
	n.metrics.Sent(req.service, result.outcome.String())
	defer result.cancel()
	if result.outcome != outcomeNotSent {
		f.reached++
	}
	switch result.outcome {
	case outcomeNotSent:
		n.limits.Refund(s.run())
		f.recordNotSent(ctx, s, result.err)
		return false, result.err
	case outcomeRefused:
		if result.response.StatusCode == http.StatusMisdirectedRequest {
			n.markDraining(s)
		} else {
			n.upstreams.recordRejection(s)
			f.recordShortage()
		}
		return false, rejectionError(result.response)
	case outcomeUnknown:
		f.runs++
		f.executed = true
		f.countUsage()
		if ctx.Err() == nil {
			n.upstreams.recordFailure(s, false)
		}
		if f.mayHaveCrashed(ctx, result.err) {
			n.upstreams.recordBreak(s)
		}
		return false, result.err
	}
	f.runs++
	f.executed = true
	f.progressAt = clock.Now()
	if result.response.StatusCode < http.StatusInternalServerError {
		n.upstreams.recordAcceptance(s)
	}
	defer func() { _ = result.response.Body.Close() }()
	if isEventStream(result.response) {
		f.response.version = s.version
		err = f.response.relayStream(result.response, n.stopping(), func() { f.onEvents(s, sentAt) }, f.endCheck(s, result.response))
	} else {
		f.countUsage()
		done, err = f.relayResponse(result.response, s)
		if !done && err == nil {
			return false, errServerFailed
		}
	}
	if err != nil {
		f.endless = errors.Is(err, errEndless) || errors.Is(err, errEventTooLarge)
		if (ctx.Err() == nil || f.endless) && !errors.Is(err, memory.ErrFull) {
			n.upstreams.recordFailure(s, f.endless)
		}
		if isBreak(err) {
			n.upstreams.recordBreak(s)
		}
		return false, err
	}
	n.upstreams.recordSuccess(s)
	if f.provesCompletion(result.response) {
		n.recordCompletion(req)
	}
	return true, nil
}

// recordNotSent records that no connection to a server was obtained.
func (f *forwarder) recordNotSent(ctx context.Context, s *upstream, err error) {
	n := f.node
	switch {
	case errors.Is(err, errServerUnreachable):
		f.sends-- // nothing was tried
		f.unconnected++
		n.upstreams.recordNoConnection(s)
	case n.upstreams.isUnreachable(s):
		f.unconnected++
	case ctx.Err() == nil && !errors.Is(err, errServerResting):
		n.upstreams.recordFailure(s, true)
	}
}

var (
	errServerRefused = errors.New("server refused the request")
	errServerFailed  = errors.New("server responded with a 5xx status")
)

// rejectionError describes a response by which a server did not run the request.
func rejectionError(resp *http.Response) error {
	text := fmt.Sprintf("status %d", resp.StatusCode)
	if values := resp.Header.Values("Retry-After"); len(values) > 0 {
		text += fmt.Sprintf(", Retry-After %q", values)
	}
	return fmt.Errorf("%w (%s)", errServerRefused, text)
}

// relayResponse relays a response that is not an event stream. A 5xx response
// is held back as long as the request may be sent to another server.
func (f *forwarder) relayResponse(resp *http.Response, s *upstream) (done bool, err error) {
	if f.response.headerSent {
		return false, errResponseMismatch // a resumed stream must continue as a stream
	}
	if resp.StatusCode >= http.StatusInternalServerError && f.mayResend() {
		if err := f.holdFailure(resp, s); err != nil {
			return false, err
		}
		f.node.upstreams.recordFailure(s, false)
		return false, nil
	}
	err = f.response.relayWhole(resp, f.node.stopping(), f.endCheck(s, resp))
	return err == nil, err
}

// onEvents updates metrics, usage and load estimates when events are relayed
// from a server to which the request was sent at sentAt.
func (f *forwarder) onEvents(s *upstream, sentAt time.Time) {
	n, req, now := f.node, f.req, clock.Now()
	if f.gotFirstEvent {
		n.metrics.EventInterval(now.Sub(f.lastEventAt))
	} else {
		f.gotFirstEvent = true
		if req.queuedTokens < req.ownTokens()/backlogDivisor {
			n.scaler.meter(req.service).RecordPrefill(req.ownTokens(), now.Sub(sentAt))
		}
		n.cacheTracker.record(s.id, req.promptParts)
		n.metrics.FirstEvent(req.route.Name, now.Sub(req.arrived))
	}
	f.lastEventAt, f.progressAt = now, now
	f.rememberOrigin(s.version)
	f.prefillDone(s)
	f.countUsage()
}

// prefillDone removes the prompt from the server's prefill backlog, once.
func (f *forwarder) prefillDone(s *upstream) {
	if f.pendingPrefill != 0 {
		f.node.upstreams.prefillDone(s, f.pendingPrefill)
		f.pendingPrefill = 0
	}
}

// countUsage adds the request to its customer's usage, once.
func (f *forwarder) countUsage() {
	if !f.usageCounted && f.req.customer != nil {
		f.usageCounted = true
		f.node.usage.add(f.req.customer.Name)
	}
}

// log logs the end of a send or of the request. A success at the first send is
// logged at verbosity 1 only.
func (f *forwarder) log(what, server string, err error) {
	if err == nil && f.sends <= 1 && !klog.V(1).Enabled() {
		return
	}
	klog.InfoS("request", "id", f.req.id, "what", what, "server", server, "route", f.req.route.Name, "kind", f.req.route.Kind, "digest", f.req.requestDigest(), "version", f.response.version,
		"sends", f.sends, "runs", f.runs, "events", f.response.events, "after_ms", clock.Since(f.req.arrived).Milliseconds(), "err", err)
}
