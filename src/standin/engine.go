package standin

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/openai"
)

// EngineShape is how fast and how large a model engine is.
type EngineShape struct {
	Slots       int     `json:"slots"`        // streams decoded together
	PrefillTPS  float64 `json:"prefill_tps"`  // prompt tokens a second, all streams together
	StepMS      float64 `json:"step_ms"`      // time of a decode step with one stream
	StepPerSeq  float64 `json:"step_per_seq"` // ms added by each further stream
	CacheBlocks int     `json:"cache_blocks"`
	MoveTPS     float64 `json:"move_tps"` // KV cache moved, tokens a second
	LagMS       int     `json:"lag_ms"`   // age of the load report
}

// DefaultShape is used for what is not set.
var DefaultEngineShape = EngineShape{Slots: 32, PrefillTPS: 8000, StepMS: 10, StepPerSeq: 0.1, CacheBlocks: 4096, MoveTPS: 50000, LagMS: 200}

// EngineFaults are the ways in which an engine can fail.
type EngineFaults struct {
	Hang                  bool    `json:"hang"`        // accepts, makes no progress
	DisconnectAfterTokens int     `json:"cut_after"`   // breaks each connection after so many tokens; 0 for never
	Slow                  float64 `json:"slow"`        // factor on every time; 0 means 1
	DropCacheEvents       float64 `json:"lose_events"` // share of cache events never reported
}

const (
	orphanLife = 30 * time.Second
	eventsKept = 512
)

// Engine is a model engine. The next token depends on all text before it, as
// with a real model sampled greedily, so a continued answer can be compared
// with an undisturbed one.
type Engine struct {
	mu        sync.Mutex
	name      string
	shape     EngineShape
	faults    EngineFaults
	weights   string
	models    map[string]engine.LoadedModel
	loading   map[string]bool
	waiting   []*stream
	running   []*stream
	streams   map[string]*stream
	cache     map[uint64]int64
	cacheUse  int64
	events    []engine.CacheEvent
	eventSeq  int64
	reports   []engine.State
	leavingMS int64
	epoch     int64
	order     int64
	wake      chan struct{}
	stopped   chan struct{}
	totals    EngineTotals
}

// EngineTotals count what the engine has done since it started.
type EngineTotals struct {
	Prefilled int64 `json:"prefilled"` // prompt tokens computed
	Cached    int64 `json:"cached"`    // prompt tokens found in the cache
	Decoded   int64 `json:"decoded"`
	Streams   int64 `json:"streams"`
}

type stream struct {
	id        string
	chat      bool
	model     string
	priority  int
	order     int64
	text      string
	hash      *xxhash.Digest
	prompt    int
	cached    int
	left      int // prompt tokens still to prefill
	limit     int
	tokens    []string
	done      bool
	canceled  bool
	changed   chan struct{}
	readerOff time.Time
	readers   int
}

// NewEngine starts an engine that holds the given models. weights is the
// address of the weight store, "" when orders load at once.
func NewEngine(name string, shape EngineShape, weights string, models ...engine.LoadedModel) *Engine {
	e := &Engine{
		name: name, shape: shape.filled(), weights: weights,
		models: map[string]engine.LoadedModel{}, loading: map[string]bool{},
		streams: map[string]*stream{}, cache: map[uint64]int64{},
		wake: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
	for _, m := range models {
		e.models[m.Name] = m
	}
	go e.run()
	return e
}

func (s EngineShape) filled() EngineShape {
	d := DefaultEngineShape
	if s.Slots > 0 {
		d.Slots = s.Slots
	}
	if s.PrefillTPS > 0 {
		d.PrefillTPS = s.PrefillTPS
	}
	if s.StepMS > 0 {
		d.StepMS = s.StepMS
	}
	if s.StepPerSeq > 0 {
		d.StepPerSeq = s.StepPerSeq
	}
	if s.CacheBlocks > 0 {
		d.CacheBlocks = s.CacheBlocks
	}
	if s.MoveTPS > 0 {
		d.MoveTPS = s.MoveTPS
	}
	if s.LagMS > 0 {
		d.LagMS = s.LagMS
	}
	return d
}

// Stop ends the engine as a VM that is gone.
func (e *Engine) Stop() { close(e.stopped) }

// Leave makes the engine say that it is leaving; the deadline is Unix ms.
func (e *Engine) Leave(deadlineMS int64) {
	e.mu.Lock()
	e.leavingMS = deadlineMS
	e.mu.Unlock()
}

// run is the batching loop: each round admits, prefills, and decodes one token
// of every stream that is past its prefill.
func (e *Engine) run() {
	last := time.Now()
	for {
		e.mu.Lock()
		busy := len(e.waiting)+len(e.running) > 0 && !e.faults.Hang
		var pause time.Duration
		if busy {
			pause = e.round()
		}
		e.report()
		e.mu.Unlock()
		if !busy {
			select {
			case <-e.stopped:
				return
			case <-e.wake:
			case <-time.After(time.Duration(e.shape.LagMS) * time.Millisecond / 2):
			}
			last = time.Now()
			continue
		}
		// Aim at the time the round should end, so that sleeps do not add up.
		last = last.Add(pause)
		if late := time.Since(last); late > pause {
			last = time.Now()
		}
		select {
		case <-e.stopped:
			return
		case <-time.After(time.Until(last)):
		}
	}
}

func (e *Engine) round() time.Duration {
	e.admit()
	slow := max(e.faults.Slow, 1)
	step := (e.shape.StepMS + e.shape.StepPerSeq*float64(len(e.running)-1)) * slow
	budget := int(e.shape.PrefillTPS * step / 1000 / slow)
	var kept []*stream
	for _, s := range e.running {
		if s.left > 0 && !s.canceled {
			used := min(s.left, max(budget, 1))
			budget -= used
			s.left -= used
			e.totals.Prefilled += int64(used)
			if s.left == 0 {
				e.store(engine.Blocks(s.text))
			}
		} else if !s.canceled {
			s.next()
			e.totals.Decoded++
		}
		if !s.done && !s.canceled {
			kept = append(kept, s)
		} else {
			s.notify()
		}
	}
	e.running = kept
	e.dropOrphans()
	return time.Duration(step * float64(time.Millisecond))
}

func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *stream) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return int(a.order - b.order)
	})
	for len(e.waiting) > 0 && len(e.running) < e.shape.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.canceled {
			continue
		}
		s.cached = min(e.cachedTokens(s.text), s.prompt-1)
		s.left = s.prompt - s.cached
		e.totals.Cached += int64(s.cached)
		e.running = append(e.running, s)
	}
}

func (e *Engine) dropOrphans() {
	for id, s := range e.streams {
		if s.readers == 0 && !s.readerOff.IsZero() && time.Since(s.readerOff) > orphanLife {
			s.canceled = true
			delete(e.streams, id)
		}
	}
}

// cachedTokens is the length of the longest prefix whose blocks are held.
func (e *Engine) cachedTokens(text string) int {
	held := 0
	for _, b := range engine.Blocks(text) {
		if _, ok := e.cache[b]; !ok {
			break
		}
		e.cacheUse++
		e.cache[b] = e.cacheUse
		held++
	}
	return countTokens(text[:min(len(text), held*blockBytes)])
}

const blockBytes = 256

func (e *Engine) store(blocks []uint64) {
	for _, b := range blocks {
		if _, ok := e.cache[b]; !ok {
			e.emit(engine.CacheEvent{Block: b})
		}
		e.cacheUse++
		e.cache[b] = e.cacheUse
	}
	for len(e.cache) > e.shape.CacheBlocks {
		var oldest uint64
		use := e.cacheUse + 1
		for b, u := range e.cache {
			if u < use {
				oldest, use = b, u
			}
		}
		delete(e.cache, oldest)
		e.emit(engine.CacheEvent{Block: oldest, Evicted: true})
	}
}

func (e *Engine) emit(ev engine.CacheEvent) {
	e.eventSeq++
	ev.Seq = e.eventSeq
	lost := float64(xxhash.Sum64String(e.name+string(rune(ev.Seq)))%1000)/1000 < e.faults.DropCacheEvents
	if !lost {
		e.events = append(e.events, ev)
	}
	if len(e.events) > eventsKept {
		e.events = e.events[len(e.events)-eventsKept:]
	}
}

// report keeps past readings, so that the one shown can lag.
func (e *Engine) report() {
	now := e.reading()
	e.reports = append(e.reports, now)
	lag := int64(e.shape.LagMS)
	for len(e.reports) > 1 && e.reports[1].AtMS <= now.AtMS-lag {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) reading() engine.State {
	st := engine.State{
		Name: e.name, AtMS: time.Now().UnixMilli(), Running: len(e.running), Waiting: len(e.waiting),
		Slots: e.shape.Slots, PrefillTPS: e.shape.PrefillTPS,
		StepMS: e.shape.StepMS + e.shape.StepPerSeq*float64(max(len(e.running)-1, 0)),
	}
	for _, s := range e.running {
		st.QueuedTokens += s.left
	}
	for _, s := range e.waiting {
		st.QueuedTokens += s.prompt
	}
	return st
}

func (e *Engine) lagged() engine.State {
	if len(e.reports) == 0 {
		return e.reading()
	}
	return e.reports[0]
}

func (e *Engine) add(s *stream) {
	e.order++
	s.order = e.order
	e.totals.Streams++
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func newStream(id string, req openai.Request, given string, priority int) *stream {
	s := &stream{id: id, chat: req.Chat, model: req.Model, priority: priority, limit: req.MaxTokens, changed: make(chan struct{})}
	s.text = req.PromptText() + given
	s.hash = xxhash.New()
	_, _ = s.hash.WriteString(req.Model + "\x00" + s.text)
	s.prompt = max(countTokens(s.text), 1)
	return s
}

// next adds the token that follows from all text so far.
func (s *stream) next() {
	word := " " + vocabulary[s.hash.Sum64()%uint64(len(vocabulary))]
	_, _ = s.hash.WriteString(word)
	s.tokens = append(s.tokens, word)
	s.done = len(s.tokens) >= s.limit
	s.notify()
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func countTokens(text string) int { return len(strings.Fields(text)) }

var vocabulary = strings.Fields(`gravel climb ridge valley bridge descent gentle steep left right north south
river forest mile summit corner wind shade pavement loose narrow wide slow careful water rest view meadow
creek pass saddle fork trail road town cafe start finish rider group pace gear brake turn hold keep watch for the a
and then after before at on`)

// Totals returns the engine's counts.
func (e *Engine) Totals() EngineTotals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totals
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if !readJSON(w, r, &f) {
		return
	}
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
}
