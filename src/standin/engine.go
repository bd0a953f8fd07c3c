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

// EngineShape is the speed and size of a simulated model engine.
type EngineShape struct {
	Slots       int     `json:"slots"`        // maximum batch size
	PrefillTPS  float64 `json:"prefill_tps"`  // prompt tokens per second, all streams together
	StepMS      float64 `json:"step_ms"`      // duration of a decode step with one stream, ms
	StepPerSeq  float64 `json:"step_per_seq"` // ms that each further stream adds to a step
	CacheBlocks int     `json:"cache_blocks"` // capacity of the prefix cache
	MoveTPS     float64 `json:"move_tps"`     // KV cache transfer rate, tokens per second
	LagMS       int     `json:"lag_ms"`       // age of the load report, ms
}

// DefaultEngineShape replaces the unset fields of an EngineShape.
var DefaultEngineShape = EngineShape{Slots: 32, PrefillTPS: 8000, StepMS: 10, StepPerSeq: 0.1, CacheBlocks: 4096, MoveTPS: 50000, LagMS: 200}

// EngineFaults are the faults that an engine simulates.
type EngineFaults struct {
	Hang                  bool    `json:"hang"`        // accept requests without making progress
	DisconnectAfterTokens int     `json:"cut_after"`   // close each connection after this many tokens; 0 for never
	Slow                  float64 `json:"slow"`        // factor on prefill and decode times; 0 means 1
	DropCacheEvents       float64 `json:"lose_events"` // fraction of cache events never reported
}

const (
	orphanTimeout  = 30 * time.Second
	maxCacheEvents = 512
)

// Engine simulates a model engine. Each token is a function of all text before it,
// as with greedy sampling, so tests can compare a resumed completion with an
// uninterrupted one.
type Engine struct {
	mu           sync.Mutex
	name         string
	shape        EngineShape
	faults       EngineFaults
	weights      string // address of the weight store
	models       map[string]engine.LoadedModel
	loading      map[string]bool
	waiting      []*stream
	running      []*stream
	streams      map[string]*stream
	cache        map[uint64]int64 // prefix block to cacheClock of its last use
	cacheClock   int64
	events       []engine.CacheEvent
	lastEventSeq int64
	stateHistory []engine.State
	leavingMS    int64 // Unix ms of the announced termination, or 0
	epoch        int64 // epoch of the last order accepted
	lastArrival  int64
	wake         chan struct{}
	stopped      chan struct{}
	totals       EngineTotals
}

// EngineTotals are counts since the engine started.
type EngineTotals struct {
	Prefilled int64 `json:"prefilled"` // prompt tokens computed
	Cached    int64 `json:"cached"`    // prompt tokens found in the prefix cache
	Decoded   int64 `json:"decoded"`   // tokens generated
	Streams   int64 `json:"streams"`   // requests accepted
}

type stream struct {
	id             string
	chat           bool
	model          string
	priority       int
	arrivalSeq     int64
	text           string
	hash           *xxhash.Digest
	promptTokens   int
	cachedTokens   int
	pendingPrefill int // prompt tokens still to prefill
	maxTokens      int
	tokens         []string
	done           bool
	canceled       bool
	changed        chan struct{}
	readersChanged time.Time // when a reader last connected or disconnected
	readers        int
}

// NewEngine starts an engine with the given models loaded. weights is the address
// of the weight store; if it is empty, further models load instantly.
func NewEngine(name string, shape EngineShape, weights string, models ...engine.LoadedModel) *Engine {
	e := &Engine{
		name: name, shape: shape.withDefaults(), weights: weights,
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

func (s EngineShape) withDefaults() EngineShape {
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

// Stop halts the engine and breaks its streams, as when its VM is terminated.
func (e *Engine) Stop() { close(e.stopped) }

// Leave makes the engine announce that its VM goes away at the deadline, in Unix ms.
func (e *Engine) Leave(deadlineMS int64) {
	e.mu.Lock()
	e.leavingMS = deadlineMS
	e.mu.Unlock()
}

// run is the continuous batching loop. Each step admits waiting streams, prefills
// prompts and decodes one token of every stream that has finished its prefill.
func (e *Engine) run() {
	last := time.Now()
	for {
		e.mu.Lock()
		busy := len(e.waiting)+len(e.running) > 0 && !e.faults.Hang
		var pause time.Duration
		if busy {
			pause = e.step()
		}
		e.recordState()
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
		// Sleep until the scheduled end of the step, so that oversleeping does not accumulate.
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

func (e *Engine) step() time.Duration {
	e.admit()
	slowdown := max(e.faults.Slow, 1)
	stepMS := (e.shape.StepMS + e.shape.StepPerSeq*float64(len(e.running)-1)) * slowdown
	prefillBudget := int(e.shape.PrefillTPS * stepMS / 1000 / slowdown) // tokens
	var running []*stream
	for _, s := range e.running {
		if s.pendingPrefill > 0 && !s.canceled {
			tokens := min(s.pendingPrefill, max(prefillBudget, 1))
			prefillBudget -= tokens
			s.pendingPrefill -= tokens
			e.totals.Prefilled += int64(tokens)
			if s.pendingPrefill == 0 {
				e.insertCacheBlocks(engine.Blocks(s.text))
			}
		} else if !s.canceled {
			s.decodeToken()
			e.totals.Decoded++
		}
		if !s.done && !s.canceled {
			running = append(running, s)
		} else {
			s.notify()
		}
	}
	e.running = running
	e.cancelOrphans()
	return time.Duration(stepMS * float64(time.Millisecond))
}

func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *stream) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return int(a.arrivalSeq - b.arrivalSeq)
	})
	for len(e.waiting) > 0 && len(e.running) < e.shape.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.canceled {
			continue
		}
		s.cachedTokens = min(e.cachedPrefixTokens(s.text), s.promptTokens-1)
		s.pendingPrefill = s.promptTokens - s.cachedTokens
		e.totals.Cached += int64(s.cachedTokens)
		e.running = append(e.running, s)
	}
}

// cancelOrphans cancels the streams that nobody has read for orphanTimeout.
func (e *Engine) cancelOrphans() {
	for id, s := range e.streams {
		if s.readers == 0 && !s.readersChanged.IsZero() && time.Since(s.readersChanged) > orphanTimeout {
			s.canceled = true
			delete(e.streams, id)
		}
	}
}

// cachedPrefixTokens returns the number of tokens in the longest cached prefix of text.
func (e *Engine) cachedPrefixTokens(text string) int {
	blocks := 0
	for _, b := range engine.Blocks(text) {
		if _, ok := e.cache[b]; !ok {
			break
		}
		e.cacheClock++
		e.cache[b] = e.cacheClock
		blocks++
	}
	return countTokens(text[:min(len(text), blocks*blockBytes)])
}

// blockBytes must equal the block size of engine.Blocks.
const blockBytes = 256

func (e *Engine) insertCacheBlocks(blocks []uint64) {
	for _, b := range blocks {
		if _, ok := e.cache[b]; !ok {
			e.emitCacheEvent(engine.CacheEvent{Block: b})
		}
		e.cacheClock++
		e.cache[b] = e.cacheClock
	}
	for len(e.cache) > e.shape.CacheBlocks {
		var oldest uint64
		lastUsed := e.cacheClock + 1
		for b, used := range e.cache {
			if used < lastUsed {
				oldest, lastUsed = b, used
			}
		}
		delete(e.cache, oldest)
		e.emitCacheEvent(engine.CacheEvent{Block: oldest, Evicted: true})
	}
}

func (e *Engine) emitCacheEvent(ev engine.CacheEvent) {
	e.lastEventSeq++
	ev.Seq = e.lastEventSeq
	dropped := float64(xxhash.Sum64String(e.name+string(rune(ev.Seq)))%1000)/1000 < e.faults.DropCacheEvents
	if !dropped {
		e.events = append(e.events, ev)
	}
	if len(e.events) > maxCacheEvents {
		e.events = e.events[len(e.events)-maxCacheEvents:]
	}
}

// recordState appends the current state to the history and drops the states that
// are older than needed to report the one of LagMS ago.
func (e *Engine) recordState() {
	now := e.currentState()
	e.stateHistory = append(e.stateHistory, now)
	lag := int64(e.shape.LagMS)
	for len(e.stateHistory) > 1 && e.stateHistory[1].AtMS <= now.AtMS-lag {
		e.stateHistory = e.stateHistory[1:]
	}
}

func (e *Engine) currentState() engine.State {
	st := engine.State{
		Name: e.name, AtMS: time.Now().UnixMilli(), Running: len(e.running), Waiting: len(e.waiting),
		Slots: e.shape.Slots, PrefillTPS: e.shape.PrefillTPS,
		StepMS: e.shape.StepMS + e.shape.StepPerSeq*float64(max(len(e.running)-1, 0)),
	}
	for _, s := range e.running {
		st.QueuedTokens += s.pendingPrefill
	}
	for _, s := range e.waiting {
		st.QueuedTokens += s.promptTokens
	}
	return st
}

func (e *Engine) reportedState() engine.State {
	if len(e.stateHistory) == 0 {
		return e.currentState()
	}
	return e.stateHistory[0]
}

func (e *Engine) enqueue(s *stream) {
	e.lastArrival++
	s.arrivalSeq = e.lastArrival
	e.totals.Streams++
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func newStream(id string, req openai.Request, generated string, priority int) *stream {
	s := &stream{id: id, chat: req.Chat, model: req.Model, priority: priority, maxTokens: req.MaxTokens, changed: make(chan struct{})}
	s.text = req.PromptText() + generated
	s.hash = xxhash.New()
	_, _ = s.hash.WriteString(req.Model + "\x00" + s.text)
	s.promptTokens = max(countTokens(s.text), 1)
	return s
}

// decodeToken appends the next token, which the hash of all text so far selects.
func (s *stream) decodeToken() {
	word := " " + vocabulary[s.hash.Sum64()%uint64(len(vocabulary))]
	_, _ = s.hash.WriteString(word)
	s.tokens = append(s.tokens, word)
	s.done = len(s.tokens) >= s.maxTokens
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

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if !readJSON(w, r, &f) {
		return
	}
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
}
