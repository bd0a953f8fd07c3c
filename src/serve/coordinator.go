// Package serve implements the request coordinator, which claims, admits, routes,
// streams, moves and settles requests, and the keeper RPCs that store claims. The
// coordinator of a request is the node that received it; its keepers are the nodes
// that store the records of its key's shard.
package serve

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/crankridge/crankridge/src/admit"
	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/claim"
	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/member"
	"github.com/crankridge/crankridge/src/openai"
	"github.com/crankridge/crankridge/src/peer"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/route"
	"github.com/crankridge/crankridge/src/settings"
	"github.com/crankridge/crankridge/src/telemetry"
	"github.com/crankridge/crankridge/src/upstream"
)

// Request is a validated request of a caller.
type Request struct {
	Customer    string
	Target      catalog.Target
	Key         string // provided by the caller or issued, without the customer
	FirstUse    bool   // the key was issued for this request, or the caller marked it as its first try
	KeyProvided bool   // the key is the caller's, not issued
	Repeatable  bool
	Digest      []byte // hash of the request, by which the reuse of its key for another one is detected
	Deadline    time.Time
	Completion  *openai.Request // exactly one of Completion and Call is set
	Call        *Call
}

// Call is an HTTP call to a plain service.
type Call struct {
	Service string
	Method  string
	Path    string // including the query
	Header  map[string][]string
	Body    []byte
}

// Coordinator serves the requests received by one node. Its exported fields must be
// set before Start.
type Coordinator struct {
	Self     claim.Node
	Settings settings.Entry
	Fleet    *member.Fleet
	Registry *upstream.Registry
	Pool     *peer.Pool
	Ledger   *claim.Ledger
	Attempts *claim.Attempts
	Engines  *engine.Client
	Metrics  *telemetry.Metrics
	Limiter  *admit.Limiter
	Now      func() time.Time

	catalog     atomic.Pointer[catalog.Snapshot]
	shards      atomic.Pointer[claim.Map]
	retryBudget *request.Budget
	calls       *callSender
	queues      modelQueues
	router      router
	decisions   *telemetry.Journal

	mu         sync.Mutex
	flights    map[string]*request.Flight // by full key; most ended flights stay until Sweep drops them
	inProgress atomic.Int64
	baseCtx    context.Context
	cancelBase context.CancelFunc
}

// router guards the state and the random source of the routing policy.
type router struct {
	mu      sync.Mutex
	chooser *route.Chooser
	rng     *rand.Rand
}

// Start initializes the coordinator and starts its queue dispatcher.
func (c *Coordinator) Start() {
	c.retryBudget = request.NewBudget(c.Settings.Retries.Fraction, c.Settings.Retries.Burst)
	c.calls = newCallSender(c.Settings)
	c.router.chooser = route.NewChooser(route.Policy(c.Settings.Routing.Policy))
	c.router.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.flights = map[string]*request.Flight{}
	c.decisions = telemetry.NewJournal(maxJournalEntries)
	c.queues.start(c)
	c.baseCtx, c.cancelBase = context.WithCancel(context.Background())
	empty, _ := catalog.NewSnapshot(nil)
	c.catalog.Store(empty)
}

const maxJournalEntries = 16384

// SetCatalog replaces the active configuration.
func (c *Coordinator) SetCatalog(s *catalog.Snapshot) { c.catalog.Store(s) }

// Catalog returns the active configuration, which is empty at first.
func (c *Coordinator) Catalog() *catalog.Snapshot { return c.catalog.Load() }

// SetShards installs a shard map and returns the shards whose records this node
// must still fetch.
func (c *Coordinator) SetShards(m claim.Map) []int {
	c.shards.Store(&m)
	return c.Ledger.Observe(m)
}

// Shards returns the current shard map, or nil before the first one.
func (c *Coordinator) Shards() *claim.Map { return c.shards.Load() }

// OpenRequests returns the number of requests in progress.
func (c *Coordinator) OpenRequests() int { return int(c.inProgress.Load()) }

// Begin starts a request, or joins the existing flight of its key. A non-nil answer
// refuses the request.
func (c *Coordinator) Begin(req Request) (*request.Flight, *request.Answer) {
	fullKey := request.FullKey(req.Customer, req.Key)
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.flights[fullKey]; f != nil {
		if string(f.Digest) != string(req.Digest) {
			return nil, keyReused()
		}
		f.Touch(now)
		return f, nil
	}
	if c.OpenRequests() >= c.Settings.Limits.Flights {
		r := request.Refused(http.StatusServiceUnavailable, codeNodeFull, "this node carries as many requests as it may; use another address", request.Jitter(time.Second))
		if !req.FirstUse {
			r = earlierTryUnknown(r)
		}
		return nil, &r
	}
	ctx, cancel := context.WithDeadline(c.baseCtx, req.Deadline)
	id := uuid.NewString()
	f := request.NewFlight(fullKey, req.Digest, id, req.Repeatable, now, cancel)
	f.Customer, f.Priority = req.Customer, req.Target.Priority
	c.flights[fullKey] = f
	c.inProgress.Add(1)
	c.Attempts.Begin(id, now)
	go c.runFlight(ctx, f, req)
	return f, nil
}

func keyReused() *request.Answer {
	r := request.Refused(http.StatusUnprocessableEntity, codeKeyReused, "this Idempotency-Key was used for another request; use a new key", 0)
	return &r
}

// earlierTryUnknown turns a refusal into an indeterminate answer: an earlier try by
// the same key may have run.
func earlierTryUnknown(r request.Answer) request.Answer {
	r.Outcome = request.MayHaveRun
	r.Message += "; whether an earlier try by this key ran is not known here"
	return r
}

func (c *Coordinator) runFlight(ctx context.Context, f *request.Flight, req Request) {
	c.retryBudget.Earn()
	f.FirstUse = req.FirstUse
	answer := c.execute(ctx, f, req)
	c.settle(f, req, answer)
	notRun := answer.Outcome == request.NotRun
	if notRun && !f.FirstUse && answer.Code != codeKeyReused {
		answer = earlierTryUnknown(answer)
	}
	indeterminate := answer.Outcome == request.MayHaveRun && (req.Repeatable || c.Attempts.Released(f.Attempt))
	if notRun || indeterminate {
		// Let the next try by this key start over; it may get a definite answer.
		c.removeFlight(f)
	}
	if !f.Finish(answer) {
		c.Metrics.Dropped("answer")
	}
	f.Cancel()
	c.inProgress.Add(-1)
	kind := "call"
	if req.Completion != nil {
		kind = "completion"
	}
	c.Metrics.Request(kind, string(answer.Outcome))
	c.logOutcome(f, req, answer)
}

func (c *Coordinator) execute(ctx context.Context, f *request.Flight, req Request) request.Answer {
	if req.FirstUse && !req.KeyProvided && req.Repeatable {
		// Needs no claim: no other attempt can hold a key that was issued here,
		// and a repeatable request may run twice.
		return c.send(ctx, f, req, nil)
	}
	answer := yieldedAnswer()
	for range maxYields {
		answer = c.claimAndSend(ctx, f, req)
		if answer.Code != codeYielded {
			return answer
		}
		// Another attempt by the same key goes first: claim again to follow it.
		f.Attempt = uuid.NewString()
		c.Attempts.Begin(f.Attempt, c.Now())
	}
	return answer
}

const maxYields = 4

func yieldedAnswer() request.Answer {
	return request.Refused(http.StatusServiceUnavailable, codeYielded, "another try by the same key goes first", request.Jitter(defaultRetryAfter))
}

func (c *Coordinator) claimAndSend(ctx context.Context, f *request.Flight, req Request) request.Answer {
	f.Claimed = true
	res := c.claimKey(ctx, f, req)
	switch {
	case res.granted:
		c.decisions.Add(f.Key, "claimed", "attempt "+f.Attempt)
		f.FirstUse = f.FirstUse || res.neverSent
		return c.send(ctx, f, req, res.resumeFrom)
	case res.answer != nil:
		return *res.answer
	}
	return c.follow(ctx, f, req, res.holder)
}

func (c *Coordinator) send(ctx context.Context, f *request.Flight, req Request, resumeFrom *claim.Attempt) request.Answer {
	if r := c.checkRateLimit(req); r != nil {
		return *r
	}
	if req.Completion != nil {
		return c.complete(ctx, f, req, resumeFrom)
	}
	return c.call(ctx, f, req)
}

// checkRateLimit returns a refusal if the customer exceeds its request rate.
func (c *Coordinator) checkRateLimit(req Request) *request.Answer {
	cust, ok := c.Catalog().Customers[req.Customer]
	if !ok {
		return nil
	}
	allowed, retryAfter := c.Limiter.Allow(req.Customer, cust.Customer.RequestsPS, len(c.Fleet.Nodes()), c.Now())
	if allowed {
		return nil
	}
	r := request.Refused(http.StatusTooManyRequests, codeRateLimited, "the customer's limit of requests a second is reached", request.Jitter(retryAfter))
	return &r
}

// settle reports the end of the attempt to the keepers before the caller is
// answered, so that a caller that loses the answer can read it from them. For a
// non-repeatable request it waits until one of them has stored the answer.
func (c *Coordinator) settle(f *request.Flight, req Request, answer request.Answer) {
	if answer.Outcome == request.NotRun {
		c.Attempts.Withdraw(f.Attempt, c.Now())
	}
	if c.Attempts.Released(f.Attempt) {
		// The request did not run under this attempt. If another attempt holds the key,
		// that attempt's answer is the outcome of the request, not the one here.
		if f.Claimed {
			c.broadcastSettle(f, &peer.SettleRequest{Released: true})
		}
		return
	}
	c.Attempts.Finish(f.Attempt, c.Now())
	if answer.Code == codeNodeStopped {
		// The record stays unsettled so that another node can take the request over.
		return
	}
	if req.Repeatable && answer.Outcome == request.MayHaveRun {
		c.broadcastSettle(f, &peer.SettleRequest{Released: true})
		return
	}
	if !req.KeyProvided && req.Repeatable {
		// No other attempt uses a key that was issued here, and a repeatable
		// request may run again if its answer is lost.
		return
	}
	stored := answer
	if req.Completion != nil {
		stored.Tokens = f.Tokens()
	}
	raw := stored.Encode()
	if len(raw) > c.Settings.Claims.KeptBytes {
		return
	}
	applied := c.broadcastSettle(f, &peer.SettleRequest{Answer: raw})
	if !req.Repeatable {
		select {
		case <-applied:
		case <-time.After(c.Settings.Claims.Timeout):
		}
	}
}

func (c *Coordinator) removeFlight(f *request.Flight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flights[f.Key] == f {
		delete(c.flights, f.Key)
	}
}

// FindFlight returns this node's flight of a full key, or nil.
func (c *Coordinator) FindFlight(fullKey string) *request.Flight {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flights[fullKey]
}

// Sweep cancels abandoned flights and drops expired flights, records and attempts.
func (c *Coordinator) Sweep() {
	now := c.Now()
	c.mu.Lock()
	var abandoned []*request.Flight
	for key, f := range c.flights {
		ended := f.Answer() != nil
		switch {
		case ended && now.Sub(f.StartedAt) > c.Settings.Claims.Window:
			delete(c.flights, key)
		case ended && f.Repeatable && f.Abandoned(now, c.Settings.Limits.Orphan):
			delete(c.flights, key)
		case !ended && f.Repeatable && f.Abandoned(now, c.Settings.Limits.Orphan):
			abandoned = append(abandoned, f)
		}
	}
	c.mu.Unlock()
	for _, f := range abandoned {
		f.Cancel()
	}
	c.Ledger.Expire(now)
	c.Attempts.Expire(now, c.Settings.Claims.Window)
}

// WaitIdle returns once no request is in progress, or when ctx ends.
func (c *Coordinator) WaitIdle(ctx context.Context) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for c.OpenRequests() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// CancelAll cancels all requests in progress.
func (c *Coordinator) CancelAll() { c.cancelBase() }
