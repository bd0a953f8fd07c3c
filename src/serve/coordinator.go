// Package serve carries requests: it is the coordinator that claims, admits,
// routes, streams, moves and settles them, and the keeper's side of claims.
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

// Ask is one request as it came from a caller, checked and with its customer.
type Request struct {
	Customer    string
	Target      catalog.Target
	Key         string // the caller's or issued; without the customer
	FirstUse    bool   // issued for this very request, or said by the caller to be its first try
	KeyProvided bool   // the caller gave the key
	Repeatable  bool
	Digest      []byte
	Deadline    time.Time
	Completion  *openai.Request // one of the two is set
	Call        *Call
}

// Call is a call of a plain service.
type Call struct {
	Service string
	Method  string
	Path    string // with query
	Header  map[string][]string
	Body    []byte
}

// Coordinator serves the requests of one node.
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

	catalog  atomic.Pointer[catalog.Snapshot]
	shards   atomic.Pointer[claim.Map]
	budget   *request.Budget
	calls    *callSender
	lanes    lanes
	choosers choosers
	explain  *telemetry.Journal

	mu      sync.Mutex
	flights map[string]*request.Flight
	open    atomic.Int64
	ending  context.Context
	end     context.CancelFunc
}

// choosers guards the route policy's state and random source.
type choosers struct {
	mu      sync.Mutex
	chooser *route.Chooser
	rng     *rand.Rand
}

// Start makes the coordinator ready for use once its public fields are set.
func (c *Coordinator) Start() {
	c.budget = request.NewBudget(c.Settings.Retries.Fraction, c.Settings.Retries.Burst)
	c.calls = newCallSender(c.Settings)
	c.choosers.chooser = route.NewChooser(route.Policy(c.Settings.Routing.Policy))
	c.choosers.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.flights = map[string]*request.Flight{}
	c.explain = telemetry.NewJournal(journalEntries)
	c.lanes.start(c)
	c.ending, c.end = context.WithCancel(context.Background())
	empty, _ := catalog.NewSnapshot(nil)
	c.catalog.Store(empty)
}

const journalEntries = 16384

// SetCatalog and SetShards take in what is newly in force.
func (c *Coordinator) SetCatalog(s *catalog.Snapshot) { c.catalog.Store(s) }

// Catalog is what is in force.
func (c *Coordinator) Catalog() *catalog.Snapshot { return c.catalog.Load() }

// SetShards takes in a newer shard map and returns the shards this node must
// still get the records of.
func (c *Coordinator) SetShards(m claim.Map) []int {
	c.shards.Store(&m)
	return c.Ledger.Observe(m)
}

// Shards is the shard map in force, or nil before there is one.
func (c *Coordinator) Shards() *claim.Map { return c.shards.Load() }

// Open is the number of requests in progress.
func (c *Coordinator) OpenRequests() int { return int(c.open.Load()) }

// Begin starts a request, or joins the flight of an earlier one by the same
// key. The returned answer, when not nil, refuses it.
func (c *Coordinator) Begin(a Request) (*request.Flight, *request.Answer) {
	full := request.FullKey(a.Customer, a.Key)
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.flights[full]; f != nil {
		if string(f.Digest) != string(a.Digest) {
			return nil, keyReused()
		}
		f.Touch(now)
		return f, nil
	}
	if c.OpenRequests() >= c.Settings.Limits.Flights {
		r := request.Refused(http.StatusServiceUnavailable, codeNodeFull, "this node carries as many requests as it may; use another address", request.Jitter(time.Second))
		if !a.FirstUse {
			r = uncertain(r)
		}
		return nil, &r
	}
	ctx, cancel := context.WithDeadline(c.ending, a.Deadline)
	id := uuid.NewString()
	f := request.NewFlight(full, a.Digest, id, a.Repeatable, now, cancel)
	f.Customer, f.Priority = a.Customer, a.Target.Priority
	c.flights[full] = f
	c.open.Add(1)
	c.Attempts.Begin(id, now)
	go c.fly(ctx, f, a)
	return f, nil
}

func keyReused() *request.Answer {
	r := request.Refused(http.StatusUnprocessableEntity, codeKeyReused, "this Idempotency-Key was used for another request; use a new key", 0)
	return &r
}

// uncertain says of a refusal that an earlier try by the same key may have run.
func uncertain(r request.Answer) request.Answer {
	r.Outcome = request.MayHaveRun
	r.Message += "; whether an earlier try by this key ran is not known here"
	return r
}

func (c *Coordinator) fly(ctx context.Context, f *request.Flight, a Request) {
	c.budget.Earn()
	f.FirstUse = a.FirstUse
	answer := c.run(ctx, f, a)
	c.settle(f, a, answer)
	unsent := answer.Outcome == request.NotRun
	if unsent && !f.FirstUse && answer.Code != codeKeyReused {
		answer = uncertain(answer)
	}
	unsure := answer.Outcome == request.MayHaveRun && (a.Repeatable || c.Attempts.Released(f.Attempt))
	if unsent || unsure {
		// The next try by this key begins anew: it may learn more.
		c.forget(f)
	}
	if !f.Finish(answer) {
		c.Metrics.Dropped("answer")
	}
	f.Cancel()
	c.open.Add(-1)
	kind := "call"
	if a.Completion != nil {
		kind = "completion"
	}
	c.Metrics.Request(kind, string(answer.Outcome))
	c.logEnd(f, a, answer)
}

func (c *Coordinator) run(ctx context.Context, f *request.Flight, a Request) request.Answer {
	if a.FirstUse && !a.KeyProvided && a.Repeatable {
		return c.send(ctx, f, a, nil)
	}
	answer := yielded()
	for range yieldsMost {
		answer = c.claimAndSend(ctx, f, a)
		if answer.Code != codeYielded {
			return answer
		}
		// The attempt gave way to another by the same key: join that one.
		f.Attempt = uuid.NewString()
		c.Attempts.Begin(f.Attempt, c.Now())
	}
	return answer
}

const yieldsMost = 4

func yielded() request.Answer {
	return request.Refused(http.StatusServiceUnavailable, codeYielded, "another try by the same key goes first", request.Jitter(retryShard))
}

func (c *Coordinator) claimAndSend(ctx context.Context, f *request.Flight, a Request) request.Answer {
	f.Claimed = true
	res := c.claimKey(ctx, f, a)
	switch {
	case res.granted:
		c.explain.Add(f.Key, "claimed", "attempt "+f.Attempt)
		f.FirstUse = f.FirstUse || res.first
		return c.send(ctx, f, a, res.place)
	case res.answer != nil:
		return *res.answer
	}
	return c.follow(ctx, f, a, res.holder)
}

func (c *Coordinator) send(ctx context.Context, f *request.Flight, a Request, place *claim.Attempt) request.Answer {
	if r := c.overLimit(a); r != nil {
		return *r
	}
	if a.Completion != nil {
		return c.complete(ctx, f, a, place)
	}
	return c.call(ctx, f, a)
}

// overLimit refuses what is above the customer's rate.
func (c *Coordinator) overLimit(a Request) *request.Answer {
	cust, ok := c.Catalog().Customers[a.Customer]
	if !ok {
		return nil
	}
	allowed, retry := c.Limiter.Allow(a.Customer, cust.Customer.RequestsPS, len(c.Fleet.Nodes()), c.Now())
	if allowed {
		return nil
	}
	r := request.Refused(http.StatusTooManyRequests, codeRateLimited, "the customer's limit of requests a second is reached", request.Jitter(retry))
	return &r
}

// settle tells the keepers how the attempt ended, before the caller is told:
// a caller who lost the answer finds it there.
func (c *Coordinator) settle(f *request.Flight, a Request, answer request.Answer) {
	if answer.Outcome == request.NotRun {
		c.Attempts.Withdraw(f.Attempt, c.Now())
	}
	if c.Attempts.Released(f.Attempt) {
		// Also when another attempt won: what this one was told is not the
		// fate of the request.
		if f.Claimed {
			c.tellKeepers(f, &peer.SettleRequest{Released: true})
		}
		return
	}
	c.Attempts.Finish(f.Attempt, c.Now())
	if answer.Code == codeNodeStopped {
		// The record stays open: another node takes the request up from it.
		return
	}
	if a.Repeatable && answer.Outcome == request.MayHaveRun {
		c.tellKeepers(f, &peer.SettleRequest{Released: true})
		return
	}
	if !a.KeyProvided && a.Repeatable {
		return
	}
	kept := answer
	if a.Completion != nil {
		kept.Tokens = f.Tokens()
	}
	raw := kept.Encode()
	if len(raw) > c.Settings.Claims.KeptBytes {
		return
	}
	told := c.tellKeepers(f, &peer.SettleRequest{Answer: raw})
	if !a.Repeatable {
		select {
		case <-told:
		case <-time.After(c.Settings.Claims.Timeout):
		}
	}
}

func (c *Coordinator) forget(f *request.Flight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flights[f.Key] == f {
		delete(c.flights, f.Key)
	}
}

// Find returns the flight of a key at this node, or nil.
func (c *Coordinator) FindFlight(full string) *request.Flight {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flights[full]
}

// Sweep cancels flights that nobody reads and forgets old ones.
func (c *Coordinator) Sweep() {
	now := c.Now()
	c.mu.Lock()
	var lost []*request.Flight
	for key, f := range c.flights {
		ended := f.Answer() != nil
		switch {
		case ended && now.Sub(f.StartedAt) > c.Settings.Claims.Window:
			delete(c.flights, key)
		case ended && f.Repeatable && f.Abandoned(now, c.Settings.Limits.Orphan):
			delete(c.flights, key)
		case !ended && f.Repeatable && f.Abandoned(now, c.Settings.Limits.Orphan):
			lost = append(lost, f)
		}
	}
	c.mu.Unlock()
	for _, f := range lost {
		f.Cancel()
	}
	c.Ledger.Expire(now)
	c.Attempts.Expire(now, c.Settings.Claims.Window)
}

// Wait returns once no request is in progress, or when ctx ends.
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

// End cancels what is still in progress.
func (c *Coordinator) CancelAll() { c.end() }
