package caller

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/crankridge/crankridge/src/openai"
	"github.com/crankridge/crankridge/src/request"
)

// Request and response headers.
const (
	headerOutcome    = "Crankridge-Outcome"
	headerKey        = "Idempotency-Key"
	headerRepeatable = "Crankridge-Repeatable"
	headerDeadline   = "Crankridge-Deadline-Ms"
	headerAttempt    = "Crankridge-Attempt"      // number of the attempt, from 1
	headerRetryCount = "X-Stainless-Retry-Count" // number of the retry, from 0, sent by the OpenAI client libraries
	headerRetryMS    = "Retry-After-Ms"          // read by the OpenAI client libraries
	headerLastEvent  = "Last-Event-ID"
)

// errorBody is an OpenAI error with the outcome, which cannot be sent in a header
// once a stream has started.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	openai.Error
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_after_ms,omitempty"`
}

func newErrorBody(a request.Answer) errorBody {
	return errorBody{errorDetail{
		Error:   openai.Error{Message: a.Message, Type: errorType(a.Status), Code: a.Code},
		Outcome: wireOutcome(a), RetryMS: a.RetryMS,
	}}
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// wireOutcome returns the outcome as reported to callers. A cancelled request
// may have run.
func wireOutcome(a request.Answer) string {
	if a.Outcome == request.Cancelled {
		return string(request.MayHaveRun)
	}
	return string(a.Outcome)
}

func writeError(w http.ResponseWriter, a request.Answer) {
	setOutcomeHeaders(w.Header(), a)
	writeJSON(w, a.Status, newErrorBody(a))
}

// setOutcomeHeaders sets the outcome header and, if the answer says when to retry,
// the Retry-After headers.
func setOutcomeHeaders(h http.Header, a request.Answer) {
	h.Set(headerOutcome, wireOutcome(a))
	if a.RetryMS > 0 {
		seconds := (time.Duration(a.RetryMS)*time.Millisecond + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
		h.Set(headerRetryMS, strconv.FormatInt(a.RetryMS, 10))
	}
}

// writeRejection writes an error response to a request that was not run and
// should not be retried unchanged.
func writeRejection(w http.ResponseWriter, status int, code, message string) {
	writeError(w, request.Answer{Outcome: request.NotRun, Status: status, Code: code, Message: message})
}

func sortModels(list []openai.Model) {
	slices.SortFunc(list, func(a, b openai.Model) int { return cmp.Compare(a.ID, b.ID) })
}
