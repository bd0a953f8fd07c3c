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
	minBackoff       = 20 * time.Millisecond
	maxBackoff       = time.Second
	maxStartAttempts = 6
	finishLength     = "length"
	// maxStalls bounds the engines tried that return no first token.
	maxStalls       = 3
	stallRetryAfter = 2 * time.Second
)

// Causes of recomputed tokens.
const (
	causeReclaim  = "reclaim"
	causeFailure  = "failure"
	causeTakeover = "takeover"
	causeYield    = "yield"
)

// completionRun is the state of one completion request across its streams.
type completionRun struct {
	coord          *Coordinator
	flight         *request.Flight
	req            Request
	completion     *openai.Request
	tries          int           // engine slots requested
	recomputeCause string        // metric label: why tokens of an earlier stream are recomputed
	markedSent     bool          // the attempt is recorded as sent
	sent           bool          // an engine may have received the request
	usage          *openai.Usage // last reported by an engine
	baseTokens     int           // tokens delivered before the current stream
	lastTokenAt    time.Time
	avoid          map[string]bool
	backoff        time.Duration

	stalls int // engines that accepted the request but returned no token

	preempt         chan struct{} // closed when an active event needs the engine slot
	preempted       bool
	finishReason    string
	preferredEngine string // engine that holds the moved KV cache
	tokensAtResume  int    // tokens of the current stream when it was last resumed
}

// complete runs a completion to its end, moving between engines as needed.
func (c *Coordinator) complete(ctx context.Context, f *request.Flight, req Request, resumeFrom *claim.Attempt) request.Answer {
	r := &completionRun{coord: c, flight: f, req: req, completion: req.Completion, avoid: map[string]bool{}}
	if resumeFrom != nil {
		if answer, ok := r.takeOver(ctx, resumeFrom); ok {
			return answer
		}
	}
	_, delivered := f.Delivered()
	for ctx.Err() == nil {
		slot, refusal := r.nextSlot(ctx, delivered)
		if refusal != nil {
			return *refusal
		}
		if !r.markSent() {
			slot.release()
			return yieldedAnswer()
		}
		err := r.runStream(ctx, slot)
		slot.release()
		if answer, ended := r.handleStreamEnd(ctx, slot.Name, err); ended {
			return answer
		}
	}
	return c.interruptedAnswer(f, req)
}

// markSent records the attempt as sent. It returns false if the attempt yielded to
// another one by the same key.
func (r *completionRun) markSent() bool {
	if !r.markedSent {
		r.markedSent = r.coord.Attempts.Send(r.flight.Attempt, r.coord.Now())
	}
	return r.markedSent
}

// nextSlot reserves an engine for the next stream. New and preempted requests go
// through the queue; a request that changes engines does not.
func (r *completionRun) nextSlot(ctx context.Context, delivered int) (engineSlot, *request.Answer) {
	if r.tries == 0 && delivered == 0 || r.preempted {
		r.preempted = false
		slot, refusal := r.coord.acquireSlot(ctx, r.flight, r.req)
		r.tries++
		return slot, refusal
	}
	r.tries++
	prefix, _ := r.flight.Delivered()
	text := r.completion.PromptText() + prefix
	w := &waiter{promptBytes: len(text), blocks: engine.Blocks(text)}
	for ctx.Err() == nil {
		r.coord.queues.mu.Lock()
		slot, ok := r.coord.queues.reserve(r.completion.Model, w, r.avoid, r.preferredEngine)
		r.coord.queues.mu.Unlock()
		if ok {
			r.preferredEngine = ""
			return slot, nil
		}
		clear(r.avoid)
		if !r.sent && r.tries > maxStartAttempts {
			break
		}
		r.backOff(ctx)
	}
	if ctx.Err() != nil {
		answer := r.coord.interruptedAnswer(r.flight, r.req)
		return engineSlot{}, &answer
	}
	answer := request.Refused(http.StatusServiceUnavailable, codeNoUpstream, "no engine took the request", r.coord.noEngineRetryAfter(r.completion.Model))
	return engineSlot{}, &answer
}

// noEngineRetryAfter returns the Retry-After of a request for a model that no engine takes:
// the time until the first is free if all rest.
func (c *Coordinator) noEngineRetryAfter(model string) time.Duration {
	if wait := c.Registry.ModelRestWait(model); wait > 0 {
		return request.JitterUp(wait)
	}
	return request.Jitter(noEngineRetryAfter)
}

func (r *completionRun) backOff(ctx context.Context) {
	r.backoff = min(max(r.backoff*2, minBackoff), maxBackoff)
	sleep(ctx, request.Jitter(r.backoff))
}

var (
	// errMoved ends a stream that continues on another engine or after preemption.
	errMoved = errors.New("stream moved")
	// errAnswerLimit ends a stream whose text exceeds the answer size limit.
	errAnswerLimit = errors.New("answer size limit exceeded")
)

// handleStreamEnd returns the answer and true, or false if the request needs
// another stream.
func (r *completionRun) handleStreamEnd(ctx context.Context, engineName string, err error) (request.Answer, bool) {
	_, tokens := r.flight.Delivered()
	switch {
	case err == nil || tokens >= r.completion.MaxTokens:
		r.coord.Registry.RecordSuccess(engineName)
		return r.completedAnswer(tokens), true
	case errors.Is(err, errAnswerLimit):
		r.cancelCurrentStream()
		return r.completedAnswer(tokens), true
	case errors.Is(err, errMoved):
		return request.Answer{}, false
	case ctx.Err() != nil:
		if r.coord.baseCtx.Err() == nil {
			r.cancelCurrentStream()
		}
		return r.coord.interruptedAnswer(r.flight, r.req), true
	case errors.Is(err, engine.ErrInvalid):
		return request.Answer{Outcome: request.NotRun, Status: http.StatusBadRequest, Code: codeInvalidRequest, Message: err.Error()}, true
	}
	r.coord.Registry.RecordFailure(engineName, errors.Is(err, engine.ErrConnect))
	r.avoid[engineName] = true
	r.recomputeCause = causeFailure
	r.coord.decisions.Add(r.flight.Key, "stream broke", fmt.Sprintf("engine %s after %d tokens: %v", engineName, tokens, err))
	unsent := errors.Is(err, engine.ErrConnect) || errors.Is(err, engine.ErrRefused) || errors.Is(err, engine.ErrUnknown)
	if !unsent {
		r.sent = true
	}
	if !r.req.Repeatable && r.sent && !r.isLeaving(engineName) {
		return request.Indeterminate(codeUpstreamLost, "the engine was lost while it ran the request", 0), true
	}
	if tokens == 0 && errors.Is(err, engine.ErrStalled) {
		r.stalls++
	}
	if r.stalls >= maxStalls {
		return request.Indeterminate(codeUpstreamStalled, "several engines took the request and gave no token in time", request.Jitter(stallRetryAfter)), true
	}
	if tokens == 0 && !r.coord.retryBudget.Spend() {
		return r.retryBudgetExhausted(), true
	}
	r.backOff(ctx)
	return request.Answer{}, false
}

func (r *completionRun) retryBudgetExhausted() request.Answer {
	if r.sent {
		return request.Indeterminate(codeRetryBudget, "the engine was lost and this node's retries are used up", request.Jitter(time.Second))
	}
	return request.Refused(http.StatusServiceUnavailable, codeRetryBudget, "no engine could be reached and this node's retries are used up", request.Jitter(time.Second))
}

func (r *completionRun) completedAnswer(tokens int) request.Answer {
	a := request.Answer{Outcome: request.Completed, Status: http.StatusOK, Model: r.completion.Model, Created: r.flight.StartedAt.Unix(), Finish: r.finishReason}
	if a.Finish == "" {
		a.Finish = finishLength
	}
	if r.usage != nil {
		a.Prompt = r.usage.PromptTokens - r.baseTokens
		a.Cached = min(r.usage.PromptDetails.CachedTokens, a.Prompt)
	}
	return a
}
