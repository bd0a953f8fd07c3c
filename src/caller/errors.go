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

// Headers between the system and its callers.
const (
	headerOutcome    = "Crankridge-Outcome"
	headerKey        = "Idempotency-Key"
	headerRepeatable = "Crankridge-Repeatable"
	headerDeadline   = "Crankridge-Deadline-Ms"
	headerAttempt    = "Crankridge-Attempt"      // 1 for the first try by a key
	headerRetryCount = "X-Stainless-Retry-Count" // the same, from the OpenAI client libraries, counted from 0
	headerRetryMS    = "Retry-After-Ms"          // read by the OpenAI client libraries
	headerLastEvent  = "Last-Event-ID"
)

// errorBody is the OpenAI error shape with the outcome added, for streams
// whose headers are gone.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	openai.Error
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_after_ms,omitempty"`
}

func bodyOf(a request.Answer) errorBody {
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

// wireOutcome is the outcome as the header tells it. A request that was
// cancelled on its way may have run.
func wireOutcome(a request.Answer) string {
	if a.Outcome == request.Cancelled {
		return string(request.MayHaveRun)
	}
	return string(a.Outcome)
}

func writeAnswerError(w http.ResponseWriter, a request.Answer) {
	setOutcome(w.Header(), a)
	writeJSON(w, a.Status, bodyOf(a))
}

func setOutcome(h http.Header, a request.Answer) {
	h.Set(headerOutcome, wireOutcome(a))
	if a.RetryMS > 0 {
		seconds := (time.Duration(a.RetryMS)*time.Millisecond + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
		h.Set(headerRetryMS, strconv.FormatInt(a.RetryMS, 10))
	}
}

// refuse answers a request that was not acted on and should not come again as it is.
func refuse(w http.ResponseWriter, status int, code, message string) {
	writeAnswerError(w, request.Answer{Outcome: request.NotRun, Status: status, Code: code, Message: message})
}

func sortModels(list []openai.Model) {
	slices.SortFunc(list, func(a, b openai.Model) int { return cmp.Compare(a.ID, b.ID) })
}
