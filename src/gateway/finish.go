package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/crankridge/crankridge/src/request"
)

// finishReserved ends a suspected request for which no server is left. If this node reaches few
// of them, most are not known to have crashed.
func (f *forwarder) finishReserved(ctx context.Context) *refusal {
	if f.node.upstreams.reach(f.req.service).share() < poorReach {
		return f.finishUnreachable(ctx)
	}
	return f.finishHeld(ctx)
}

// finishUnreachable ends a request for which this node and others reach no server.
func (f *forwarder) finishUnreachable(ctx context.Context) *refusal {
	return f.finish(ctx, codeUnreachable, request.JitterUp(unreachableRetryAfter))
}

// finishWithoutServer ends a request that no server may be sent to now.
func (f *forwarder) finishWithoutServer(ctx context.Context, picked choice) *refusal {
	f.recordShortage()
	if picked.unstored && f.reached == 0 {
		return f.finish(ctx, codeVersionNotStored, request.Jitter(noServerRetryAfter))
	}
	limitWait := picked.wait
	if picked.full && limitWait == 0 {
		limitWait = placesRetryAfter
	}
	restWait, allRest := f.node.upstreams.restWait(f.req.service)
	switch {
	case limitWait > 0 && restWait > 0:
		return f.finish(ctx, codeServersLimited, returnAfter(min(limitWait, restWait), f.req.priority))
	case limitWait > 0:
		return f.finish(ctx, codeServersLimited, returnAfter(limitWait, f.req.priority))
	case allRest:
		return f.finish(ctx, codeServersResting, returnAfter(restWait, f.req.priority))
	}
	switch {
	case f.reached > 0:
		return f.finishFull(ctx)
	case f.node.upstreams.reach(f.req.service).none():
		return f.finishUnreachable(ctx)
	case f.req.isBound():
		return f.finishWithoutVersion(ctx)
	}
	return f.finish(ctx, codeNoServer, request.Jitter(noServerRetryAfter))
}

// finishFull ends a request that may not be sent to another server. Of one that has reached a
// server it says so: a node that has forwarded it does not try another node.
func (f *forwarder) finishFull(ctx context.Context) *refusal {
	switch {
	case f.reached > 0:
	case f.node.upstreams.reach(f.req.service).none():
		return f.finishUnreachable(ctx)
	default:
		return f.finish(ctx, codeUnreachable, request.Jitter(noServerRetryAfter))
	}
	if restWait, allRest := f.node.upstreams.restWait(f.req.service); allRest {
		return f.finish(ctx, codeServersResting, returnAfter(restWait, f.req.priority))
	}
	return f.finish(ctx, codeServersFull, request.Jitter(serversFullRetryAfter))
}

// finish ends a request that no server completed. It aborts the connection if
// the client has gone or part of a response was sent, relays a held-back 5xx
// response, or returns a refusal.
func (f *forwarder) finish(ctx context.Context, code string, retryAfter time.Duration) *refusal {
	req := f.req
	if f.runs == 0 {
		f.node.refundQuota(f.req)
	}
	if req.request.Context().Err() != nil || f.response.headerSent {
		f.log("broken_off", "", ctx.Err())
		// Abort the connection so that the client sees a truncated response.
		panic(http.ErrAbortHandler)
	}
	if f.lastFailure.response != nil {
		if f.response.relayHeld(f.lastFailure, f.node.stopping()) == nil {
			return nil
		}
		panic(http.ErrAbortHandler)
	}
	switch {
	case ctx.Err() != nil:
		return &refusal{status: http.StatusGatewayTimeout, code: codeTimeout, runs: f.runs, logValues: f.budgetLogValues}
	case f.runs > 0:
		return &refusal{status: outcomeUnknownStatus, code: codeOutcomeUnknown, runs: f.runs, logValues: f.budgetLogValues}
	}
	return &refusal{status: http.StatusServiceUnavailable, code: code, retryAfter: retryAfter, logValues: f.budgetLogValues}
}
