package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"
	"github.com/tmaxmax/go-sse"

	"github.com/crankridge/crankridge/src/conn"
	"github.com/crankridge/crankridge/src/openai"
	"github.com/crankridge/crankridge/src/telemetry"
)

// Errors of the engine port.
var (
	ErrConnect = errors.New("engine cannot be reached")       // nothing was sent
	ErrRefused = errors.New("engine refused the request")     // it did not start
	ErrBroken  = errors.New("engine's stream broke")          // resumable or to be continued elsewhere
	ErrInvalid = errors.New("engine rejected the request")    // the caller's to mend
	ErrUnknown = errors.New("engine does not know the id")    // stream or order target
	ErrFenced  = errors.New("order carries an older epoch")   // another planner holds the lease
	ErrStalled = errors.New("engine sends no tokens in time") // accepts, but makes no progress
)

const (
	maxEventBytes = 1 << 20
	maxStateBytes = 4 << 20
)

// Token is one step of a stream. ID counts from 1 within the engine's stream.
type Token struct {
	ID     int64
	Text   string
	Finish string
	Usage  *openai.Usage
}

// Client speaks to engines; it is shared by all of them.
type Client struct {
	// Control counts the bytes of calls that carry no request: reports and orders.
	Control telemetry.Traffic
	stream  *http.Client
	short   *http.Client
}

// NewClient returns a client whose short calls end within timeout.
func NewClient(dial, timeout time.Duration) *Client {
	c := &Client{}
	requests := &http.Transport{
		DialContext:         conn.Dialer(dial).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}
	control := &http.Transport{DialContext: c.Control.Dial(dial), MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	c.stream = &http.Client{Transport: requests}
	c.short = &http.Client{Transport: &conn.StallDetectingTransport{Transport: control}, Timeout: timeout}
	return c
}

// Meta is what an answer says of the engine itself.
type Meta struct {
	Started   bool // the engine took the request up
	Load      *Load
	LeavingMS int64
}

// Open starts a stream. meta is called once, before the first token; each for
// every token. It returns nil when the stream ended as it should.
func (c *Client) Open(ctx context.Context, addr, id string, chat bool, body []byte, meta func(Meta), each func(Token) error) error {
	path := "/v1/completions"
	if chat {
		path = "/v1/chat/completions"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return oops.Wrapf(err, "engine request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, id)
	return c.run(req, meta, each)
}

// Resume takes up a stream after the token with ID after.
func (c *Client) Resume(ctx context.Context, addr, id string, after int64, meta func(Meta), each func(Token) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/streams/"+id, nil)
	if err != nil {
		return oops.Wrapf(err, "engine request")
	}
	req.Header.Set("Last-Event-ID", strconv.FormatInt(after, 10))
	return c.run(req, meta, each)
}

func (c *Client) run(req *http.Request, meta func(Meta), each func(Token) error) error {
	resp, err := c.stream.Do(req)
	if err != nil {
		return connectError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	m := metaOf(resp.Header)
	m.Started = resp.StatusCode == http.StatusOK
	meta(m)
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	return readStream(resp.Body, each)
}

func readStream(body io.Reader, each func(Token) error) error {
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return oops.Wrapf(errors.Join(ErrBroken, err), "read stream")
		}
		if ev.Data == openai.Done {
			return nil
		}
		tok, err := tokenOf(ev)
		if err != nil {
			return err
		}
		if err := each(tok); err != nil {
			return err
		}
	}
	return oops.Wrapf(ErrBroken, "stream ended before its end mark")
}

func tokenOf(ev sse.Event) (Token, error) {
	var a openai.Answer
	if err := json.Unmarshal([]byte(ev.Data), &a); err != nil {
		return Token{}, oops.Wrapf(errors.Join(ErrBroken, err), "decode chunk")
	}
	tok := Token{Usage: a.Usage}
	tok.ID, _ = strconv.ParseInt(ev.LastEventID, 10, 64)
	if len(a.Choices) == 0 {
		return tok, nil
	}
	ch := a.Choices[0]
	if ch.Delta != nil {
		tok.Text = ch.Delta.Content
	}
	if ch.Text != nil {
		tok.Text = *ch.Text
	}
	if ch.FinishReason != nil {
		tok.Finish = *ch.FinishReason
	}
	return tok, nil
}

func metaOf(h http.Header) Meta {
	var m Meta
	if raw := h.Get(HeaderLoad); len(raw) > len(LoadPrefix) {
		var l Load
		if json.Unmarshal([]byte(raw[len(LoadPrefix):]), &l) == nil {
			m.Load = &l
		}
	}
	m.LeavingMS, _ = strconv.ParseInt(h.Get(HeaderLeaving), 10, 64)
	return m
}

func connectError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return oops.Wrapf(errors.Join(ErrConnect, err), "connect")
	}
	return oops.Wrapf(errors.Join(ErrBroken, err), "send")
}

func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	base := ErrRefused
	switch resp.StatusCode {
	case http.StatusNotFound:
		base = ErrUnknown
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		base = ErrInvalid
	case http.StatusInternalServerError:
		base = ErrBroken
	}
	return oops.Wrapf(base, "engine answered %d: %.200s", resp.StatusCode, text)
}

// Cancel ends a stream; one that is unknown is not an error.
func (c *Client) Cancel(ctx context.Context, addr, id string) error {
	err := c.do(ctx, http.MethodDelete, addr, "/v1/streams/"+id, nil, nil)
	if errors.Is(err, ErrUnknown) {
		return nil
	}
	return err
}

// State reads the engine's report, with cache events after the given one.
func (c *Client) State(ctx context.Context, addr string, cacheAfter int64) (State, error) {
	var s State
	path := "/v1/state?cache_after=" + strconv.FormatInt(cacheAfter, 10)
	return s, c.do(ctx, http.MethodGet, addr, path, nil, &s)
}

// Give sends an order; ErrFenced says that a newer planner gave one before.
func (c *Client) SendOrder(ctx context.Context, addr string, o Order) error {
	return c.do(ctx, http.MethodPost, addr, "/v1/orders", o, nil)
}

// Pull makes the engine at addr import a stream's KV cache from another
// engine. It may take until ctx ends.
func (c *Client) ImportKV(ctx context.Context, addr string, im Import) error {
	return c.send(ctx, c.stream, http.MethodPost, addr, "/v1/kv/import", im, nil)
}

func (c *Client) do(ctx context.Context, method, addr, path string, in, out any) error {
	return c.send(ctx, c.short, method, addr, path, in, out)
}

func (c *Client) send(ctx context.Context, hc *http.Client, method, addr, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return oops.Wrapf(err, "encode %s", path)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return oops.Wrapf(err, "request %s", path)
	}
	resp, err := hc.Do(req)
	if err != nil {
		return connectError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusConflict {
		return oops.Wrapf(ErrFenced, "%s", path)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return statusError(resp)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(out)
}
