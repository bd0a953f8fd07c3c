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
	Model         string `help:"Model to chat with."`
	MaxTokens     int    `help:"Most tokens of the answer." default:"64"`
	Service       string `help:"Plain service to call instead of a model."`
	Path          string `help:"Path at the service." default:"/"`
	NotRepeatable bool   `help:"The request must run at most once."`
	RequestKey    string `help:"Key of the request; one is made if left out."`
	Text          string `arg:"" optional:"" help:"Prompt, or body of the service call."`
}

// Run sends one request. A stream that breaks is taken up at another address
// where it stopped.
func (c *sendCmd) Run(g *globals) error {
	if (c.Model == "") == (c.Service == "") {
		return fail(2, "give either --model or --service")
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
	s := sender{g: g, cmd: c}
	var err error
	for try := range sendTries {
		var again time.Duration
		if again, err = s.once(addrs[try%len(addrs)], try); err == nil || again < 0 {
			return err
		}
		time.Sleep(again)
	}
	return err
}

type sender struct {
	g    *globals
	cmd  *sendCmd
	last string // id of the last event printed
}

// once sends one try; again tells after how long the next may come, below 0 for never.
func (s *sender) once(addr string, try int) (again time.Duration, err error) {
	path, body := s.cmd.request()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return -1, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+s.g.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", s.cmd.RequestKey)
	req.Header.Set("Crankridge-Attempt", strconv.Itoa(try+1))
	if s.cmd.NotRepeatable {
		req.Header.Set("Crankridge-Repeatable", "false")
	}
	if s.last != "" {
		req.Header.Set("Last-Event-ID", s.last)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return time.Second, fail(exitUnsure, "%s broke off: %v", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return s.refused(resp)
	}
	if s.cmd.Service != "" {
		_, err = io.Copy(os.Stdout, resp.Body)
		return -1, err
	}
	return s.print(resp.Body)
}

func (s *sender) refused(resp *http.Response) (time.Duration, error) {
	raw, _ := io.ReadAll(resp.Body)
	outcome := resp.Header.Get("Crankridge-Outcome")
	err := fail(exitFailed, "%d, outcome %s, key %s: %s", resp.StatusCode, outcome, s.cmd.RequestKey, strings.TrimSpace(string(raw)))
	ms, e := strconv.Atoi(resp.Header.Get("Retry-After-Ms"))
	if e != nil {
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

// print shows a stream as it comes.
func (s *sender) print(body io.Reader) (time.Duration, error) {
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			return time.Second, fail(exitUnsure, "stream broke: %v", err)
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
			return time.Second, fail(exitUnsure, "%s", chunk.Error.Message)
		}
		for _, ch := range chunk.Choices {
			if ch.Delta != nil {
				fmt.Print(ch.Delta.Content)
			}
		}
		s.last = ev.LastEventID
	}
	return time.Second, errors.New("stream ended before its end mark")
}
