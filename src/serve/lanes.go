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
	pumpEvery    = 10 * time.Millisecond
	holdNew      = 0.05 // weight of a new reading of how long a slot is held
	holdFirst    = 2.0  // seconds, before any reading
	retryLeast   = 500 * time.Millisecond
	retryNoModel = 5 * time.Second
	bytesPerTok  = 5.0
)

// lanes holds one queue a model. A request leaves its queue when some engine
// has room for it, in the fair order.
type lanes struct {
	c     *Coordinator
	mu    sync.Mutex
	lanes map[string]*lane
	wake  chan struct{}
}

type lane struct {
	queue *admit.Queue
	hold  float64 // seconds for which a request holds a slot, measured
	// yields are the streams of this node that can make room for an event.
	yields map[*run]bool
}

// waiter is a queued request; it is answered by its channel.
type waiter struct {
	text   int
	blocks []uint64
	begun  bool // its caller has tokens already, so it must not be refused
	got    chan granted
}

// granted is a place at an engine; end gives it back.
type granted struct {
	route.Choice
	end func()
}

func (l *lanes) start(c *Coordinator) {
	l.c = c
	l.lanes = map[string]*lane{}
	l.wake = make(chan struct{}, 1)
	go l.run()
}

func (l *lanes) lane(model string) *lane {
	ln := l.lanes[model]
	if ln == nil {
		ln = &lane{yields: map[*run]bool{}, queue: admit.NewQueue(l.c.Settings.Limits.QueueEntries, l.c.Settings.Limits.QueueBytes), hold: holdFirst}
		l.lanes[model] = ln
	}
	return ln
}

// run pumps the queues when something changed, and now and then while
// somebody waits, since reports age by themselves.
func (l *lanes) run() {
	for range l.wake {
		for l.pumpAll() {
			select {
			case <-l.wake:
			case <-time.After(pumpEvery):
			}
		}
	}
}

// pumpAll tells whether somebody still waits.
func (l *lanes) pumpAll() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := false
	for model, ln := range l.lanes {
		l.pump(model, ln)
		waiting = waiting || ln.queue.Len() > 0
	}
	return waiting
}

// waiting tells whether any request waits for an engine.
func (l *lanes) waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ln := range l.lanes {
		if ln.queue.Len() > 0 {
			return true
		}
	}
	return false
}

func (l *lanes) kick() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *lanes) pump(model string, ln *lane) {
	for ln.queue.Len() > 0 {
		e, prefer := (*admit.Entry)(nil), ""
		if l.room(model) {
			e = ln.queue.Pop()
		} else if prefer = ln.makeRoom(); prefer != "" {
			e = ln.queue.PopHighestPriority()
		}
		if e == nil {
			return
		}
		w := e.Value.(*waiter)
		g, ok := l.place(model, w, nil, prefer)
		if !ok {
			ln.queue.PushUnbounded(e)
			return
		}
		w.got <- g
	}
}

// makeRoom pauses the stream of lowest priority when a request of an event in
// force waits behind streams of no event, and names the engine where it ran:
// there the request goes first. What the stream has computed is kept; it
// queues for its continuation. A stream without a token may not run yet and
// would free nothing.
func (ln *lane) makeRoom() (engine string) {
	if ln.queue.HighestPriority() < catalog.EventPriority {
		return ""
	}
	var victim *run
	for r := range ln.yields {
		if _, n := r.f.Delivered(); n <= r.base {
			continue
		}
		if r.a.Target.Priority < catalog.EventPriority && (victim == nil || r.a.Target.Priority < victim.a.Target.Priority) {
			victim = r
		}
	}
	if victim == nil {
		return ""
	}
	delete(ln.yields, victim)
	close(victim.pause)
	engine, _ = victim.f.Location()
	return engine
}

// running enters a stream that may be asked to make room; the returned
// function takes it out.
func (l *lanes) running(r *run) (out func()) {
	if !r.a.Repeatable {
		return func() {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ln := l.lane(r.req.Model)
	ln.yields[r] = true
	return func() {
		l.mu.Lock()
		delete(ln.yields, r)
		l.mu.Unlock()
	}
}

// room tells whether any engine of the model has a slot left.
func (l *lanes) room(model string) bool {
	for _, c := range l.c.candidates(model, nil) {
		if l.fits(c) {
			return true
		}
	}
	return false
}

func (l *lanes) fits(c upstream.Candidate) bool {
	return c.Busy < c.Slots*l.c.Settings.Routing.Overshoot
}

// place chooses an engine and counts the request to it. prefer names the
// engine to take when it is a candidate, "" for none.
func (l *lanes) place(model string, w *waiter, avoid map[string]bool, prefer string) (granted, bool) {
	cands := l.c.candidates(model, w.blocks)
	if i := slices.IndexFunc(cands, func(c upstream.Candidate) bool { return c.Name == prefer }); i >= 0 {
		cands = cands[i : i+1]
	}
	choice, ok := l.c.choose(cands, route.Request{
		PromptBytes: w.text, Blocks: w.blocks, Avoid: avoid, AvoidDomain: l.c.Registry.LeavingDomains(),
	})
	if !ok {
		return granted{}, false
	}
	uncached := max(float64(w.text)/bytesPerTok-float64(choice.CachedBlocks)*blockTokens*choice.CacheConfidence, 1)
	return granted{choice, l.c.Registry.Begin(choice.Name, uncached, w.blocks)}, true
}

// blockTokens is how many tokens a prefix block holds on average.
const blockTokens = 256 / bytesPerTok

// acquire gets a place: at once when an engine has room, else by the queue. A
// new request that cannot meet its latency is refused at once; one that goes
// on after the text given is not.
func (c *Coordinator) acquire(ctx context.Context, f *request.Flight, a Request) (granted, *request.Answer) {
	given, n := f.Delivered()
	text := a.Completion.PromptText() + given
	w := &waiter{text: len(text), blocks: engine.Blocks(text), got: make(chan granted, 1), begun: n > 0}
	e, g, refusal := c.lanes.enter(a, w)
	if e == nil {
		return g, refusal
	}
	select {
	case g := <-w.got:
		return g, nil
	case <-ctx.Done():
	}
	c.lanes.mu.Lock()
	c.lanes.lane(a.Completion.Model).queue.Remove(e)
	c.lanes.mu.Unlock()
	select {
	case g := <-w.got:
		g.end()
	default:
	}
	r := c.ended(f, a)
	return granted{}, &r
}

func (l *lanes) enter(a Request, w *waiter) (*admit.Entry, granted, *request.Answer) {
	model := a.Completion.Model
	l.mu.Lock()
	defer l.mu.Unlock()
	cands := l.c.candidates(model, w.blocks)
	if len(cands) == 0 && !w.begun {
		r := request.Refused(http.StatusServiceUnavailable, codeNoUpstream, "no engine holds model "+model+" just now", request.Jitter(retryNoModel))
		return nil, granted{}, &r
	}
	ln := l.lane(model)
	if ln.queue.Len() == 0 && l.room(model) {
		if g, ok := l.place(model, w, nil, ""); ok {
			if over := g.TTFT - l.target(a); over > 0 && !w.begun {
				g.end()
				return nil, granted{}, refuseLate(over)
			}
			return nil, g, nil
		}
	}
	wait := ln.wait(cands, a, len(l.c.Fleet.Nodes()))
	if over := wait - l.target(a); over > 0 && !w.begun {
		return nil, granted{}, refuseLate(over)
	}
	e := &admit.Entry{
		Customer: a.Customer, Weight: a.Target.Share, Priority: a.Target.Priority, Cost: 1, Bytes: w.text, EnqueuedAt: l.c.Now(), Value: w,
	}
	if w.begun {
		ln.queue.PushUnbounded(e)
	} else if !ln.queue.Push(e) {
		return nil, granted{}, refuseLate(wait)
	}
	l.kick()
	return e, granted{}, nil
}

func refuseLate(over time.Duration) *request.Answer {
	r := request.Refused(http.StatusTooManyRequests, codeOverload, "the first token would come too late; nothing was sent", request.Jitter(max(over, retryLeast)))
	return &r
}

func (l *lanes) target(a Request) time.Duration {
	if a.Target.FirstToken > 0 {
		return a.Target.FirstToken
	}
	return l.c.Settings.Limits.FirstToken
}

// wait estimates when a request entering now would start: those ahead of it,
// over the rate at which this node's part of the slots comes free.
func (ln *lane) wait(cands []upstream.Candidate, a Request, nodes int) time.Duration {
	slots := 0.0
	for _, c := range cands {
		slots += c.Slots
	}
	rate := slots / ln.hold / float64(max(nodes, 1))
	ahead := ln.queue.CostAhead(a.Customer, a.Target.Share, a.Target.Priority)
	return time.Duration((ahead + 1) / rate * float64(time.Second))
}

// held takes in how long a request held its slot.
func (l *lanes) held(model string, d time.Duration) {
	l.mu.Lock()
	ln := l.lane(model)
	ln.hold += holdNew * (d.Seconds() - ln.hold)
	l.mu.Unlock()
	l.kick()
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
	c.choosers.mu.Lock()
	defer c.choosers.mu.Unlock()
	return c.choosers.chooser.Choose(cands, r, c.choosers.rng)
}
