package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/crankridge/crankridge/src/clock"
)

// outcome is the result of one send.
type outcome int

// Only the first two guarantee that the request was not executed.
const (
	outcomeNotSent  outcome = iota // no connection was obtained
	outcomeRefused                 // the server reported that it did not execute the request
	outcomeAnswered                // a matching response header was received
	outcomeUnknown                 // the request was sent, but no usable response came back
)

// String returns the metric label.
func (o outcome) String() string { return [...]string{"not_sent", "refused", "answered", "unknown"}[o] }

// sendResult is the result of one send. The caller must close the response body
// if the request was answered, and call cancel.
type sendResult struct {
	outcome  outcome
	response *http.Response
	err      error
	cancel   context.CancelFunc
}

var (
	errResponseMismatch = errors.New("response does not match the request")
	errNoRequestID      = errors.New("response has no request ID")
)

// hopByHopHeaders are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// send sends the request to one server and reads the response header.
func (n *Node) send(parent context.Context, req *clientRequest, s *upstream, lastEventID string) sendResult {
	var connected, responded atomic.Bool
	ctx, cancelCtx := withGrace(parent, func() bool { return connected.Load() && !responded.Load() })
	stopWatching := context.AfterFunc(n.upstreams.sendContext(s, req.route.Retryable()), cancelCtx)
	cancel := func() {
		stopWatching()
		cancelCtx()
	}
	sentAt := clock.Now()
	stopTimer := func() {}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		if info.Reused {
			stopTimer = n.watchResponse(s, sentAt)
		}
	}})
	out := n.upstreamRequest(ctx, req, s, lastEventID)
	resp, err := n.upstreams.transport(s).RoundTrip(out)
	stopTimer()
	if err != nil {
		cancel()
		if !connected.Load() {
			return sendResult{outcome: outcomeNotSent, err: err, cancel: cancel}
		}
		return sendResult{outcome: outcomeUnknown, err: err, cancel: cancel}
	}
	responded.Store(true)
	n.upstreams.recordResponse(s, sentAt)
	resp.Body = &heardReader{ReadCloser: resp.Body, heard: func() { n.upstreams.heard(s) }}
	n.upstreams.recordKeepAlive(s, resp.Header)
	id := resp.Header.Get(n.headers.RequestID)
	declined := resp.Header.Get(n.headers.NotExecuted) != "" || resp.StatusCode == http.StatusMisdirectedRequest
	n.recordLeaving(s, resp.Header)
	n.recordBrittle(s, resp.Header, sentAt)
	n.recordRest(s, resp, declined)
	switch {
	case id != "" && id != req.id:
		err = errResponseMismatch
	case parent.Err() != nil && !declined:
		err = parent.Err()
	case declined:
		if resp.StatusCode != http.StatusMisdirectedRequest && len(resp.Header.Values(n.headers.ServerLimit)) > 0 {
			n.recordLimit(s, resp.Header, sentAt) // a full server may name a limit; that it names none here ends none
		}
		// Drain the body so that the connection can be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
		_ = resp.Body.Close()
		cancel()
		return sendResult{outcome: outcomeRefused, response: resp, cancel: cancel}
	case id == "":
		err = errNoRequestID
	default:
		n.recordLimit(s, resp.Header, sentAt)
		return sendResult{outcome: outcomeAnswered, response: resp, cancel: cancel}
	}
	cancel()
	_ = resp.Body.Close()
	return sendResult{outcome: outcomeUnknown, err: err, cancel: cancel}
}

// withGrace returns a context that ends with its parent or, if pending then reports that a
// response header is awaited, responseGrace later: what a server says in a rejection that is on
// its way holds for this node, also if nobody waits for the response any more.
func withGrace(parent context.Context, pending func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		if pending() {
			time.AfterFunc(responseGrace, cancel)
			return
		}
		cancel()
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// responseGrace is how long a response header is awaited after the client has left.
const responseGrace = 100 * time.Millisecond

// sendContext returns the context that ends with the server's run and, if the send may be
// repeated, when it is given up.
func (p *upstreamPool) sendContext(s *upstream, repeatable bool) context.Context {
	if !repeatable {
		return s.ctx
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.abandonCtx
}

const maxDrainBytes = 4 << 10

// upstreamRequest builds the request to a server.
func (n *Node) upstreamRequest(ctx context.Context, req *clientRequest, s *upstream, lastEventID string) *http.Request {
	target := *req.request.URL
	target.Scheme, target.Host = "http", s.address
	out := n.outgoingRequest(ctx, req, &target, lastEventID)
	for _, name := range []string{n.headers.Customer, n.headers.ContinueFrom, n.headers.FetchFrom} {
		out.Header.Del(name)
	}
	if n.table.Load().RequiresKey() {
		out.Header.Del("Authorization")
	}
	if req.customer != nil {
		out.Header.Set(n.headers.Customer, req.customer.Name)
	}
	out.Header.Set(n.headers.ExpectInstance, s.id)
	return out
}

// outgoingRequest builds the request to a server or node. net/http must not retry it on
// its own once it has been written: the body cannot be rewound, and the headers that
// mark a request as idempotent are sent under a non-canonical name.
func (n *Node) outgoingRequest(ctx context.Context, req *clientRequest, target *url.URL, lastEventID string) *http.Request {
	in := req.request
	out := (&http.Request{
		Method: in.Method, URL: target, Host: in.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: in.Header.Clone(),
	}).WithContext(ctx)
	removeHopByHopHeaders(out.Header)
	for _, name := range []string{"Expect", "Content-Length"} {
		out.Header.Del(name)
	}
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := out.Header[name]; ok {
			delete(out.Header, name)
			out.Header[strings.ToLower(name)] = values
		}
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	remaining := max(clock.Until(req.deadline), time.Millisecond)
	out.Header.Set(n.headers.DeadlineMs, strconv.FormatInt(remaining.Milliseconds(), 10))
	if lastEventID != "" {
		out.Header.Set(n.headers.LastEventID, lastEventID)
	}
	out.Body = &onceReader{Reader: bytes.NewReader(req.body)}
	out.ContentLength = int64(len(req.body))
	if len(req.body) == 0 && (in.Method == http.MethodPost || in.Method == http.MethodPut || in.Method == http.MethodPatch) {
		out.Body = http.NoBody // net/http does not retry these methods, and sends Content-Length: 0
	}
	return out
}

// heardReader calls heard whenever bytes have arrived.
type heardReader struct {
	io.ReadCloser
	heard func()
}

// Read implements io.Reader.
func (r *heardReader) Read(buffer []byte) (int, error) {
	count, err := r.ReadCloser.Read(buffer)
	if count > 0 {
		r.heard()
	}
	return count, err
}

// onceReader hides the type of its reader, so that net/http cannot rewind it.
type onceReader struct{ io.Reader }

// Close does nothing.
func (*onceReader) Close() error { return nil }
