package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/crankridge/crankridge/src/operator"
)

const (
	requestTimeout = 15 * time.Second
	maxAttempts    = 4
)

var client = &http.Client{Timeout: requestTimeout}

// response is a response of the operator API.
type response struct {
	status int
	header http.Header
	body   []byte
}

// do sends a request to the control addresses in order and returns the first response.
func (g *globals) do(method, path string, header map[string]string, body []byte) (response, error) {
	var lastErr error
	for _, addr := range g.Control {
		res, err := g.doAt(addr, method, path, header, body)
		if err == nil {
			return res, nil
		}
		lastErr = err
	}
	return response{}, exitErrorf(exitUnavailable, "no crank-control reachable at %s: %v; set other addresses with --control", strings.Join(g.Control, ", "), lastErr)
}

func (g *globals) doAt(addr, method, path string, header map[string]string, body []byte) (response, error) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+g.Token)
	for name, v := range header {
		req.Header.Set(name, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, raw}, err
}

// getJSON decodes the response to a GET request into dst and returns its header.
func (g *globals) getJSON(path string, dst any) (http.Header, error) {
	res, err := g.do(http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	if res.status != http.StatusOK {
		return nil, res.toError()
	}
	return res.header, json.Unmarshal(res.body, dst)
}

// toError converts an error response to an error with the matching exit code.
func (r response) toError() error {
	var p operator.Problem
	if json.Unmarshal(r.body, &p) != nil || p.Error == "" {
		p.Error = strings.TrimSpace(string(r.body))
	}
	text := fmt.Sprintf("%s (%d)", p.Error, r.status)
	if p.Hint != "" {
		text += "; " + p.Hint
	}
	switch {
	case r.status == http.StatusPreconditionFailed:
		return exitErrorf(exitConflict, "%s", text)
	case r.status == http.StatusServiceUnavailable && r.header.Get("Crankridge-Outcome") == "may-have-run":
		return exitErrorf(exitOutcomeUnknown, "%s", text)
	case r.status == http.StatusServiceUnavailable:
		return exitErrorf(exitUnavailable, "%s", text)
	}
	return exitErrorf(exitFailed, "%s", text)
}
