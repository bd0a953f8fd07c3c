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
	holdTimeWeight     = 0.05 // weight of a new reading of how long a slot is held
	initialHoldSeconds = 2.0  // seconds, before any reading
	minRetryAfter      = 500 * time.Millisecond
	noEngineRetryAfter = 5 * time.Second
	bytesPerToken      = 5.0
)

// lanes holds one queue a model. A request leaves its queue when some engine
// has room for it, in the fair order.
type modelQueues struct {
	c       *Coordinator
	mu      sync.Mutex
	byModel map[string]*modelQueue
	wake    chan struct{}
}

type modelQueue struct {
	queue       *admit.Queue
	holdSeconds float64 // seconds for which a request holds a slot, measured
	// yields are the streams of this node that can make room for an event.
	preemptible map[*completionRun]bool
}

// waiter is a queued request; it is answered by its channel.
type waiter struct {
	promptBytes int
	blocks      []uint64
	resuming    bool // its caller has tokens already, so it must not be refused
	slot        chan engineSlot
}

// granted is a place at an engine; end gives it back.
type engineSlot struct {
	route.Choice
	release func()
}

func (l *modelQueues) start(c *Coordinator) {
	l.c = c
	l.byModel = map[string]*modelQueue{}
	l.wake = make(chan struct{}, 1)
	go l.dispatchLoop()
}

func (l *modelQueues) forModel(model string) *modelQueue {
	ln := l.byModel[model]
	if ln == nil {
		ln = &modelQueue{preemptible: map[*completionRun]bool{}, queue: admit.NewQueue(l.c.Settings.Limits.QueueEntries, l.c.Settings.Limits.QueueBytes), holdSeconds: initialHoldSeconds}
		l.byModel[model] = ln
	}
	return ln
}

// run pumps the queues when something changed, and now and then while
// somebody waits, since reports age by themselves.
func (l *modelQueues) dispatchLoop() {
	for range l.wake {
		for l.dispatchAll() {
			select {
			case <-l.wake:
			case <-time.After(dispatchInterval):
			}
		}
	}
}

// pumpAll tells whether somebody still waits.
func (l *modelQueues) dispatchAll() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := false
	for model, ln := range l.byModel {
		l.dispatch(model, ln)
		waiting = waiting || ln.queue.Len() > 0
	}
	return waiting
}

// waiting tells whether any request waits for an engine.
func (l *modelQueues) waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ln := range l.byModel {
		if ln.queue.Len() > 0 {
			return true
		}
	}
	return false
}

func (l *modelQueues) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *modelQueues) dispatch(model string, ln *modelQueue) {
	for ln.queue.Len() > 0 {
		e, prefer := (*admit.Entry)(nil), ""
		if l.hasCapacity(model) {
			e = ln.queue.Pop()
		} else if prefer = ln.preemptLowest(); prefer != "" {
			e = ln.queue.PopHighestPriority()
		}
		if e == nil {
			return
		}
		w := e.Value.(*waiter)
		g, ok := l.reserve(model, w, nil, prefer)
		if !ok {
			ln.queue.PushUnbounded(e)
			return
		}
		w.slot <- g
	}
}

// makeRoom pauses the stream of lowest priority when a request of an event in
// force waits behind streams of no event, and names the engine where it ran:
// there the request goes first. What the stream has computed is kept; it
// queues for its continuation. A stream without a token may not run yet and
// would free nothing.
func (ln *modelQueue) preemptLowest() (engine string) {
	if ln.queue.HighestPriority() < catalog.EventPriority {
		return ""
	}
	var victim *completionRun
	for r := range ln.preemptible {
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
	delete(ln.preemptible, victim)
	close(victim.preempt)
	engine, _ = victim.flight.Location()
	return engine
}

// running enters a stream that may be asked to make room; the returned
// function takes it out.
func (l *modelQueues) registerPreemptible(r *completionRun) (out func()) {
	if !r.req.Repeatable {
		return func() {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ln := l.forModel(r.completion.Model)
	ln.preemptible[r] = true
	return func() {
		l.mu.Lock()
		delete(ln.preemptible, r)
		l.mu.Unlock()
	}
}

// room tells whether any engine of the model has a slot left.
func (l *modelQueues) hasCapacity(model string) bool {
	for _, c := range l.c.candidates(model, nil) {
		if l.hasFreeSlot(c) {
			return true
		}
	}
	return false
}

func (l *modelQueues) hasFreeSlot(c upstream.Candidate) bool {
	return c.Busy < c.Slots*l.c.Settings.Routing.Overshoot
}

// place chooses an engine and counts the request to it. prefer names the
// engine to take when it is a candidate, "" for none.
func (l *modelQueues) reserve(model string, w *waiter, avoid map[string]bool, prefer string) (engineSlot, bool) {
	cands := l.c.candidates(model, w.blocks)
	if i := slices.IndexFunc(cands, func(c upstream.Candidate) bool { return c.Name == prefer }); i >= 0 {
		cands = cands[i : i+1]
	}
	choice, ok := l.c.choose(cands, route.Request{
		PromptBytes: w.promptBytes, Blocks: w.blocks, Avoid: avoid, AvoidDomain: l.c.Registry.LeavingDomains(),
	})
	if !ok {
		return engineSlot{}, false
	}
	uncached := max(float64(w.promptBytes)/bytesPerToken-float64(choice.CachedBlocks)*blockTokens*choice.CacheConfidence, 1)
	return engineSlot{choice, l.c.Registry.Begin(choice.Name, uncached, w.blocks)}, true
}

// blockTokens is how many tokens a prefix block holds on average.
const blockTokens = 256 / bytesPerToken

// acquire gets a place: at once when an engine has room, else by the queue. A
// new request that cannot meet its latency is refused at once; one that goes
// on after the text given is not.
func (c *Coordinator) acquireSlot(ctx context.Context, f *request.Flight, req Request) (engineSlot, *request.Answer) {
	given, n := f.Delivered()
	text := req.Completion.PromptText() + given
	w := &waiter{promptBytes: len(text), blocks: engine.Blocks(text), slot: make(chan engineSlot, 1), resuming: n > 0}
	e, g, refusal := c.queues.reserveOrEnqueue(req, w)
	if e == nil {
		return g, refusal
	}
	select {
	case g := <-w.slot:
		return g, nil
	case <-ctx.Done():
	}
	c.queues.mu.Lock()
	c.queues.forModel(req.Completion.Model).queue.Remove(e)
	c.queues.mu.Unlock()
	select {
	case g := <-w.slot:
		g.release()
	default:
	}
	r := c.interruptedAnswer(f, req)
	return engineSlot{}, &r
}

func (l *modelQueues) reserveOrEnqueue(req Request, w *waiter) (*admit.Entry, engineSlot, *request.Answer) {
	model := req.Completion.Model
	l.mu.Lock()
	defer l.mu.Unlock()
	cands := l.c.candidates(model, w.blocks)
	if len(cands) == 0 && !w.resuming {
		r := request.Refused(http.StatusServiceUnavailable, codeNoUpstream, "no engine holds model "+model+" just now", request.Jitter(noEngineRetryAfter))
		return nil, engineSlot{}, &r
	}
	ln := l.forModel(model)
	if ln.queue.Len() == 0 && l.hasCapacity(model) {
		if g, ok := l.reserve(model, w, nil, ""); ok {
			if over := g.TTFT - l.ttftTarget(req); over > 0 && !w.resuming {
				g.release()
				return nil, engineSlot{}, overloadedAnswer(over)
			}
			return nil, g, nil
		}
	}
	wait := ln.estimateWait(cands, req, len(l.c.Fleet.Nodes()))
	if over := wait - l.ttftTarget(req); over > 0 && !w.resuming {
		return nil, engineSlot{}, overloadedAnswer(over)
	}
	e := &admit.Entry{
		Customer: req.Customer, Weight: req.Target.Share, Priority: req.Target.Priority, Cost: 1, Bytes: w.promptBytes, EnqueuedAt: l.c.Now(), Value: w,
	}
	if w.resuming {
		ln.queue.PushUnbounded(e)
	} else if !ln.queue.Push(e) {
		return nil, engineSlot{}, overloadedAnswer(wait)
	}
	l.notify()
	return e, engineSlot{}, nil
}

func overloadedAnswer(over time.Duration) *request.Answer {
	r := request.Refused(http.StatusTooManyRequests, codeOverload, "the first token would come too late; nothing was sent", request.Jitter(max(over, minRetryAfter)))
	return &r
}

func (l *modelQueues) ttftTarget(req Request) time.Duration {
	if req.Target.FirstToken > 0 {
		return req.Target.FirstToken
	}
	return l.c.Settings.Limits.FirstToken
}

// wait estimates when a request entering now would start: those ahead of it,
// over the rate at which this node's part of the slots comes free.
func (ln *modelQueue) estimateWait(cands []upstream.Candidate, req Request, nodes int) time.Duration {
	slots := 0.0
	for _, c := range cands {
		slots += c.Slots
	}
	rate := slots / ln.holdSeconds / float64(max(nodes, 1))
	ahead := ln.queue.CostAhead(req.Customer, req.Target.Share, req.Target.Priority)
	return time.Duration((ahead + 1) / rate * float64(time.Second))
}

// held takes in how long a request held its slot.
func (l *modelQueues) recordHoldTime(model string, d time.Duration) {
	l.mu.Lock()
	ln := l.forModel(model)
	ln.holdSeconds += holdTimeWeight * (d.Seconds() - ln.holdSeconds)
	l.mu.Unlock()
	l.notify()
}

// candidates are the engines of the model that this node follows.
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
	mine := route.Subset(domains, c.Self.Name, size)
	var out []upstream.Candidate
	for _, cand := range cands {
		if mine[cand.Name] {
			out = append(out, cand)
		}
	}
	return out
}

func (c *Coordinator) choose(cands []upstream.Candidate, r route.Request) (route.Choice, bool) {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	return c.router.chooser.Choose(cands, r, c.router.rng)
}
