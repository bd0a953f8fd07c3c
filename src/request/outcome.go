// Package request owns the life of one request: its key, its outcome, the
// tokens delivered so far, and what to do when its upstream leaves.
package request

import (
	"encoding/json"
	"net/http"
	"time"
)

// Outcome tells how a request ended.
type Outcome string

// The outcomes. NotRun is only said when no byte of the request reached an
// upstream, or the upstream itself refused it before it started.
const (
	Completed  Outcome = "completed"
	NotRun     Outcome = "not-run"
	MayHaveRun Outcome = "may-have-run"
	Ran        Outcome = "ran" // it ran and failed
	Cancelled  Outcome = "cancelled"
)

// Answer is the end of a request, as it is told to callers, kept by keepers
// and passed between nodes.
type Answer struct {
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status"`
	Code    string  `json:"code,omitempty"`    // of an error
	Message string  `json:"message,omitempty"` // of an error
	RetryMS int64   `json:"retry_ms,omitempty"`

	// Of a completion.
	Model   string   `json:"model,omitempty"`
	Created int64    `json:"created,omitempty"` // Unix s
	Finish  string   `json:"finish,omitempty"`
	Prompt  int      `json:"prompt_tokens,omitempty"`
	Cached  int      `json:"cached_tokens,omitempty"`
	Tokens  []string `json:"tokens,omitempty"` // kept when the coordinator may be lost

	// Of a service call.
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Encode gives the form kept by keepers.
func (a Answer) Encode() []byte {
	raw, err := json.Marshal(a)
	if err != nil {
		panic("an answer cannot be encoded: " + err.Error())
	}
	return raw
}

// DecodeAnswer reads the form kept by keepers.
func DecodeAnswer(raw []byte) (Answer, error) {
	var a Answer
	err := json.Unmarshal(raw, &a)
	return a, err
}

// Refuse is the answer to a request that was given up before it reached an
// upstream; retry is when the caller may come back.
func Refused(status int, code, message string, retry time.Duration) Answer {
	return Answer{Outcome: NotRun, Status: status, Code: code, Message: message, RetryMS: retry.Milliseconds()}
}

// Unsure is the answer to a request of which it is not known whether it ran.
// retry above 0 invites the caller to ask again for its fate by the same key.
func Indeterminate(code, message string, retry time.Duration) Answer {
	return Answer{Outcome: MayHaveRun, Status: http.StatusBadGateway, Code: code, Message: message, RetryMS: retry.Milliseconds()}
}

// Failed is the answer to a request that ran and did not succeed.
func Failed(status int, code, message string) Answer {
	return Answer{Outcome: Ran, Status: status, Code: code, Message: message}
}
