package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/openai"
	"github.com/crankridge/crankridge/src/request"
)

// serveCompletion returns the handler for chat or text completions.
func (s *Server) serveCompletion(chat bool) customerHandler {
	return func(w http.ResponseWriter, r *http.Request, cust catalog.Resource) {
		body, ok := s.readBody(w, r)
		if !ok {
			return
		}
		req, err := openai.Parse(body, chat)
		if err != nil {
			writeRejection(w, http.StatusBadRequest, "invalid_request", err.Error())
			return
		}
		snap := s.coord.Catalog()
		if _, isModel := snap.Models[req.Model]; !isModel {
			if _, isAdapter := snap.Adapters[req.Model]; !isAdapter {
				writeRejection(w, http.StatusNotFound, "model_not_found", "there is no model or adapter "+strconv.Quote(req.Model)+"; see /v1/models")
				return
			}
		}
		sreq, ok := s.parseRequest(w, r, cust, body, true)
		if !ok {
			return
		}
		sreq.Completion = &req
		after, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
		f, refusal := s.coord.Begin(sreq)
		if refusal != nil {
			writeError(w, *refusal)
			return
		}
		defer f.AddReader(s.coord.Now)()
		if req.Stream {
			s.streamEvents(w, r, f, &req, after)
			return
		}
		if answer := waitForAnswer(r, f); answer != nil {
			writeCompletion(w, f, &req, *answer)
		}
	}
}

// waitForAnswer returns the answer of the flight, or nil if the caller disconnects.
func waitForAnswer(r *http.Request, f *request.Flight) *request.Answer {
	for {
		_, answer, changed := f.Since(0)
		if answer != nil {
			return answer
		}
		select {
		case <-r.Context().Done():
			return nil
		case <-changed:
		}
	}
}

func writeCompletion(w http.ResponseWriter, f *request.Flight, req *openai.Request, a request.Answer) {
	if a.Outcome != request.Completed {
		writeError(w, a)
		return
	}
	tokens, _, _ := f.Since(0)
	text := strings.Join(tokens, "")
	out := newResponse(f, req, a, openai.ObjectText)
	choice := openai.Choice{FinishReason: &a.Finish}
	if req.Chat {
		out.Object = openai.ObjectChat
		choice.Message = &openai.Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	out.Choices = []openai.Choice{choice}
	out.Usage = usage(a, len(tokens))
	setOutcomeHeaders(w.Header(), a)
	writeJSON(w, http.StatusOK, out)
}

func newResponse(f *request.Flight, req *openai.Request, a request.Answer, object string) openai.Answer {
	_, key, _ := strings.Cut(f.Key, "/")
	created := a.Created
	if created == 0 {
		created = f.StartedAt.Unix()
	}
	return openai.Answer{ID: "cmpl-" + key, Object: object, Created: created, Model: req.Model}
}

func usage(a request.Answer, tokens int) *openai.Usage {
	u := &openai.Usage{PromptTokens: a.Prompt, CompletionTokens: tokens, TotalTokens: a.Prompt + tokens}
	u.PromptDetails.CachedTokens = a.Cached
	return u
}

// streamEvents sends the tokens that follow the first after tokens, as server-sent
// events. after is what a caller sent and may be out of range. The header is sent with the first event, so that a refusal can set the
// status.
func (s *Server) streamEvents(w http.ResponseWriter, r *http.Request, f *request.Flight, req *openai.Request, after int) {
	out := newEventWriter(w, s.config.Limits.WriteStall, f, req)
	sent := max(after, 0)
	for {
		tokens, answer, changed := f.Since(sent)
		if len(tokens) == 0 && answer == nil {
			select {
			case <-r.Context().Done():
				return
			case <-changed:
			}
			continue
		}
		if !out.started && answer != nil && answer.Outcome != request.Completed && len(tokens) == 0 {
			writeError(w, *answer)
			return
		}
		for _, t := range tokens {
			sent++
			out.token(sent, t)
		}
		if answer != nil {
			_, total := f.Delivered()
			out.end(min(sent, total), *answer)
		}
		if !out.flush() || answer != nil {
			return
		}
	}
}

// eventWriter writes the events of a stream. It encodes the constant parts of a
// chunk only once.
type eventWriter struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	writeTimeout time.Duration
	flight       *request.Flight
	req          *openai.Request
	buf          []byte
	prefix       string
	suffix       string
	started      bool
	rolePending  bool
}

func newEventWriter(w http.ResponseWriter, writeTimeout time.Duration, flight *request.Flight, req *openai.Request) *eventWriter {
	e := &eventWriter{w: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout, flight: flight, req: req, rolePending: req.Chat}
	object := openai.ObjectText
	if req.Chat {
		object = openai.ObjectChatChunk
	}
	h := newResponse(flight, req, request.Answer{}, object)
	h.Choices = nil
	raw, _ := json.Marshal(h)
	base := strings.TrimSuffix(string(raw), `"choices":null}`)
	if req.Chat {
		e.prefix = "\ndata: " + base + `"choices":[{"index":0,"delta":{`
		e.suffix = "},\"finish_reason\":null}]}\n\n"
	} else {
		e.prefix = "\ndata: " + base + `"choices":[{"index":0,`
		e.suffix = ",\"finish_reason\":null}]}\n\n"
	}
	return e
}

func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) token(id int, text string) {
	e.start()
	e.buf = append(e.buf, "id: "...)
	e.buf = strconv.AppendInt(e.buf, int64(id), 10)
	e.buf = append(e.buf, e.prefix...)
	switch {
	case e.req.Chat && e.rolePending:
		e.buf = append(e.buf, `"role":"assistant","content":`...)
		e.rolePending = false
	case e.req.Chat:
		e.buf = append(e.buf, `"content":`...)
	default:
		e.buf = append(e.buf, `"text":`...)
	}
	quoted, _ := json.Marshal(text)
	e.buf = append(e.buf, quoted...)
	e.buf = append(e.buf, e.suffix...)
}

// end buffers the finish reason, the usage if requested, and the end marker, or
// an error event if the request did not complete.
func (e *eventWriter) end(sent int, a request.Answer) {
	e.start()
	if a.Outcome != request.Completed {
		e.event(0, newErrorBody(a))
		return
	}
	object := openai.ObjectText
	empty := ""
	last := openai.Choice{FinishReason: &a.Finish, Text: &empty}
	if e.req.Chat {
		object = openai.ObjectChatChunk
		last = openai.Choice{FinishReason: &a.Finish, Delta: &openai.Delta{}}
	}
	out := newResponse(e.flight, e.req, a, object)
	out.Choices = []openai.Choice{last}
	e.event(sent+1, out)
	if e.req.IncludeUsage {
		out.Choices = []openai.Choice{}
		out.Usage = usage(a, sent)
		e.event(sent+2, out)
	}
	e.buf = append(e.buf, "data: "+openai.Done+"\n\n"...)
}

// event buffers an event with the JSON form of v. An id of 0 is left out.
func (e *eventWriter) event(id int, v any) {
	raw, _ := json.Marshal(v)
	if id > 0 {
		e.buf = append(e.buf, "id: "...)
		e.buf = strconv.AppendInt(e.buf, int64(id), 10)
		e.buf = append(e.buf, '\n')
	}
	e.buf = append(e.buf, "data: "...)
	e.buf = append(e.buf, raw...)
	e.buf = append(e.buf, "\n\n"...)
}

// flush sends the buffered events. It returns false if the caller has
// disconnected or reads too slowly.
func (e *eventWriter) flush() bool {
	_ = e.rc.SetWriteDeadline(time.Now().Add(e.writeTimeout))
	_, err := e.w.Write(e.buf)
	e.buf = e.buf[:0]
	if err == nil {
		err = e.rc.Flush()
	}
	return err == nil
}
