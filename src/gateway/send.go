package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// fate is what became of one send.
type fate int

// The fates. Only the first two leave a request that was certainly not run.
const (
	notSent  fate = iota // no byte reached the server
	refused              // the server says that it did not run the request
	answered             // a whole head of the right answer came
	unknown              // sent, and no answer that says what became of it
)

// String names the fate for logs.
func (f fate) String() string { return [...]string{"not_sent", "refused", "answered", "unknown"}[f] }

// sent is the result of one send. The answer's body must be closed.
type sent struct {
	fate   fate
	answer *http.Response
	err    error
	cancel context.CancelFunc
}

var (
	errWrongAnswer = errors.New("answer belongs to another request")
	errNoID        = errors.New("answer names no request")
)

// connectionHeaders belong to one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func dropConnectionHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// send sends the request to one server and reads the answer's head.
func (n *Node) send(ctx context.Context, a *ask, s *upstream, lastEvent string) sent {
	ctx, end := context.WithCancel(ctx)
	detach := context.AfterFunc(s.life, end)
	cancel := func() {
		detach()
		end()
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request := n.outgoing(ctx, a, s, lastEvent)
	answer, err := n.fleet.transport(s).RoundTrip(request)
	if err != nil {
		cancel()
		if !connected.Load() {
			return sent{fate: notSent, err: err, cancel: cancel}
		}
		return sent{fate: unknown, err: err, cancel: cancel}
	}
	n.fleet.keeps(s, answer.Header)
	id := answer.Header.Get(n.headers.RequestID)
	declined := answer.Header.Get(n.headers.NotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest
	switch {
	case id != "" && id != a.id:
		err = errWrongAnswer
	case declined:
		// Read, so that the connection can be used again.
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, declinedMost))
		_ = answer.Body.Close()
		cancel()
		return sent{fate: refused, answer: answer, cancel: cancel}
	case id == "":
		err = errNoID
	default:
		return sent{fate: answered, answer: answer, cancel: cancel}
	}
	cancel()
	_ = answer.Body.Close()
	return sent{fate: unknown, err: err, cancel: cancel}
}

const declinedMost = 4 << 10

// outgoing makes the request for a server. The library must never send it
// again by itself once a byte has gone out: a body that it cannot rewind, and
// no header that marks it as idempotent, see to that.
func (n *Node) outgoing(ctx context.Context, a *ask, s *upstream, lastEvent string) *http.Request {
	in := a.request
	target := *in.URL
	target.Scheme, target.Host = "http", s.address
	out := (&http.Request{
		Method: in.Method, URL: &target, Host: in.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: in.Header.Clone(),
	}).WithContext(ctx)
	dropConnectionHeaders(out.Header)
	for _, name := range []string{"Authorization", "Expect", "Content-Length", n.headers.Customer, n.headers.ContinueFrom, n.headers.FetchFrom} {
		if name == "Authorization" && !n.table.Load().RequiresKey() {
			continue
		}
		out.Header.Del(name)
	}
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := out.Header[name]; ok {
			delete(out.Header, name)
			out.Header[strings.ToLower(name)] = values
		}
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // the library would add its own
	}
	if a.customer != nil {
		out.Header.Set(n.headers.Customer, a.customer.Name)
	}
	out.Header.Set(n.headers.ExpectInstance, s.id)
	left := max(time.Until(a.deadline), time.Millisecond)
	out.Header.Set(n.headers.DeadlineMs, strconv.FormatInt(left.Milliseconds(), 10))
	if lastEvent != "" {
		out.Header.Set(n.headers.LastEventID, lastEvent)
	}
	out.Body = &onceReader{Reader: bytes.NewReader(a.body)}
	out.ContentLength = int64(len(a.body))
	if len(a.body) == 0 && (in.Method == http.MethodPost || in.Method == http.MethodPut || in.Method == http.MethodPatch) {
		out.Body = http.NoBody // these are not sent again, and say their length of 0
	}
	return out
}

// onceReader hides that its bytes could be read again.
type onceReader struct{ io.Reader }

// Close does nothing.
func (*onceReader) Close() error { return nil }
