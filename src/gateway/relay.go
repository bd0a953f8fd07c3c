package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Bounds of answers.
const (
	bufferedMost = 1 << 20 // of an answer that is held until it is whole
	readBytes    = 16 << 10
	eventMost    = 1 << 20 // of one event of a stream
)

var (
	errBroken    = errors.New("answer ended before its end")
	errEventSize = errors.New("event is too large")
)

// reply is the answer to the client as far as it has gone out.
type reply struct {
	writer    http.ResponseWriter
	headSent  bool
	events    int
	lastEvent string
	status    int
}

func isEventStream(answer *http.Response) bool {
	return answer.StatusCode == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
}

// head passes the answer's status and headers on, once.
func (p *reply) head(answer *http.Response, length bool, closing bool) {
	if p.headSent {
		return
	}
	p.headSent, p.status = true, answer.StatusCode
	header := p.writer.Header()
	from := answer.Header.Clone()
	dropConnectionHeaders(from)
	for name, values := range from {
		header[name] = values
	}
	if _, ok := header["Date"]; !ok {
		header["Date"] = nil
	}
	if !length {
		header.Del("Content-Length")
	}
	if closing {
		header.Set("Connection", "close")
	}
	p.writer.WriteHeader(answer.StatusCode)
}

// whole reads an answer to its end and passes it on; nothing has gone out
// when it fails, unless the answer is too large to be held.
func (p *reply) whole(answer *http.Response, closing bool) error {
	raw, err := io.ReadAll(io.LimitReader(answer.Body, bufferedMost))
	if err != nil {
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	if answer.ContentLength >= 0 && int64(len(raw)) < min(answer.ContentLength, bufferedMost) && answer.Request.Method != http.MethodHead {
		return errBroken
	}
	p.head(answer, true, closing)
	if _, err := p.writer.Write(raw); err != nil {
		return err
	}
	if len(raw) < bufferedMost {
		return nil
	}
	_, err = io.Copy(p.writer, answer.Body)
	return err
}

// stream passes events on as they come, each as a whole. passing is called
// whenever some are passed on.
func (p *reply) stream(answer *http.Response, closing bool, passing func()) error {
	flusher := http.NewResponseController(p.writer)
	var pending []byte
	buffer := make([]byte, readBytes)
	for {
		count, err := answer.Body.Read(buffer)
		pending = append(pending, buffer[:count]...)
		if end := bytes.LastIndex(pending, eventEnd); end >= 0 {
			end += len(eventEnd)
			passing()
			p.head(answer, false, closing)
			p.note(pending[:end])
			if _, werr := p.writer.Write(pending[:end]); werr != nil {
				return werr
			}
			if ferr := flusher.Flush(); ferr != nil {
				return ferr
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case len(pending) > eventMost:
			return errEventSize
		case errors.Is(err, io.EOF):
			return p.finish(answer, pending, closing)
		case err != nil:
			return fmt.Errorf("%w: %w", errBroken, err)
		}
	}
}

var eventEnd = []byte("\n\n")

// finish ends a stream whose connection or body ended in order.
func (p *reply) finish(answer *http.Response, pending []byte, closing bool) error {
	if len(bytes.TrimSpace(pending)) > 0 {
		return errBroken
	}
	p.head(answer, false, closing)
	return nil
}

// note keeps the id of the last event in a series of whole events.
func (p *reply) note(events []byte) {
	for _, line := range bytes.Split(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			p.lastEvent = string(bytes.TrimSpace(id))
		}
		if bytes.HasPrefix(line, []byte("data:")) {
			p.events++
		}
	}
}
