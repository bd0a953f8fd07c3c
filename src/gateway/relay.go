package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/crankridge/crankridge/src/memory"
)

const (
	maxBufferedBytes = 1 << 20 // of a response that is read completely before it is relayed
	streamBufferSize = 16 << 10
	maxEventBytes    = 1 << 20

	// Bounds of a response, beyond which it counts as one without an end.
	maxUnsizedBytes  = 64 << 20 // without a length
	maxSizedBytes    = 1 << 30  // length that a response may state
	eventsPerToken   = 2        // events of a stream for each token that its request may generate
	extraEvents      = 64       // beyond these
	unlimitedEvents  = -1
	writeGracePeriod = 250 * time.Millisecond // from a request's deadline until its client's connection takes no more of the response
)

var (
	errTruncated     = errors.New("response truncated")
	errEventTooLarge = fmt.Errorf("stream event exceeds %d bytes", maxEventBytes)
	errEndless       = errors.New("response does not end")
)

// clientResponse is the response to the client and what has been sent of it.
type clientResponse struct {
	writer      http.ResponseWriter
	headerSent  bool
	events      int
	lastEventID string
	status      int
	version     string       // of the software of the server that sends the stream; empty if unknown
	maxEvents   int          // of a stream, or unlimitedEvents
	toNode      bool         // the response goes to a node that has forwarded the request
	hold        *memory.Hold // of what is read before it is relayed
}

func isEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// writeHeader relays the status and headers of the response, once.
func (r *clientResponse) writeHeader(resp *http.Response, keepLength bool, closeConn bool) {
	if r.headerSent {
		return
	}
	r.headerSent, r.status = true, resp.StatusCode
	header := r.writer.Header()
	upstreamHeader := resp.Header.Clone()
	removeHopByHopHeaders(upstreamHeader)
	for _, name := range nodeResponseHeaders {
		upstreamHeader.Del(name) // only a node says so
	}
	for name, values := range upstreamHeader {
		header[name] = values
	}
	if _, ok := header["Date"]; !ok {
		header["Date"] = nil // keeps net/http from adding its own
	}
	if !keepLength {
		header.Del("Content-Length")
	}
	if r.toNode && r.version != "" {
		header.Set(headerServerVersion, url.QueryEscape(r.version))
	}
	if closeConn {
		header.Set("Connection", "close")
	}
	r.writer.WriteHeader(resp.StatusCode)
}

// endCheck returns an error if a response that has been read to its end was broken off there.
type endCheck func() error

// relayWhole reads the response completely before relaying it, so that nothing
// is sent if reading fails. Beyond maxBufferedBytes, or what there is room for, it streams the
// rest.
func (r *clientResponse) relayWhole(resp *http.Response, closeConn bool, checkEnd endCheck) error {
	if resp.ContentLength > maxSizedBytes && resp.Request.Method != http.MethodHead {
		return errEndless
	}
	body, err := r.hold.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes), bufferSize(resp))
	defer r.hold.Shrink(int64(cap(body)))
	noRoom := errors.Is(err, memory.ErrFull)
	if err != nil && !noRoom {
		return fmt.Errorf("%w: %w", errTruncated, err)
	}
	if !noRoom && resp.ContentLength >= 0 && int64(len(body)) < min(resp.ContentLength, maxBufferedBytes) && resp.Request.Method != http.MethodHead {
		return errTruncated
	}
	whole := !noRoom && len(body) < maxBufferedBytes
	if whole {
		if err := checkEnd(); err != nil {
			return err
		}
	}
	r.writeHeader(resp, true, closeConn)
	if _, err := r.writer.Write(body); err != nil || whole {
		return err
	}
	if err := r.relayRest(resp, int64(len(body))); err != nil {
		return err
	}
	return checkEnd()
}

// bufferSize returns the size of the buffer for a body, negative if it is not known.
func bufferSize(resp *http.Response) int64 {
	if resp.Body == http.NoBody {
		return 0
	}
	return min(resp.ContentLength, maxBufferedBytes)
}

// relayRest relays the rest of a response of which the given number of bytes has been relayed.
func (r *clientResponse) relayRest(resp *http.Response, relayed int64) error {
	if resp.ContentLength >= 0 {
		_, err := io.Copy(r.writer, resp.Body)
		return err
	}
	left := maxUnsizedBytes - relayed
	count, err := io.Copy(r.writer, io.LimitReader(resp.Body, left))
	if err == nil && count == left {
		return errEndless
	}
	return err
}

// noEndCheck is the endCheck of responses whose framing shows their end.
func noEndCheck() error { return nil }

// relayStream relays complete events as they arrive, and calls onEvents before
// each write.
func (r *clientResponse) relayStream(resp *http.Response, closeConn bool, onEvents func(), checkEnd endCheck) error {
	flusher := http.NewResponseController(r.writer)
	var pending []byte
	received, held := int64(0), int64(0)
	defer func() { r.hold.Shrink(held) }()
	buffer := make([]byte, streamBufferSize)
	for {
		count, err := resp.Body.Read(buffer)
		if grown := int64(len(pending) + count - streamBufferSize); grown > held {
			// The buffer grows to twice what it needs at most.
			if !r.hold.Grow(2*grown - held) {
				return memory.ErrFull
			}
			held = 2 * grown
		}
		searched := max(len(pending)-len(eventSeparator)+1, 0) // no event ends before
		pending = append(pending, buffer[:count]...)
		received += int64(count)
		if end := bytes.LastIndex(pending[searched:], eventSeparator); end >= 0 {
			end += searched + len(eventSeparator)
			onEvents()
			r.writeHeader(resp, false, closeConn)
			r.recordEvents(pending[:end])
			if _, werr := r.writer.Write(pending[:end]); werr != nil {
				return werr
			}
			if ferr := flusher.Flush(); ferr != nil {
				return ferr
			}
			pending = append(pending[:0], pending[end:]...)
			if held > 0 && len(pending) <= streamBufferSize {
				pending = slices.Clone(pending)
				r.hold.Shrink(held)
				held = 0
			}
		}
		switch {
		case r.maxEvents != unlimitedEvents && r.events > r.maxEvents, received > maxUnsizedBytes:
			return errEndless
		case len(pending) > maxEventBytes:
			return errEventTooLarge
		case errors.Is(err, io.EOF):
			return r.finishStream(resp, pending, closeConn, checkEnd)
		case err != nil:
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
	}
}

var eventSeparator = []byte("\n\n")

// finishStream ends a stream at EOF; leftover bytes mean that it was truncated.
func (r *clientResponse) finishStream(resp *http.Response, pending []byte, closeConn bool, checkEnd endCheck) error {
	if len(bytes.TrimSpace(pending)) > 0 {
		return errTruncated
	}
	if err := checkEnd(); err != nil {
		return err
	}
	r.writeHeader(resp, false, closeConn)
	return nil
}

// recordEvents counts the given complete events that have data, and remembers the last event ID.
func (r *clientResponse) recordEvents(events []byte) {
	for event := range bytes.SplitSeq(events, eventSeparator) {
		hasData := false
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				r.lastEventID = string(bytes.TrimSpace(id))
			}
			hasData = hasData || bytes.HasPrefix(line, []byte("data:"))
		}
		if hasData {
			r.events++
		}
	}
}
