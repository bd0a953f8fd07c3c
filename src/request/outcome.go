// Package request implements the state of a request: its key, its outcome, the
// tokens delivered so far, retry budgets, and the choice of how to handle a stream
// whose engine leaves. The coordinator of a request is the node that sends it
// to upstreams and collects the answer.
package request

import (
	"encoding/json"
	"net/http"
	"time"
)

// Outcome is the way in which a request ended.
type Outcome string

// Outcomes of a request. NotRun is used only if no byte of the request reached
// an upstream, or the upstream refused it before starting.
const (
	Completed    Outcome = "completed"
	NotRun       Outcome = "not-run"
	MayHaveRun   Outcome = "may-have-run"
	RanAndFailed Outcome = "ran" // the request ran and failed; see Failed
	Cancelled    Outcome = "cancelled"
)

// Answer is the result of a request, as returned to callers, stored by keepers
// and passed between nodes.
type Answer struct {
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status"`
	Code    string  `json:"code,omitempty"`     // error code
	Message string  `json:"message,omitempty"`  // error message
	RetryMS int64   `json:"retry_ms,omitempty"` // time after which the caller may retry or ask again; 0 if not stated

	// Fields of a completion.
	Model   string   `json:"model,omitempty"`
	Created int64    `json:"created,omitempty"`       // Unix s
	Finish  string   `json:"finish,omitempty"`        // finish reason
	Prompt  int      `json:"prompt_tokens,omitempty"` // number of prompt tokens
	Cached  int      `json:"cached_tokens,omitempty"` // number of these found in the engine's cache
	Tokens  []string `json:"tokens,omitempty"`        // stored in case the coordinator is lost

	// Fields of a service call.
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Encode returns the form stored by keepers.
func (a Answer) Encode() []byte {
	raw, err := json.Marshal(a)
	if err != nil {
		panic("request: encode answer: " + err.Error())
	}
	return raw
}

// DecodeAnswer decodes the form stored by keepers.
func DecodeAnswer(raw []byte) (Answer, error) {
	var a Answer
	err := json.Unmarshal(raw, &a)
	return a, err
}

// Refused returns the answer to a request that did not reach an upstream. retry
// is the time after which the caller may retry.
func Refused(status int, code, message string, retry time.Duration) Answer {
	return Answer{Outcome: NotRun, Status: status, Code: code, Message: message, RetryMS: retry.Milliseconds()}
}

// Indeterminate returns the answer to a request that may have run. If retry is
// above 0, the caller may ask for its state after that time with the same key.
func Indeterminate(code, message string, retry time.Duration) Answer {
	return Answer{Outcome: MayHaveRun, Status: http.StatusBadGateway, Code: code, Message: message, RetryMS: retry.Milliseconds()}
}

// Failed returns the answer, with outcome Ran, to a request that ran and failed.
func Failed(status int, code, message string) Answer {
	return Answer{Outcome: RanAndFailed, Status: status, Code: code, Message: message}
}
