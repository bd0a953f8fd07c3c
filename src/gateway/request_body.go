package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/memory"
	"github.com/crankridge/crankridge/src/request"
)

// Limits of bodies of requests.
const (
	nodeFullRetryAfter = time.Second // while other bodies take the memory
	maxUnreadBytes     = 256 << 10   // of a refused request, beyond which net/http closes the connection
)

// readBody reads the body of the request into memory that its hold accounts for. A body that has
// not arrived by the deadline is of no use to any server.
func (n *Node) readBody(w http.ResponseWriter, req *clientRequest) *refusal {
	in := req.request
	if in.ContentLength > n.held.Largest() {
		return &refusal{status: http.StatusRequestEntityTooLarge, code: codeBodyTooLarge, closeConn: true}
	}
	var body io.Reader = in.Body
	if req.maxBodyBytes > 0 {
		body = http.MaxBytesReader(w, in.Body, req.maxBodyBytes)
	}
	limitReads(w, req.deadline)
	raw, err := req.hold.ReadAll(body, in.ContentLength)
	unlimitReads(w)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, memory.ErrFull):
		return &refusal{status: http.StatusServiceUnavailable, code: codeNodeFull, retryAfter: request.Jitter(nodeFullRetryAfter), closeConn: true,
			logValues: []any{"customer", req.customerName(), "bytes", in.ContentLength, "held", n.held.Used()}}
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, code: codeBodyTooLarge, closeConn: true}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, code: codeBodySlow, closeConn: true}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, code: codeBodyTruncated, closeConn: true}
	}
	req.body, in.Body = raw, http.NoBody
	return nil
}

// limitReads makes reads of the request fail at the deadline.
func limitReads(w http.ResponseWriter, deadline time.Time) {
	setReadDeadline(w, time.Now().Add(clock.Until(deadline)))
}

// unlimitReads ends the limit.
func unlimitReads(w http.ResponseWriter) { setReadDeadline(w, time.Time{}) }

func setReadDeadline(w http.ResponseWriter, at time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(at); err != nil {
		klog.ErrorS(err, "read_deadline_not_set")
	}
}

// answerBeforeBody lets a refusal be sent while the body is still arriving. It reports whether the
// connection ends with it, as too much of the body is left.
func answerBeforeBody(w http.ResponseWriter, r *http.Request) (closes bool) {
	if r.Body == nil || r.Body == http.NoBody {
		return false
	}
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		klog.ErrorS(err, "refusal_waits_for_body")
	}
	return r.ContentLength < 0 || r.ContentLength > maxUnreadBytes
}
