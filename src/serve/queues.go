package serve

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/admit"
	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/route"
	"github.com/crankridge/crankridge/src/upstream"
)

const (
	dispatchInterval   = 10 * time.Millisecond
	holdTimeWeight     = 0.05 // weight of a new sample in the moving average
	initialHoldSeconds = 2.0  // start value of the moving average
	minRetryAfter      = 500 * time.Millisecond
	noEngineRetryAfter = 5 * time.Second
	bytesPerToken      = 5.0 // estimate for prompts
)

// modelQueues holds one admission queue per model. Queued requests are dispatched
// in fair order as engines have free slots.
type modelQueues struct {
	coord   *Coordinator
	mu      sync.Mutex
	byModel map[string]*modelQueue
	wake    chan struct{}
}

type modelQueue struct {
	queue       *admit.Queue
	holdSeconds float64 // moving average of the time a request holds its slot
	// preemptible are this node's repeatable streams of the model, which may be
	// preempted for an event.
	preemptible map[*completionRun]bool
	offered     []string  // engines where other nodes have preempted a stream for this one
	asking      bool      // other nodes are being asked for one
	askedAt     time.Time // when they were asked last
}

// waiter is a request for an engine slot. If it is queued, the slot is sent on its
// channel.
type waiter struct {
	promptBytes int
	blocks      []uint64 // prefix block hashes of the prompt
	resuming    bool     // the caller has received tokens, so the request must not be refused
	slot        chan engineSlot
}

// engineSlot is a reserved slot on an engine.
type engineSlot struct {
	route.Choice
	release func()
}

func (qs *modelQueues) start(c *Coordinator) {
	qs.coord = c
	qs.byModel = map[string]*modelQueue{}
	qs.wake = make(chan struct{}, 1)
	go qs.dispatchLoop()
}

// forModel returns the queue of a model and creates it if necessary. The caller
// must hold qs.mu.
func (qs *modelQueues) forModel(model string) *modelQueue {
	q := qs.byModel[model]
	if q == nil {
		q = &modelQueue{preemptible: map[*completionRun]bool{}, queue: admit.NewQueue(qs.coord.Settings.Limits.QueueEntries, qs.coord.Settings.Limits.QueueBytes), holdSeconds: initialHoldSeconds}
		qs.byModel[model] = q
	}
	return q
}

// dispatchLoop dispatches queued requests when notified and, while any wait, at
// intervals, because load estimates change as reports age.
func (qs *modelQueues) dispatchLoop() {
	for range qs.wake {
		for qs.dispatchAll() {
			select {
			case <-qs.wake:
			case <-time.After(dispatchInterval):
			}
		}
	}
}

// dispatchAll dispatches from all queues and reports whether any request still waits.
func (qs *modelQueues) dispatchAll() bool {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	waiting := false
	for model, q := range qs.byModel {
		qs.dispatch(model, q)
		waiting = waiting || q.queue.Len() > 0
	}
	return waiting
}

// waiting reports whether any request is queued.
func (qs *modelQueues) waiting() bool {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	for _, q := range qs.byModel {
		if q.queue.Len() > 0 {
			return true
		}
	}
	return false
}

func (qs *modelQueues) notify() {
	select {
	case qs.wake <- struct{}{}:
	default:
	}
}

func (qs *modelQueues) dispatch(model string, q *modelQueue) {
	for q.queue.Len() > 0 {
		entry, preferred := (*admit.Entry)(nil), ""
		if qs.hasCapacity(model) {
			entry = q.queue.Pop()
		} else if preferred = qs.preempt(model, q); preferred != "" {
			entry = q.queue.PopHighestPriority()
		}
		if entry == nil {
			return
		}
		w := entry.Value.(*waiter)
		slot, ok := qs.reserve(model, w, nil, preferred)
		if !ok {
			q.queue.PushUnbounded(entry)
			return
		}
		w.slot <- slot
	}
}

// preemptLowest preempts this node's stream of lowest priority if one outside any event can be
// preempted. It returns the stream's engine, which the queued request should take, or "". The
// preempted stream keeps its tokens and queues to continue. Streams that have not produced
// a new token are skipped, because they may still be queued at the engine.
func (q *modelQueue) preemptLowest() (engine string) {
	var victim *completionRun
	for r := range q.preemptible {
		if _, n := r.flight.Delivered(); n <= r.baseTokens {
			continue
		}
		if r.req.Target.Priority < catalog.EventPriority && (victim == nil || r.req.Target.Priority < victim.req.Target.Priority) {
			victim = r
		}
	}
	if victim == nil {
		return ""
	}
	delete(q.preemptible, victim)
	close(victim.preempt)
	engine, _ = victim.flight.Location()
	return engine
}

// registerPreemptible registers a repeatable stream for preemption; the returned
// function unregisters it.
func (qs *modelQueues) registerPreemptible(r *completionRun) (unregister func()) {
	if !r.req.Repeatable {
		return func() {}
	}
	qs.mu.Lock()
	defer qs.mu.Unlock()
	q := qs.forModel(r.completion.Model)
	q.preemptible[r] = true
	return func() {
		qs.mu.Lock()
		delete(q.preemptible, r)
		qs.mu.Unlock()
	}
}

// hasCapacity reports whether any engine of the model has a free slot.
func (qs *modelQueues) hasCapacity(model string) bool {
	for _, c := range qs.coord.candidates(model, nil) {
		if qs.hasFreeSlot(c) {
			return true
		}
	}
	return false
}

// hasFreeSlot reports whether the engine has fewer than
// Settings.Routing.Overshoot requests per slot.
func (qs *modelQueues) hasFreeSlot(c upstream.Candidate) bool {
	return c.Busy < c.Slots*qs.coord.Settings.Routing.Overshoot
}

// reserve chooses an engine and reserves a slot on it. The preferred engine is
// chosen if it is a candidate. The caller must hold qs.mu.
func (qs *modelQueues) reserve(model string, w *waiter, avoid map[string]bool, preferred string) (engineSlot, bool) {
	cands := qs.coord.candidates(model, w.blocks)
	if i := slices.IndexFunc(cands, func(c upstream.Candidate) bool { return c.Name == preferred }); i >= 0 {
		cands = cands[i : i+1]
	}
	choice, ok := qs.coord.choose(cands, route.Request{
		PromptBytes: w.promptBytes, Blocks: w.blocks, Avoid: avoid, AvoidDomain: qs.coord.Registry.LeavingDomains(),
	})
	if !ok {
		return engineSlot{}, false
	}
	uncachedTokens := max(float64(w.promptBytes)/bytesPerToken-float64(choice.CachedBlocks)*blockTokens*choice.CacheConfidence, 1)
	return engineSlot{choice, qs.coord.Registry.Begin(choice.Name, uncachedTokens, w.blocks)}, true
}

// blockTokens is the estimated number of tokens in a prefix block of 256 bytes.
const blockTokens = 256 / bytesPerToken

// acquireSlot reserves an engine slot, waiting in the queue if none is free. A new
// request that is expected to miss its time-to-first-token target is refused; a
// continued one is not.
func (c *Coordinator) acquireSlot(ctx context.Context, f *request.Flight, req Request) (engineSlot, *request.Answer) {
	prefix, delivered := f.Delivered()
	text := req.Completion.PromptText() + prefix
	w := &waiter{promptBytes: len(text), blocks: engine.Blocks(text), slot: make(chan engineSlot, 1), resuming: delivered > 0}
	entry, slot, refusal := c.queues.reserveOrEnqueue(req, w)
	if entry == nil {
		return slot, refusal
	}
	select {
	case slot := <-w.slot:
		return slot, nil
	case <-ctx.Done():
	}
	c.queues.mu.Lock()
	c.queues.forModel(req.Completion.Model).queue.Remove(entry)
	c.queues.mu.Unlock()
	select {
	case slot := <-w.slot:
		slot.release()
	default:
	}
	r := c.interruptedAnswer(f, req)
	return engineSlot{}, &r
}

func (qs *modelQueues) reserveOrEnqueue(req Request, w *waiter) (*admit.Entry, engineSlot, *request.Answer) {
	model := req.Completion.Model
	qs.mu.Lock()
	defer qs.mu.Unlock()
	cands := qs.coord.candidates(model, w.blocks)
	if len(cands) == 0 && !w.resuming {
		r := request.Refused(http.StatusServiceUnavailable, codeNoUpstream, "no engine holds model "+model+" just now", qs.coord.noEngineRetryAfter(model))
		return nil, engineSlot{}, &r
	}
	q := qs.forModel(model)
	if q.queue.Len() == 0 && qs.hasCapacity(model) {
		if slot, ok := qs.reserve(model, w, nil, ""); ok {
			if over := slot.TTFT - qs.ttftTarget(req); over > 0 && !w.resuming {
				slot.release()
				return nil, engineSlot{}, overloadedAnswer(over)
			}
			return nil, slot, nil
		}
	}
	wait := q.estimateWait(cands, req, len(qs.coord.Fleet.Nodes()))
	if over := wait - qs.ttftTarget(req); over > 0 && !w.resuming {
		return nil, engineSlot{}, overloadedAnswer(over)
	}
	entry := &admit.Entry{
		Customer: req.Customer, Weight: req.Target.Weight, Priority: req.Target.Priority, Cost: 1, Bytes: w.promptBytes, EnqueuedAt: qs.coord.Now(), Value: w,
	}
	if w.resuming {
		q.queue.PushUnbounded(entry)
	} else if !q.queue.Push(entry) {
		return nil, engineSlot{}, overloadedAnswer(wait)
	}
	qs.notify()
	return entry, engineSlot{}, nil
}

func overloadedAnswer(retryAfter time.Duration) *request.Answer {
	r := request.Refused(http.StatusTooManyRequests, codeOverload, "the first token would come too late; nothing was sent", request.Jitter(max(retryAfter, minRetryAfter)))
	return &r
}

func (qs *modelQueues) ttftTarget(req Request) time.Duration {
	if req.Target.FirstToken > 0 {
		return req.Target.FirstToken
	}
	return qs.coord.Settings.Limits.FirstToken
}

// estimateWait estimates how long a new request would wait in the queue: the cost of
// the requests ahead of it, divided by the slots released per second. A slot is
// released holdSeconds after it was taken, on average, and each of the nodes uses
// an equal share of all slots.
func (q *modelQueue) estimateWait(cands []upstream.Candidate, req Request, nodes int) time.Duration {
	slots := 0.0
	for _, c := range cands {
		slots += c.Slots
	}
	rate := slots / q.holdSeconds / float64(max(nodes, 1))
	ahead := q.queue.CostAhead(req.Customer, req.Target.Weight, req.Target.Priority)
	return time.Duration((ahead + 1) / rate * float64(time.Second))
}

// recordHoldTime updates the average slot hold time of a model.
func (qs *modelQueues) recordHoldTime(model string, held time.Duration) {
	qs.mu.Lock()
	q := qs.forModel(model)
	q.holdSeconds += holdTimeWeight * (held.Seconds() - q.holdSeconds)
	qs.mu.Unlock()
	qs.notify()
}

// candidates returns the engines of the model that this node uses: at
// most Settings.Routing.Subset of them, chosen by route.Subset, or all if it is 0.
func (c *Coordinator) candidates(model string, blocks []uint64) []upstream.Candidate {
	cands := c.Registry.Candidates(model, blocks)
	size := c.Settings.Routing.Subset
	if size <= 0 || size >= len(cands) {
		return cands
	}
	domains := map[string]string{}
	for _, cand := range cands {
		domains[cand.Name] = cand.FailureDomain
	}
	subset := route.Subset(domains, c.Self.Name, size)
	var selected []upstream.Candidate
	for _, cand := range cands {
		if subset[cand.Name] {
			selected = append(selected, cand)
		}
	}
	return selected
}

func (c *Coordinator) choose(cands []upstream.Candidate, r route.Request) (route.Choice, bool) {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	return c.router.chooser.Choose(cands, r, c.router.rng)
}
