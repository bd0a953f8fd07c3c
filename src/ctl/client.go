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
	sendTries      = 4
)

var client = &http.Client{Timeout: requestTimeout}

// answer is one answer of the operators' API.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// ask sends a request to the first address that answers.
func (g *globals) ask(method, path string, header map[string]string, body []byte) (answer, error) {
	var last error
	for _, addr := range g.Control {
		a, err := g.askOne(addr, method, path, header, body)
		if err == nil {
			return a, nil
		}
		last = err
	}
	return answer{}, fail(exitDown, "no crank-control answers at %s: %v; give others by --control", strings.Join(g.Control, ", "), last)
}

func (g *globals) askOne(addr, method, path string, header map[string]string, body []byte) (answer, error) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+g.Token)
	for name, v := range header {
		req.Header.Set(name, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, raw}, err
}

// read gets a path and decodes its answer.
func (g *globals) read(path string, into any) (http.Header, error) {
	a, err := g.ask(http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, a.problem()
	}
	return a.header, json.Unmarshal(a.body, into)
}

// problem makes an error of an answer that is not a success.
func (a answer) problem() error {
	var p operator.Problem
	if json.Unmarshal(a.body, &p) != nil || p.Error == "" {
		p.Error = strings.TrimSpace(string(a.body))
	}
	text := fmt.Sprintf("%s (%d)", p.Error, a.status)
	if p.Hint != "" {
		text += "; " + p.Hint
	}
	switch {
	case a.status == http.StatusPreconditionFailed:
		return fail(exitConflict, "%s", text)
	case a.status == http.StatusServiceUnavailable && a.header.Get("Crankridge-Outcome") == "may-have-run":
		return fail(exitUnsure, "%s", text)
	case a.status == http.StatusServiceUnavailable:
		return fail(exitDown, "%s", text)
	}
	return fail(exitFailed, "%s", text)
}
