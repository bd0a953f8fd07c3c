package serve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/crankridge/crankridge/src/claim"
	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/openai"
	"github.com/crankridge/crankridge/src/request"
)

const (
	tryBackoff  = 20 * time.Millisecond
	backoffMost = time.Second
	startTries  = 6
	finishLen   = "length"
	// stallsMost engines that give no first token are enough: the request is
	// not held until its deadline.
	stallsMost   = 3
	retryStalled = 2 * time.Second
)

// Causes of recomputed tokens.
const (
	causeReclaim  = "reclaim"
	causeFailure  = "failure"
	causeTakeover = "takeover"
	causeYield    = "yield"
)

// run is one completion on its way; it belongs to one goroutine.
type run struct {
	c     *Coordinator
	f     *request.Flight
	a     Request
	req   *openai.Request
	tries int
	cause string // why the next stream continues an earlier one
	begun bool   // the attempt is marked as sent
	sent  bool   // something may have reached an engine
	usage *openai.Usage
	base  int // tokens delivered before the present stream
	last  time.Time
	avoid map[string]bool
	wait  time.Duration

	stalls int // engines that took the request and gave no token

	pause   chan struct{} // closed when an event in force needs the place
	paused  bool
	finish  string
	prefer  string // engine that holds the moved KV cache
	resumed int    // tokens of the present stream at its last resumption
}

// complete runs a completion to its end, over as many engines as it takes.
func (c *Coordinator) complete(ctx context.Context, f *request.Flight, a Request, place *claim.Attempt) request.Answer {
	r := &run{c: c, f: f, a: a, req: a.Completion, avoid: map[string]bool{}}
	if place != nil {
		if answer, ok := r.takeOver(ctx, place); ok {
			return answer
		}
	}
	_, had := f.Delivered()
	for ctx.Err() == nil {
		g, refusal := r.next(ctx, had)
		if refusal != nil {
			return *refusal
		}
		if !r.begin() {
			g.end()
			return yielded()
		}
		err := r.stream(ctx, g)
		g.end()
		if answer, over := r.judge(ctx, g.Name, err); over {
			return answer
		}
	}
	return c.ended(f, a)
}

// begin marks the attempt as sent, once; false when it gave way to another.
func (r *run) begin() bool {
	if !r.begun {
		r.begun = r.c.Attempts.Send(r.f.Attempt, r.c.Now())
	}
	return r.begun
}

// next finds the engine for the next stream: by the queue for a request that
// has not begun, directly for one that moves.
func (r *run) next(ctx context.Context, had int) (granted, *request.Answer) {
	if r.tries == 0 && had == 0 || r.paused {
		r.paused = false
		g, refusal := r.c.acquire(ctx, r.f, r.a)
		r.tries++
		return g, refusal
	}
	r.tries++
	given, _ := r.f.Delivered()
	text := r.req.PromptText() + given
	w := &waiter{text: len(text), blocks: engine.Blocks(text)}
	for ctx.Err() == nil {
		r.c.lanes.mu.Lock()
		g, ok := r.c.lanes.place(r.req.Model, w, r.avoid, r.prefer)
		r.c.lanes.mu.Unlock()
		if ok {
			r.prefer = ""
			return g, nil
		}
		clear(r.avoid)
		if !r.sent && r.tries > startTries {
			break
		}
		r.backOff(ctx)
	}
	if ctx.Err() != nil {
		answer := r.c.ended(r.f, r.a)
		return granted{}, &answer
	}
	answer := request.Refused(http.StatusServiceUnavailable, codeNoUpstream, "no engine took the request", request.Jitter(retryNoModel))
	return granted{}, &answer
}

func (r *run) backOff(ctx context.Context) {
	r.wait = min(max(r.wait*2, tryBackoff), backoffMost)
	pause(ctx, request.Jitter(r.wait))
}

var (
	// errMoved ends a stream that continues elsewhere.
	errMoved = errors.New("stream moved")
	// errLong ends a stream whose text has reached the bound of an answer.
	errLong = errors.New("answer is as long as it may be")
)

// judge decides what follows the end of a stream.
func (r *run) judge(ctx context.Context, name string, err error) (request.Answer, bool) {
	_, n := r.f.Delivered()
	switch {
	case err == nil || n >= r.req.MaxTokens:
		r.c.Registry.RecordSuccess(name)
		return r.done(n), true
	case errors.Is(err, errLong):
		r.cancelEverywhere()
		return r.done(n), true
	case errors.Is(err, errMoved):
		return request.Answer{}, false
	case ctx.Err() != nil:
		if r.c.ending.Err() == nil {
			r.cancelEverywhere()
		}
		return r.c.ended(r.f, r.a), true
	case errors.Is(err, engine.ErrInvalid):
		return request.Answer{Outcome: request.NotRun, Status: http.StatusBadRequest, Code: codeInvalid, Message: err.Error()}, true
	}
	r.c.Registry.RecordFailure(name, errors.Is(err, engine.ErrConnect))
	r.avoid[name] = true
	r.cause = causeFailure
	r.c.explain.Add(r.f.Key, "stream broke", fmt.Sprintf("engine %s after %d tokens: %v", name, n, err))
	unsent := errors.Is(err, engine.ErrConnect) || errors.Is(err, engine.ErrRefused) || errors.Is(err, engine.ErrUnknown)
	if !unsent {
		r.sent = true
	}
	if !r.a.Repeatable && r.sent && !r.wasLeaving(name) {
		return request.Indeterminate(codeUpstreamLost, "the engine was lost while it ran the request", 0), true
	}
	if n == 0 && errors.Is(err, engine.ErrStalled) {
		r.stalls++
	}
	if r.stalls >= stallsMost {
		return request.Indeterminate(codeStalled, "several engines took the request and gave no token in time", request.Jitter(retryStalled)), true
	}
	if n == 0 && !r.c.budget.Spend() {
		return r.giveUp(), true
	}
	r.backOff(ctx)
	return request.Answer{}, false
}

func (r *run) giveUp() request.Answer {
	if r.sent {
		return request.Indeterminate(codeBudget, "the engine was lost and this node's retries are used up", request.Jitter(time.Second))
	}
	return request.Refused(http.StatusServiceUnavailable, codeBudget, "no engine could be reached and this node's retries are used up", request.Jitter(time.Second))
}

func (r *run) done(n int) request.Answer {
	a := request.Answer{Outcome: request.Completed, Status: http.StatusOK, Model: r.req.Model, Created: r.f.StartedAt.Unix(), Finish: r.finish}
	if a.Finish == "" {
		a.Finish = finishLen
	}
	if r.usage != nil {
		a.Prompt = r.usage.PromptTokens - r.base
		a.Cached = min(r.usage.PromptDetails.CachedTokens, a.Prompt)
	}
	return a
}
