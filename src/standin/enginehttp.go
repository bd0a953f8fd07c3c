package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/openai"
)

// Handler serves the engine's API and the admin API.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, q *http.Request) { e.serveCompletion(w, q, true) })
	r.HandleFunc("/v1/completions", func(w http.ResponseWriter, q *http.Request) { e.serveCompletion(w, q, false) })
	r.HandleFunc("/v1/streams/{id}", e.serveResume).Methods(http.MethodGet)
	r.HandleFunc("/v1/streams/{id}", e.serveCancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/state", e.serveState)
	r.HandleFunc("/v1/orders", e.serveOrder)
	r.HandleFunc("/v1/kv/import", e.serveImport)
	r.HandleFunc("/v1/kv/export/{id}", e.serveExport)
	r.HandleFunc("/admin/faults", e.serveFaults)
	r.HandleFunc("/admin/leave", e.serveLeave)
	r.HandleFunc("/admin/totals", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Totals()) })
	return r
}

// engineParams are request fields that engines support beyond the OpenAI API.
type engineParams struct {
	Priority int  `json:"priority"`
	Continue bool `json:"continue_final_message"` // the last message is the beginning of the completion
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	req, err := openai.Parse(body, chat)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var params engineParams
	_ = json.Unmarshal(body, &params)
	generated := ""
	if params.Continue && len(req.Messages) > 0 {
		generated = req.Messages[len(req.Messages)-1].Content
		req.Messages = req.Messages[:len(req.Messages)-1]
	}
	id := r.Header.Get(engine.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	e.mu.Lock()
	_, loaded := e.models[req.Model]
	s := newStream(id, req, generated, params.Priority)
	if loaded {
		e.enqueue(s)
	}
	e.mu.Unlock()
	if !loaded {
		http.Error(w, "model is not loaded", http.StatusServiceUnavailable)
		return
	}
	e.writeStream(w, r, s, 0)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	e.mu.Lock()
	s := e.streams[mux.Vars(r)["id"]]
	e.mu.Unlock()
	if s == nil || s.canceled {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	e.writeStream(w, r, s, after)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[mux.Vars(r)["id"]]
	if s == nil {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	s.canceled = true
	delete(e.streams, s.id)
	s.notify()
}

// writeStream writes the stream's tokens after the given index as they are decoded.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, after int) {
	e.setLoadHeaders(w.Header())
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	e.updateReaders(s, 1)
	defer e.updateReaders(s, -1)
	sent := after
	for {
		e.mu.Lock()
		tokens, done, canceled, changed := s.tokens, s.done, s.canceled, s.changed
		disconnectAfter := e.faults.DisconnectAfterTokens
		e.mu.Unlock()
		for sent < len(tokens) {
			sent++
			last := done && sent == len(tokens)
			writeToken(w, s, sent, tokens[sent-1], last)
			if disconnectAfter > 0 && sent-after >= disconnectAfter && !last {
				panic(http.ErrAbortHandler)
			}
		}
		if done {
			writeEnd(w, s, sent)
			return
		}
		w.(http.Flusher).Flush()
		if canceled {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-e.stopped:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

func (e *Engine) updateReaders(s *stream, n int) {
	e.mu.Lock()
	s.readers += n
	s.readersChanged = time.Now()
	e.mu.Unlock()
}

func writeToken(w io.Writer, s *stream, id int, text string, last bool) {
	var finish *string
	if last {
		reason := "length"
		finish = &reason
	}
	a := s.responseChunk()
	if s.chat {
		a.Choices = []openai.Choice{{Delta: &openai.Delta{Content: text}, FinishReason: finish}}
	} else {
		a.Choices = []openai.Choice{{Text: &text, FinishReason: finish}}
	}
	raw, _ := json.Marshal(a)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, raw)
}

func writeEnd(w io.Writer, s *stream, id int) {
	a := s.responseChunk()
	a.Choices = []openai.Choice{}
	a.Usage = &openai.Usage{PromptTokens: s.promptTokens, CompletionTokens: len(s.tokens), TotalTokens: s.promptTokens + len(s.tokens)}
	a.Usage.PromptDetails.CachedTokens = s.cachedTokens
	raw, _ := json.Marshal(a)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\ndata: %s\n\n", id, raw, openai.Done)
}

func (s *stream) responseChunk() openai.Answer {
	object := openai.ObjectText
	if s.chat {
		object = openai.ObjectChatChunk
	}
	return openai.Answer{ID: s.id, Object: object, Created: time.Now().Unix(), Model: s.model}
}

func (e *Engine) setLoadHeaders(h http.Header) {
	e.mu.Lock()
	st, leaving := e.reportedState(), e.leavingMS
	e.mu.Unlock()
	var l engine.Load
	l.Named.AtMS = float64(st.AtMS)
	l.Named.Running = float64(st.Running)
	l.Named.Waiting = float64(st.Waiting)
	l.Named.QueuedTokens = float64(st.QueuedTokens)
	l.Named.StepMS = st.StepMS
	raw, _ := json.Marshal(l)
	h.Set(engine.HeaderLoad, engine.LoadPrefix+string(raw))
	if leaving > 0 {
		h.Set(engine.HeaderLeaving, strconv.FormatInt(leaving, 10))
	}
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("cache_after"), 10, 64)
	e.mu.Lock()
	st := e.reportedState()
	st.LeavingMS, st.Epoch, st.CacheSeq = e.leavingMS, e.epoch, e.lastEventSeq
	for _, m := range e.models {
		st.Models = append(st.Models, m)
	}
	for name := range e.loading {
		st.Loading = append(st.Loading, name)
	}
	for _, ev := range e.events {
		if ev.Seq > after {
			st.Cache = append(st.Cache, ev)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, st)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !readJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Epoch < e.epoch {
		http.Error(w, "older epoch", http.StatusConflict)
		return
	}
	e.epoch = o.Epoch
	loaded := e.models[o.Name].Version == o.Version && o.Version != ""
	switch {
	case o.Op == engine.OpUnload:
		delete(e.models, o.Name)
	case !loaded && !e.loading[o.Name]:
		e.loading[o.Name] = true
		go e.load(o)
	}
}

func (e *Engine) load(o engine.Order) {
	ok := e.weights == ""
	if !ok {
		resp, err := http.Get(fmt.Sprintf("http://%s/v1/weights/%s/%s?bytes=%d", e.weights, o.Name, o.Version, o.Bytes))
		if err == nil {
			ok = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loading, o.Name)
	if ok {
		e.models[o.Name] = engine.LoadedModel{Name: o.Name, Version: o.Version}
	}
}

// kvExport describes the KV cache of a stream. The transfer is simulated: only
// the text is sent, and the importing engine waits as long as the cache would take.
type kvExport struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[mux.Vars(r)["id"]]
	var out kvExport
	if s != nil {
		out.Text = s.text
		for _, t := range s.tokens {
			out.Text += t
		}
		out.Tokens = s.promptTokens + len(s.tokens)
	}
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, out)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var req engine.Import
	if !readJSON(w, r, &req) {
		return
	}
	resp, err := http.Get("http://" + req.Source + "/v1/kv/export/" + req.Stream)
	if err != nil {
		http.Error(w, "source unreachable", http.StatusServiceUnavailable)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var exported kvExport
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&exported) != nil {
		http.Error(w, "source has no such stream", http.StatusServiceUnavailable)
		return
	}
	transferTime := time.Duration(float64(exported.Tokens) / e.shape.MoveTPS * float64(time.Second))
	select {
	case <-r.Context().Done():
		return
	case <-time.After(transferTime):
	}
	e.mu.Lock()
	e.insertCacheBlocks(engine.Blocks(exported.Text))
	e.mu.Unlock()
	w.Header().Set(engine.HeaderPulledTokens, strconv.Itoa(exported.Tokens))
}

func (e *Engine) serveLeave(w http.ResponseWriter, r *http.Request) {
	var body struct {
		DeadlineMS int64 `json:"deadline_ms"`
	}
	if readJSON(w, r, &body) {
		e.Leave(body.DeadlineMS)
	}
}

// postJSON sends v to another simulated service and ignores the status.
func postJSON(url string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
