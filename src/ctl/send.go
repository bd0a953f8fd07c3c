package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/crankridge/crankridge/src/openai"
	"github.com/crankridge/crankridge/src/request"
)

type sendCmd struct {
	Model         string `help:"Model to send a chat request to."`
	MaxTokens     int    `help:"Maximum number of tokens of the answer." default:"64"`
	Service       string `help:"Plain service to call instead of a model."`
	Path          string `help:"Path of the service call." default:"/"`
	NotRepeatable bool   `help:"Run the request at most once."`
	RequestKey    string `help:"Idempotency key; generated if omitted."`
	Text          string `arg:"" optional:"" help:"Prompt, or body of the service call."`
}

// Run sends one request. A stream that breaks is resumed at the next address
// after the last event received.
func (c *sendCmd) Run(g *globals) error {
	if (c.Model == "") == (c.Service == "") {
		return exitErrorf(2, "give either --model or --service") // wrong usage
	}
	if c.RequestKey == "" {
		c.RequestKey = request.IssueKey(time.Now())
	}
	addrs := g.Entry
	if e, err := g.endpoints(); err == nil && len(e.Endpoints) > 0 {
		addrs = nil
		for _, a := range e.Endpoints {
			addrs = append(addrs, a.Address)
		}
	}
	s := sender{globals: g, cmd: c}
	var err error
	for attempt := range maxAttempts {
		var retryAfter time.Duration
		if retryAfter, err = s.attempt(addrs[attempt%len(addrs)], attempt); err == nil || retryAfter < 0 {
			return err
		}
		time.Sleep(retryAfter)
	}
	return err
}

type sender struct {
	globals     *globals
	cmd         *sendCmd
	lastEventID string // id of the last event printed
}

// attempt sends the request once. On error, a negative retryAfter means not to retry.
func (s *sender) attempt(addr string, attempt int) (retryAfter time.Duration, err error) {
	path, body := s.cmd.request()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return -1, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+s.globals.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", s.cmd.RequestKey)
	req.Header.Set("Crankridge-Attempt", strconv.Itoa(attempt+1))
	if s.cmd.NotRepeatable {
		req.Header.Set("Crankridge-Repeatable", "false")
	}
	if s.lastEventID != "" {
		req.Header.Set("Last-Event-ID", s.lastEventID)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return time.Second, exitErrorf(exitOutcomeUnknown, "request to %s failed: %v", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return s.responseError(resp)
	}
	if s.cmd.Service != "" {
		_, err = io.Copy(os.Stdout, resp.Body)
		return -1, err
	}
	return s.printStream(resp.Body)
}

// responseError converts a response with status 400 or above to an error and the
// delay before a retry.
func (s *sender) responseError(resp *http.Response) (time.Duration, error) {
	raw, _ := io.ReadAll(resp.Body)
	outcome := resp.Header.Get("Crankridge-Outcome")
	err := exitErrorf(exitFailed, "%d, outcome %s, key %s: %s", resp.StatusCode, outcome, s.cmd.RequestKey, strings.TrimSpace(string(raw)))
	ms, parseErr := strconv.Atoi(resp.Header.Get("Retry-After-Ms"))
	if parseErr != nil {
		return -1, err
	}
	return time.Duration(ms) * time.Millisecond, err
}

func (c *sendCmd) request() (path string, body []byte) {
	if c.Service != "" {
		return "/v1/services/" + c.Service + c.Path, []byte(c.Text)
	}
	body, _ = json.Marshal(map[string]any{
		"model": c.Model, "stream": true, "max_tokens": c.MaxTokens,
		"messages": []openai.Message{{Role: "user", Content: c.Text}},
	})
	return "/v1/chat/completions", body
}

// printStream prints the tokens of a stream as they arrive.
func (s *sender) printStream(body io.Reader) (time.Duration, error) {
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			return time.Second, exitErrorf(exitOutcomeUnknown, "stream broke: %v", err)
		}
		if ev.Data == openai.Done {
			fmt.Println()
			return -1, nil
		}
		var chunk struct {
			openai.Answer
			Error *openai.Error `json:"error"`
		}
		if err := json.Unmarshal([]byte(ev.Data), &chunk); err != nil {
			return -1, err
		}
		if chunk.Error != nil {
			return time.Second, exitErrorf(exitOutcomeUnknown, "%s", chunk.Error.Message)
		}
		for _, ch := range chunk.Choices {
			if ch.Delta != nil {
				fmt.Print(ch.Delta.Content)
			}
		}
		s.lastEventID = ev.LastEventID
	}
	return time.Second, errors.New("stream ended without [DONE]")
}
