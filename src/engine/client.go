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
	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/conn"
	"github.com/crankridge/crankridge/src/openai"
	"github.com/crankridge/crankridge/src/retryafter"
	"github.com/crankridge/crankridge/src/telemetry"
)

// Errors returned by Client, or used by its callers.
var (
	ErrConnect = errors.New("cannot connect to engine")    // nothing was sent
	ErrRefused = errors.New("engine refused the request")  // the request did not start
	ErrBroken  = errors.New("engine stream interrupted")   // stream or control call failed after connecting, or answer 500; a stream may be resumed, or continued on another engine
	ErrInvalid = errors.New("engine rejected the request") // retrying does not help
	ErrUnknown = errors.New("engine does not know the stream or model")
	ErrFenced  = errors.New("order has a stale epoch") // another planner holds the lease
	ErrStalled = errors.New("engine sent no tokens within the timeout")
)

const (
	maxEventBytes = 1 << 20
	maxStateBytes = 4 << 20
)

// Token is one event of a stream. ID counts from 1.
type Token struct {
	ID     int64
	Text   string
	Finish string // finish reason; empty before the last token
	Usage  *openai.Usage
}

// Client calls the API of engines. One client serves all engines.
type Client struct {
	// Control counts the bytes of control calls: state reads, orders and cancels.
	Control       telemetry.Traffic
	streamClient  *http.Client
	controlClient *http.Client
}

// NewClient returns a client. dial limits the time to connect, and timeout the
// duration of control calls.
func NewClient(dial, timeout time.Duration) *Client {
	c := &Client{}
	requests := conn.NewTransport(&http.Transport{
		DialContext:         conn.Dialer(dial).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	})
	control := conn.NewTransport(&http.Transport{DialContext: c.Control.Dial(dial), MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute})
	c.streamClient = &http.Client{Transport: requests}
	c.controlClient = &http.Client{Transport: &conn.StallDetectingTransport{Transport: control}, Timeout: timeout}
	return c
}

// Meta is the engine's state as reported in the status code and the headers of an
// answer.
type Meta struct {
	Started   bool // the engine accepted the request
	Load      *Load
	LeavingMS int64 // deadline in Unix ms; 0 if the engine is not leaving
	// Rest is the time for which a full engine wants no requests; 0 if it names none.
	Rest time.Duration
}

// Open starts a stream. onMeta is called once the headers of the answer are
// received, also if the answer is an error; onToken is called for every token. Open
// returns nil if the stream ended normally.
func (c *Client) Open(ctx context.Context, addr, id string, chat bool, body []byte, onMeta func(Meta), onToken func(Token) error) error {
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
	return c.readAnswer(req, onMeta, onToken)
}

// Resume continues a stream after the token whose ID is after.
func (c *Client) Resume(ctx context.Context, addr, id string, after int64, onMeta func(Meta), onToken func(Token) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/streams/"+id, nil)
	if err != nil {
		return oops.Wrapf(err, "engine request")
	}
	req.Header.Set("Last-Event-ID", strconv.FormatInt(after, 10))
	return c.readAnswer(req, onMeta, onToken)
}

func (c *Client) readAnswer(req *http.Request, onMeta func(Meta), onToken func(Token) error) error {
	resp, err := c.streamClient.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	m := parseMeta(resp.Header)
	m.Started = resp.StatusCode == http.StatusOK
	// An engine that answers 429 has not started the request.
	m.Rest, err = retryafter.FromResponse(resp, true, time.Now())
	if err != nil {
		klog.ErrorS(err, "engine_rest_unusable", "engine", req.URL.Host)
	}
	onMeta(m)
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	return readStream(resp.Body, onToken)
}

func readStream(body io.Reader, onToken func(Token) error) error {
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return oops.Wrapf(errors.Join(ErrBroken, err), "read stream")
		}
		if ev.Data == openai.Done {
			return nil
		}
		tok, err := decodeToken(ev)
		if err != nil {
			return err
		}
		if err := onToken(tok); err != nil {
			return err
		}
	}
	return oops.Wrapf(ErrBroken, "stream ended without %s", openai.Done)
}

func decodeToken(ev sse.Event) (Token, error) {
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

func parseMeta(h http.Header) Meta {
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

func transportError(err error) error {
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

// Cancel ends a stream. It is not an error if the engine does not know it.
func (c *Client) Cancel(ctx context.Context, addr, id string) error {
	err := c.sendControl(ctx, http.MethodDelete, addr, "/v1/streams/"+id, nil, nil)
	if errors.Is(err, ErrUnknown) {
		return nil
	}
	return err
}

// State returns the engine's report with the cache events after the sequence
// number cacheAfter.
func (c *Client) State(ctx context.Context, addr string, cacheAfter int64) (State, error) {
	var s State
	path := "/v1/state?cache_after=" + strconv.FormatInt(cacheAfter, 10)
	return s, c.sendControl(ctx, http.MethodGet, addr, path, nil, &s)
}

// SendOrder sends an order. It returns ErrFenced if the engine has received an
// order of a newer planner.
func (c *Client) SendOrder(ctx context.Context, addr string, o Order) error {
	return c.sendControl(ctx, http.MethodPost, addr, "/v1/orders", o, nil)
}

// ImportKV makes the engine at addr import a stream's KV cache from another
// engine. It is limited by ctx only.
func (c *Client) ImportKV(ctx context.Context, addr string, im Import) error {
	return c.send(ctx, c.streamClient, http.MethodPost, addr, "/v1/kv/import", im, nil)
}

func (c *Client) sendControl(ctx context.Context, method, addr, path string, in, out any) error {
	return c.send(ctx, c.controlClient, method, addr, path, in, out)
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
		return transportError(err)
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
