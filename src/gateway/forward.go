package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/request"
)

// Bounds of trying again.
const (
	sendsMost     = 4 // servers that one attempt of a client is offered to
	refusedWait   = 150 * time.Millisecond
	noServerWait  = 300 * time.Millisecond
	aheadPart     = 4 // of a prompt: with more than this part ahead of it, it tells nothing of the rate of reading
	unknownStatus = http.StatusBadGateway
)

// flight is one attempt of a client on its way.
type flight struct {
	n       *Node
	a       *ask
	reply   *reply
	avoid   map[string]bool
	sends   int            // that reached a server or tried to
	reached int            // that reached a server, or may have
	runs    int            // that ran or may have run
	counted bool           // in the usage
	unread  int64          // tokens that count as waiting at the present server
	begun   bool           // the first event of the present server has come
	passed  time.Time      // when events were passed on last
	last    *http.Response // a server's own failure, kept in case no better answer comes
	lastRaw []byte
	inputs  []any // what decided against a retry, as keys and values for the log
}

// forward carries an attempt to its end: choose, send, relay, and again
// elsewhere where that is allowed. It returns the refusal to answer with, or
// nil when the answer has gone out.
func (n *Node) forward(w http.ResponseWriter, a *ask) *refusal {
	ctx, cancel := context.WithDeadline(a.request.Context(), a.deadline)
	defer cancel()
	f := &flight{n: n, a: a, reply: &reply{writer: w}, avoid: map[string]bool{}}
	n.budget.Earn(a.service, a.arrived.Sub(n.began))
	if unshared := a.unshared(); unshared > 0 {
		n.scaler.meter(a.service).RecordPrompt(unshared, a.arrived)
	}
	for {
		s, unread, ok := n.choose(a, f.avoid)
		if !ok {
			return f.end(ctx, codeNoServer, noServerWait)
		}
		if f.reached > 0 && !f.mayRetry() {
			return f.end(ctx, codeRefused, refusedWait)
		}
		done, err := f.try(ctx, s, unread)
		if done {
			f.log("answered", s.id, err)
			n.metrics.Answered(a.route.Name, strconv.Itoa(f.reply.status), time.Since(a.arrived))
			return nil
		}
		f.log("failed", s.id, err)
		if ctx.Err() != nil {
			return f.end(ctx, codeTimeout, 0)
		}
		if !f.mayTryAgain() {
			return f.end(ctx, codeRefused, refusedWait)
		}
		f.avoid[s.id] = true
	}
}

// mayRetry takes one repeat from the budget, and keeps what decided for the log.
func (f *flight) mayRetry() bool {
	n := f.n
	v := n.budget.Spend(f.a.service, n.roster.Count(), time.Since(n.began))
	n.metrics.Retry(f.a.service, v.Granted, v.Nodes)
	if !v.Granted {
		f.inputs = []any{"budget_nodes", v.Nodes, "budget_requests", v.Requests, "budget_repeats", v.Retries, "budget_allowed", v.Allowed}
	}
	return v.Granted
}

// mayTryAgain tells whether the attempt may go to another server.
func (f *flight) mayTryAgain() bool {
	switch {
	case f.sends >= sendsMost:
		return false
	case f.runs == 0:
		return true
	case f.reply.headSent && (!f.a.route.Resumable || f.reply.lastEvent == ""):
		return false
	}
	return f.a.route.Retryable() && f.runs < f.a.route.MaxAttempts
}

// try sends to one server and relays its answer; done says that the client
// has its whole answer.
func (f *flight) try(ctx context.Context, s *upstream, unread int64) (done bool, err error) {
	n, a := f.n, f.a
	if f.sends == 0 {
		n.metrics.AddedLatency(a.route.Name, time.Since(a.arrived))
	}
	f.sends++
	f.unread, f.begun = unread, false
	n.fleet.begin(s, f.unread)
	defer n.fleet.end(s)
	defer f.promptRead(s)
	lastEvent := f.reply.lastEvent
	began := time.Now()
	sent := n.send(ctx, a, s, lastEvent)
	n.metrics.Sent(a.service, sent.fate.String())
	defer sent.cancel()
	if sent.fate != notSent {
		f.reached++
	}
	switch sent.fate {
	case notSent:
		if ctx.Err() == nil {
			n.fleet.failed(s, true)
		}
		return false, sent.err
	case refused:
		if sent.answer.StatusCode == http.StatusMisdirectedRequest {
			n.serverLeft(s)
		}
		return false, errRefused
	case unknown:
		f.runs++
		f.ran()
		if ctx.Err() == nil {
			n.fleet.failed(s, false)
		}
		return false, sent.err
	}
	f.runs++
	defer func() { _ = sent.answer.Body.Close() }()
	if isEventStream(sent.answer) {
		err = f.reply.stream(sent.answer, n.stopping(), func() { f.passing(s, began) })
	} else {
		f.ran()
		done, err = f.plain(sent.answer, s)
		if !done && err == nil {
			return false, errServerFailed
		}
	}
	if err != nil {
		if ctx.Err() == nil {
			n.fleet.failed(s, false)
		}
		return false, err
	}
	n.fleet.succeeded(s)
	return true, nil
}

var (
	errRefused      = errors.New("server refused")
	errServerFailed = errors.New("server answered with a failure")
)

// plain relays an answer that is no stream. A failure of the server is kept
// back while another server may still do better.
func (f *flight) plain(answer *http.Response, s *upstream) (done bool, err error) {
	if f.reply.headSent {
		return false, errWrongAnswer // a stream cannot go on with an answer of another form
	}
	if answer.StatusCode >= http.StatusInternalServerError && f.mayTryAgain() {
		raw, err := io.ReadAll(io.LimitReader(answer.Body, bufferedMost))
		if err != nil {
			return false, err
		}
		f.n.fleet.failed(s, false)
		f.last, f.lastRaw = answer, raw
		return false, nil
	}
	err = f.reply.whole(answer, f.n.stopping())
	return err == nil, err
}

// passing notes that events of a server, asked when began was, are passed on.
func (f *flight) passing(s *upstream, began time.Time) {
	n, a, now := f.n, f.a, time.Now()
	if f.begun {
		n.metrics.EventInterval(now.Sub(f.passed))
	} else {
		f.begun = true
		if a.ahead < a.unshared()/aheadPart {
			n.scaler.meter(a.service).RecordPrefill(a.unshared(), now.Sub(began))
		}
		n.beliefs.read(s.id, a.parts)
		n.metrics.FirstEvent(a.route.Name, now.Sub(a.arrived))
	}
	f.passed = now
	f.promptRead(s)
	f.ran()
}

// promptRead takes the prompt off what the server has still to read, once.
func (f *flight) promptRead(s *upstream) {
	if f.unread != 0 {
		f.n.fleet.read(s, f.unread)
		f.unread = 0
	}
}

// ran counts the attempt as run for its customer, once.
func (f *flight) ran() {
	if !f.counted && f.a.customer != nil {
		f.counted = true
		f.n.usage.count(f.a.customer.Name)
	}
}

// end gives the attempt up: what is left to say depends on what has gone out
// and on what may have run.
func (f *flight) end(ctx context.Context, code string, wait time.Duration) *refusal {
	a := f.a
	if f.runs == 0 && a.customer != nil {
		f.n.quota.Refund(a.customer.Name, a.cost())
	}
	if a.request.Context().Err() != nil || f.reply.headSent {
		f.log("broken_off", "", ctx.Err())
		// The client sees that the answer did not end.
		panic(http.ErrAbortHandler)
	}
	if f.last != nil {
		f.last.Body = io.NopCloser(newReader(f.lastRaw))
		if f.reply.whole(f.last, f.n.stopping()) == nil {
			return nil
		}
		panic(http.ErrAbortHandler)
	}
	switch {
	case ctx.Err() != nil:
		return &refusal{status: http.StatusGatewayTimeout, code: codeTimeout}
	case f.runs > 0:
		return &refusal{status: unknownStatus, code: codeUnknown}
	}
	return &refusal{status: http.StatusServiceUnavailable, code: code, wait: request.Jitter(wait), inputs: f.inputs}
}

func (f *flight) log(what, server string, err error) {
	if err == nil && f.sends == 1 && !klog.V(1).Enabled() {
		return
	}
	klog.InfoS("request", "id", f.a.id, "what", what, "server", server, "route", f.a.route.Name, "kind", f.a.route.Kind,
		"sends", f.sends, "runs", f.runs, "events", f.reply.events, "after_ms", time.Since(f.a.arrived).Milliseconds(), "err", err)
}
