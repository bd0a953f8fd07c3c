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

	"github.com/crankridge/crankridge/src/claim"
	"github.com/crankridge/crankridge/src/conn"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/route"
	"github.com/crankridge/crankridge/src/settings"
	"github.com/crankridge/crankridge/src/upstream"
)

const (
	callTries   = 4
	callDial    = time.Second
	idlePerHost = 64
)

// Headers between the system and plain services.
const (
	headerRequestKey = "Crankridge-Request-Key"
	headerFencing    = "Crankridge-Fencing-Token"
	headerNotStarted = "Crankridge-Not-Started"
)

// callSender sends service calls. Go's transport sends a request again by
// itself when a reused connection fails and the request looks idempotent to
// it. A call not repeatable therefore gets a connection of its own, has no
// GetBody, and bears no Idempotency-Key.
type callSender struct {
	reuse  *http.Client
	once   *http.Client
	answer int
}

func newCallSender(s settings.Entry) *callSender {
	dial := conn.Dialer(callDial).DialContext
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	reuse := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: time.Minute}
	once := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return &callSender{
		reuse:  &http.Client{Transport: reuse, CheckRedirect: noRedirect},
		once:   &http.Client{Transport: once, CheckRedirect: noRedirect},
		answer: s.Limits.AnswerBytes,
	}
}

// hopHeaders are not passed on; the key headers are replaced by the system's own.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Idempotency-Key", "X-Idempotency-Key", "Content-Length",
}

// sendResult is what became of one send.
type sendResult struct {
	answer  request.Answer
	reached bool  // a connection stood, so bytes may have arrived
	refused bool  // the service said that it did not start
	err     error // no whole answer came
}

func (s *callSender) send(ctx context.Context, addr string, call *Call, key string, token int64, repeatable bool) sendResult {
	var reached atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { reached.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+addr+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return sendResult{err: err, refused: true}
	}
	req.GetBody = nil
	for name, values := range call.Header {
		req.Header[name] = values
	}
	for _, name := range hopHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(headerRequestKey, key)
	req.Header.Set(headerFencing, strconv.FormatInt(token, 10))
	client := s.reuse
	if !repeatable {
		client = s.once
	}
	resp, err := client.Do(req)
	if err != nil {
		return sendResult{err: err, reached: reached.Load()}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(s.answer)+1))
	if err != nil {
		return sendResult{err: err, reached: true}
	}
	if resp.Header.Get(headerNotStarted) != "" {
		return sendResult{refused: true, reached: true, err: fmt.Errorf("service refused: %d", resp.StatusCode)}
	}
	return sendResult{reached: true, answer: s.toAnswer(resp, body)}
}

func (s *callSender) toAnswer(resp *http.Response, body []byte) request.Answer {
	if len(body) > s.answer {
		return request.Failed(http.StatusBadGateway, codeTooLarge, fmt.Sprintf("the service's answer is larger than %d bytes", s.answer))
	}
	a := request.Answer{Outcome: request.Completed, Status: resp.StatusCode, Body: body, Header: http.Header{}}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.Outcome = request.Ran
	}
	for name, values := range resp.Header {
		a.Header[name] = values
	}
	for _, name := range hopHeaders {
		a.Header.Del(name)
	}
	return a
}

// call runs a service call: at most one send when it is not repeatable, more
// within the retry budget when it is, or while no byte has gone out.
func (c *Coordinator) call(ctx context.Context, f *request.Flight, a Request) request.Answer {
	avoid := map[string]bool{}
	sent := false
	var last error
	for try := range callTries {
		if try > 0 && !c.mayRetry(ctx, try) {
			break
		}
		up, ok := c.chooseService(a.Call.Service, avoid)
		if !ok {
			break
		}
		if try == 0 && !c.Attempts.Send(f.Attempt, c.Now()) {
			return yielded()
		}
		c.Metrics.AddedLatency(c.Now().Sub(f.StartedAt))
		c.explain.Add(f.Key, "called", "server "+up.Name+" in "+up.FailureDomain)
		end := c.Registry.Begin(up.Name, 0, nil)
		res := c.calls.send(ctx, up.Addr, a.Call, a.Key, c.fencing(f), a.Repeatable)
		end()
		if res.err == nil {
			c.Registry.RecordSuccess(up.Name)
			return res.answer
		}
		last = res.err
		c.explain.Add(f.Key, "call failed", fmt.Sprintf("%s: %v", up.Name, res.err))
		if !res.refused {
			c.Registry.RecordFailure(up.Name, !res.reached)
		}
		sent = sent || res.reached && !res.refused
		avoid[up.Name] = true
		if sent && !a.Repeatable {
			return request.Indeterminate(codeUpstreamLost, "the service was lost while it may have run the call", 0)
		}
	}
	return c.callGivenUp(ctx, f, a, sent, last)
}

func (c *Coordinator) mayRetry(ctx context.Context, try int) bool {
	if !c.budget.Spend() {
		return false
	}
	pause(ctx, request.Jitter(tryBackoff<<try))
	return ctx.Err() == nil
}

func (c *Coordinator) callGivenUp(ctx context.Context, f *request.Flight, a Request, sent bool, last error) request.Answer {
	if ctx.Err() != nil {
		return c.ended(f, a)
	}
	if sent {
		return request.Indeterminate(codeUpstreamLost, fmt.Sprintf("service %s was lost on the way: %v", a.Call.Service, last), request.Jitter(retryShard))
	}
	return request.Refused(http.StatusServiceUnavailable, codeNoUpstream, "no server of service "+a.Call.Service+" takes calls just now", request.Jitter(retryShard))
}

func (c *Coordinator) chooseService(service string, avoid map[string]bool) (upstream.Candidate, bool) {
	cands := c.Registry.ServiceCandidates(service)
	choice, ok := route.NewChooser(route.LeastOutstanding).Choose(cands, route.Request{Avoid: avoid, AvoidDomain: c.Registry.LeavingDomains()}, nil)
	return choice.Candidate, ok
}

// fencing is the epoch of the key's shard, for services that check it.
func (c *Coordinator) fencing(f *request.Flight) int64 {
	m := c.Shards()
	if m == nil {
		return 0
	}
	return m.Shards[claim.ShardOf(f.Key, len(m.Shards))].Epoch
}
