package gateway

import (
	"errors"
	"io"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/memory"
)

// Memory for the bodies that are held for requests.
const (
	heldShare   = 0.4       // of the memory of the process
	defaultHeld = 128 << 20 // bytes, if that is not known
)

// newHeldBudget returns the budget for the bodies that a process with the given memory holds.
func newHeldBudget(memoryBytes int64) *memory.Budget {
	if memoryBytes <= 0 {
		return memory.NewBudget(defaultHeld)
	}
	return memory.NewBudget(int64(heldShare * float64(memoryBytes)))
}

// heldFailure is a 5xx response that is held back while the request may be sent to another server.
type heldFailure struct {
	response *http.Response
	body     []byte
}

// holdFailure holds back a server's 5xx response in place of an earlier one. One that is too large is
// dropped.
func (f *forwarder) holdFailure(resp *http.Response, s *upstream) error {
	body, err := f.req.hold.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes), bufferSize(resp))
	if errors.Is(err, memory.ErrFull) || len(body) == maxBufferedBytes {
		f.req.hold.Shrink(int64(cap(body)))
		klog.InfoS("failure_dropped", "id", f.req.id, "server", s.id, "status", resp.StatusCode, "bytes", len(body), "held", f.node.held.Used())
		return nil
	}
	if err == nil {
		err = f.endCheck(s, resp)()
	}
	if err != nil {
		f.req.hold.Shrink(int64(cap(body)))
		return err
	}
	f.req.hold.Shrink(int64(cap(f.lastFailure.body)))
	f.lastFailure = heldFailure{resp, body}
	return nil
}

// relayHeld relays the response that is held back.
func (r *clientResponse) relayHeld(held heldFailure, closeConn bool) error {
	r.writeHeader(held.response, true, closeConn)
	_, err := r.writer.Write(held.body)
	return err
}
