package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/crankridge/crankridge/src/traffic"
)

// ask is one attempt of a client, read whole and checked.
type ask struct {
	id        string
	route     *traffic.Route
	customer  *traffic.Customer // nil on public routes
	service   string
	request   *http.Request
	body      []byte
	arrived   time.Time
	deadline  time.Time
	limited   time.Time // when the route's own time limit ends
	parts     []part
	tokensIn  int64
	tokensOut int64
	ahead     int64 // prompt tokens that waited at the chosen engine
	hasTokens bool
	priority  int
}

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	code   string
	wait   time.Duration // when to come back; 0 says nothing
	close  bool          // the connection ends with it
	inputs []any         // what decided it, as keys and values for the log
}

// Codes of refusals, for logs and clients.
const (
	codeNoConfig   = "no_configuration"
	codeNoRoute    = "no_route"
	codeKey        = "unknown_key"
	codeHeader     = "header_too_large"
	codeBody       = "body_too_large"
	codeBadBody    = "body_cut"
	codeNoID       = "no_request_id"
	codeQuota      = "quota"
	codeStopping   = "stopping"
	codeNoServer   = "no_server"
	codeRefused    = "servers_full"
	codeUnknown    = "fate_unknown"
	codeTimeout    = "time_limit"
	codeMemory     = "node_full"
	codeUnrelayed  = "answer_broken"
	codeClientGone = "client_gone"
)

const (
	defaultTimeout  = 30 * time.Second
	noConfigWait    = 300 * time.Millisecond
	headerLineExtra = 4 // colon, blank and line end
)

// check reads the request and finds its route and customer.
func (n *Node) check(w http.ResponseWriter, r *http.Request, arrived time.Time) (*ask, *refusal) {
	table := n.table.Load()
	if table == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, code: codeNoConfig, wait: noConfigWait}
	}
	limits := table.Config.Limits
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, code: codeHeader, close: true}
	}
	route := table.Route(r.Host, r.URL.Path)
	if route == nil {
		return nil, &refusal{status: http.StatusNotFound, code: codeNoRoute}
	}
	a := &ask{id: r.Header.Get(n.headers.RequestID), route: route, request: r, arrived: arrived, priority: route.Priority}
	if table.RequiresKey() && !route.Public {
		a.customer = table.CustomerByKey(strings.TrimPrefix(r.Header.Get("Authorization"), n.headers.Scheme))
		if a.customer == nil {
			return nil, &refusal{status: http.StatusUnauthorized, code: codeKey}
		}
		if a.customer.Priority != nil {
			a.priority = *a.customer.Priority
		}
	}
	if a.id == "" {
		return nil, &refusal{status: http.StatusBadRequest, code: codeNoID}
	}
	if refused := a.readBody(w, limits.BodyBytes); refused != nil {
		return nil, refused
	}
	a.service = route.PickService(a.id)
	a.setTimes(r.Header.Get(n.headers.DeadlineMs))
	a.setTokens(r.Header.Get(n.headers.Tokens))
	a.parts = parseParts(r.Header.Get(n.headers.PromptParts))
	return a, nil
}

func headerBytes(r *http.Request) int {
	total := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + headerLineExtra
		}
	}
	return total
}

func (a *ask) readBody(w http.ResponseWriter, most int64) *refusal {
	if a.request.Body == nil || a.request.Body == http.NoBody {
		return nil
	}
	var body io.Reader = a.request.Body
	if most > 0 {
		body = http.MaxBytesReader(w, a.request.Body, most)
	}
	raw, err := io.ReadAll(body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &refusal{status: http.StatusRequestEntityTooLarge, code: codeBody, close: true}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, code: codeBadBody, close: true}
	}
	a.body = raw
	return nil
}

func (a *ask) setTimes(deadlineMs string) {
	timeout := a.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	a.limited = a.arrived.Add(timeout)
	a.deadline = a.limited
	ms, err := strconv.ParseFloat(deadlineMs, 64)
	if err == nil && ms > 0 {
		if asked := a.arrived.Add(time.Duration(ms * float64(time.Millisecond))); asked.Before(a.deadline) {
			a.deadline = asked
		}
	}
}

func (a *ask) setTokens(text string) {
	in, out, ok := strings.Cut(text, ",")
	if !ok {
		return
	}
	tokensIn, errIn := strconv.ParseInt(strings.TrimSpace(in), 10, 64)
	tokensOut, errOut := strconv.ParseInt(strings.TrimSpace(out), 10, 64)
	if errIn == nil && errOut == nil {
		a.tokensIn, a.tokensOut, a.hasTokens = tokensIn, tokensOut, true
	}
}

// cost is what the request takes from its customer's limit.
func (a *ask) cost() float64 {
	switch {
	case a.customer == nil:
		return 0
	case !a.customer.LimitsTokens:
		return 1
	case a.hasTokens:
		return float64(a.tokensIn + a.tokensOut)
	}
	return float64(a.customer.DefaultTokens)
}

// unshared is the tokens of the prompt that no other request shares.
func (a *ask) unshared() int64 {
	if len(a.parts) == 0 {
		return a.tokensIn
	}
	return a.parts[len(a.parts)-1].tokens
}
