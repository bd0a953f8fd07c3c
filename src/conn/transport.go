package conn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

var (
	// ErrMalformed is the error of a response that is none in the protocol. Whether the request was
	// executed is unknown.
	ErrMalformed = errors.New("malformed response")
	// ErrBroken is the error at the end of a response that the end of its connection does not prove
	// to be whole.
	ErrBroken = fmt.Errorf("connection failed within the response: %w", io.ErrUnexpectedEOF)
)

// Transport is an http.Transport that checks what is received. A response that is malformed is an
// error, and so is the end of one that nothing frames if its connection has failed.
type Transport struct{ *http.Transport }

// NewTransport returns a transport with the settings of t, which must not be used itself.
func NewTransport(t *http.Transport) *Transport {
	dial := DialFunc(t.DialContext)
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = trackConns(dial)
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = maxHeadBytes
	}
	return &Transport{t}
}

// maxHeadBytes bounds the head of a response if the transport has no limit, and the interim
// responses before it in any case.
const maxHeadBytes = 64 << 10

// exchange is a request and its response.
type exchange struct {
	conn     atomic.Pointer[trackedConn] // nil if it is encrypted
	sent     atomic.Bool                 // the request has been written whole
	response *http.Response
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	x := &exchange{}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), x.trace())))
	if err != nil {
		return nil, err
	}
	x.response = resp
	if err := x.check(); err != nil {
		_ = resp.Body.Close()
		if c := x.conn.Load(); c != nil {
			_ = c.Close() // it may be idle already
		}
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	switch {
	case len(resp.TransferEncoding) > 0:
		resp.Body = &chunkedBody{resp.Body, resp}
	case !IsFramed(resp):
		resp.Body = &unframedBody{resp.Body, x}
	}
	return resp, nil
}

// trace returns the hooks by which the exchange learns of its connection.
func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*trackedConn); ok {
				c.startExchange()
				x.conn.Store(c)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				x.sent.Store(true)
			}
		},
		Got1xxResponse: x.gotInterim,
	}
}

// gotInterim checks an interim response.
func (x *exchange) gotInterim(_ int, header textproto.MIMEHeader) error {
	if c := x.conn.Load(); c != nil && c.keptBytes() > maxHeadBytes {
		return fmt.Errorf("%w: %w", ErrMalformed, errInterims)
	}
	if err := checkFields(header); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// check returns an error if the head of the response is malformed.
func (x *exchange) check() error {
	if err := checkHead(x.response); err != nil {
		return err
	}
	if c := x.conn.Load(); c != nil {
		return checkRawHead(x.response, bytes.NewReader(c.stopKeeping()))
	}
	return nil
}

// IsFramed reports whether a response has a length or chunks, or has no body. Without, it ends with
// its connection, in the same way as if the server crashes.
func IsFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// chunkedBody is the body of a response that trailers may follow.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if malformed := checkFields(b.response.Trailer); malformed != nil {
			return count, fmt.Errorf("%w: trailer: %w", ErrMalformed, malformed)
		}
	}
	return count, err
}

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) && !b.exchange.endedInOrder() {
		return count, ErrBroken
	}
	return count, err
}

// endedInOrder reports whether the connection has ended as a server ends it that has sent all of an
// answer. Where the system does not tell, the request must have been written whole.
func (x *exchange) endedInOrder() bool {
	c := x.conn.Load()
	if c == nil {
		return x.sent.Load() // encrypted: the end is signed
	}
	switch end, writeFailed := c.ended(); end {
	case endOrderly:
		return true
	case endUnclear:
		return x.sent.Load() && !writeFailed
	default:
		return false
	}
}
