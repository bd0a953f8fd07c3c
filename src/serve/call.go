package serve

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/claim"
	"github.com/crankridge/crankridge/src/conn"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/retryafter"
	"github.com/crankridge/crankridge/src/route"
	"github.com/crankridge/crankridge/src/settings"
	"github.com/crankridge/crankridge/src/upstream"
)

const (
	maxCallAttempts     = 4
	callDialTimeout     = time.Second
	maxIdleConnsPerHost = 64
)

// Headers exchanged with plain services.
const (
	headerRequestKey   = "Crankridge-Request-Key"
	headerFencingToken = "Crankridge-Fencing-Token"
	headerNotStarted   = "Crankridge-Not-Started"
)

// callSender sends service calls. net/http silently resends a request it deems
// idempotent when a reused connection fails, so a non-repeatable call is sent on
// a new connection, without GetBody and without an Idempotency-Key header.
type callSender struct {
	pooled         *http.Client
	singleUse      *http.Client
	maxAnswerBytes int
}

func newCallSender(s settings.Entry) *callSender {
	dial := conn.Dialer(callDialTimeout).DialContext
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	pooled := conn.NewTransport(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: time.Minute})
	singleUse := conn.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true})
	return &callSender{
		pooled:         &http.Client{Transport: pooled, CheckRedirect: noRedirect},
		singleUse:      &http.Client{Transport: singleUse, CheckRedirect: noRedirect},
		maxAnswerBytes: s.Limits.AnswerBytes,
	}
}

// strippedHeaders are removed from forwarded requests and answers. The service
// receives the idempotency key as Crankridge-Request-Key instead.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Idempotency-Key", "X-Idempotency-Key", "Content-Length",
}

type sendResult struct {
	answer     request.Answer
	connected  bool          // the service may have received the request
	notStarted bool          // the service did not start the call
	err        error         // no complete answer was received
	rest       time.Duration // for which the server wants no calls; 0 if it names none
}

func (s *callSender) send(ctx context.Context, addr string, call *Call, key string, token int64, repeatable bool) sendResult {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+addr+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return sendResult{err: err, notStarted: true}
	}
	req.GetBody = nil
	for name, values := range call.Header {
		req.Header[name] = values
	}
	for _, name := range strippedHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(headerRequestKey, key)
	req.Header.Set(headerFencingToken, strconv.FormatInt(token, 10))
	client := s.pooled
	if !repeatable {
		client = s.singleUse
	}
	resp, err := client.Do(req)
	if err != nil {
		return sendResult{err: err, connected: connected.Load()}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(s.maxAnswerBytes)+1))
	if err != nil {
		return sendResult{err: err, connected: true}
	}
	notStarted := resp.Header.Get(headerNotStarted) != ""
	rest, err := retryafter.FromResponse(resp, notStarted, time.Now())
	if err != nil {
		klog.ErrorS(err, "service_rest_unusable", "server", addr)
	}
	if notStarted {
		return sendResult{notStarted: true, connected: true, err: fmt.Errorf("service refused: %d", resp.StatusCode), rest: rest}
	}
	return sendResult{connected: true, answer: s.toAnswer(resp, body), rest: rest}
}

func (s *callSender) toAnswer(resp *http.Response, body []byte) request.Answer {
	if len(body) > s.maxAnswerBytes {
		return request.Failed(http.StatusBadGateway, codeAnswerTooLarge, fmt.Sprintf("the service's answer is larger than %d bytes", s.maxAnswerBytes))
	}
	a := request.Answer{Outcome: request.Completed, Status: resp.StatusCode, Body: body, Header: http.Header{}}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.Outcome = request.RanAndFailed
	}
	for name, values := range resp.Header {
		a.Header[name] = values
	}
	for _, name := range strippedHeaders {
		a.Header.Del(name)
	}
	return a
}

// call sends a service call and retries it within the retry budget. A
// non-repeatable call is retried only while no server can have started it.
func (c *Coordinator) call(ctx context.Context, f *request.Flight, req Request) request.Answer {
	avoid := map[string]bool{}
	sent := false
	var lastErr error
	for try := range maxCallAttempts {
		if try > 0 && !c.backOffForRetry(ctx, try) {
			break
		}
		up, ok := c.chooseServer(req.Call.Service, avoid)
		if !ok {
			break
		}
		if try == 0 && !c.Attempts.Send(f.Attempt, c.Now()) {
			return yieldedAnswer()
		}
		c.Metrics.AddedLatency(c.Now().Sub(f.StartedAt))
		c.decisions.Add(f.Key, "called", "server "+up.Name+" in "+up.FailureDomain)
		end := c.Registry.Begin(up.Name, 0, nil)
		res := c.calls.send(ctx, up.Addr, req.Call, req.Key, c.fencingToken(f), req.Repeatable)
		end()
		c.Registry.Rest(up.Name, res.rest)
		if res.err == nil {
			c.Registry.RecordSuccess(up.Name)
			return res.answer
		}
		lastErr = res.err
		c.decisions.Add(f.Key, "call failed", fmt.Sprintf("%s: %v", up.Name, res.err))
		if !res.notStarted {
			c.Registry.RecordFailure(up.Name, !res.connected)
		}
		sent = sent || res.connected && !res.notStarted
		avoid[up.Name] = true
		if sent && !req.Repeatable {
			return request.Indeterminate(codeUpstreamLost, "the service was lost while it may have run the call", 0)
		}
	}
	return c.callFailure(ctx, f, req, sent, lastErr)
}

func (c *Coordinator) backOffForRetry(ctx context.Context, try int) bool {
	if !c.retryBudget.Spend() {
		return false
	}
	sleep(ctx, request.Jitter(minBackoff<<try))
	return ctx.Err() == nil
}

func (c *Coordinator) callFailure(ctx context.Context, f *request.Flight, req Request, sent bool, lastErr error) request.Answer {
	if ctx.Err() != nil {
		return c.interruptedAnswer(f, req)
	}
	if sent {
		return request.Indeterminate(codeUpstreamLost, fmt.Sprintf("service %s was lost on the way: %v", req.Call.Service, lastErr), request.Jitter(defaultRetryAfter))
	}
	retryAfter := request.Jitter(defaultRetryAfter)
	if wait := c.Registry.ServiceRestWait(req.Call.Service); wait > 0 {
		retryAfter = request.JitterUp(wait)
	}
	return request.Refused(http.StatusServiceUnavailable, codeNoUpstream, "no server of service "+req.Call.Service+" takes calls just now", retryAfter)
}

func (c *Coordinator) chooseServer(service string, avoid map[string]bool) (upstream.Candidate, bool) {
	cands := c.Registry.ServiceCandidates(service)
	choice, ok := route.NewChooser(route.LeastOutstanding).Choose(cands, route.Request{Avoid: avoid, AvoidDomain: c.Registry.LeavingDomains()}, nil)
	return choice.Candidate, ok
}

// fencingToken returns the epoch of the key's shard, or 0 without a shard map.
func (c *Coordinator) fencingToken(f *request.Flight) int64 {
	m := c.Shards()
	if m == nil {
		return 0
	}
	return m.Shards[claim.ShardOf(f.Key, len(m.Shards))].Epoch
}
