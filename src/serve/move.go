package serve

import (
	"context"
	"fmt"
	"time"

	"github.com/crankridge/crankridge/src/claim"
	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/request"
)

// moveDecision says how a stream proceeds when its engine leaves.
type moveDecision struct {
	stay   bool   // finish on the leaving engine
	engine string // engine that now holds the KV cache, if any
}

// decideMove chooses how a stream proceeds when its engine leaves, and moves its KV
// cache if that is chosen: another engine imports it, at the rate KVTransferTPS.
func (r *completionRun) decideMove(ctx context.Context, slot engineSlot, streamID string) moveDecision {
	_, deadline := r.coord.Registry.Leaving(slot.Name)
	_, delivered := r.flight.Delivered()
	stream := request.LeavingStream{
		Notice: deadline.Sub(r.coord.Now()), RemainingTokens: r.completion.MaxTokens - delivered, TokenInterval: time.Duration(slot.StepMS * float64(time.Millisecond)),
		ContextTokens: len(r.completion.PromptText())/int(bytesPerToken) + delivered, CacheMoveRate: slot.KVTransferTPS, TokensAhead: r.coord.tokensAhead(slot.Name, r.flight),
	}
	move := request.ChooseMove(stream)
	r.coord.Metrics.Move(string(move))
	r.coord.decisions.Add(r.flight.Key, "move "+string(move), fmt.Sprintf("engine %s leaves in %s, %d tokens at most to come", slot.Name, stream.Notice.Round(time.Millisecond), stream.RemainingTokens))
	switch move {
	case request.MoveFinish:
		return moveDecision{stay: true}
	case request.MoveCache:
		return moveDecision{engine: r.moveCache(ctx, slot, streamID, deadline)}
	}
	return moveDecision{}
}

// moveCache has another engine import the stream's KV cache. It returns that
// engine's name, or "" if the cache could not be moved.
func (r *completionRun) moveCache(ctx context.Context, slot engineSlot, streamID string, deadline time.Time) string {
	prefix, _ := r.flight.Delivered()
	text := r.completion.PromptText() + prefix
	w := &waiter{promptBytes: len(text), blocks: engine.Blocks(text)}
	r.coord.queues.mu.Lock()
	target, ok := r.coord.queues.reserve(r.completion.Model, w, map[string]bool{slot.Name: true}, "")
	r.coord.queues.mu.Unlock()
	if !ok {
		return ""
	}
	defer target.release()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := r.coord.Engines.ImportKV(ctx, target.Addr, engine.Import{Source: slot.Addr, Stream: streamID}); err != nil {
		r.coord.decisions.Add(r.flight.Key, "cache not moved", err.Error())
		return ""
	}
	return target.Name
}

// tokensAhead counts the tokens delivered by streams of higher priority on the same
// engine, which are moved first.
func (c *Coordinator) tokensAhead(engineName string, f *request.Flight) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := 0
	for _, other := range c.flights {
		if at, _ := other.Location(); at == engineName && other != f && other.Priority > f.Priority && other.Answer() == nil {
			_, n := other.Delivered()
			tokens += n
		}
	}
	return tokens
}

func (r *completionRun) cancelStream(addr, streamID string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = r.coord.Engines.Cancel(ctx, addr, streamID)
	}()
}

func (r *completionRun) isLeaving(name string) bool {
	leaving, _ := r.coord.Registry.Leaving(name)
	select {
	case <-leaving:
		return true
	default:
		return false
	}
}

func (r *completionRun) cancelCurrentStream() {
	name, streamID := r.flight.Location()
	if up, ok := r.coord.Registry.Get(name); ok {
		r.cancelStream(up.Addr, streamID)
	}
}

// takeOver reads a lost coordinator's stream after the tokens already delivered, so
// that nothing is recomputed. It returns false if the stream cannot be read to its end.
func (r *completionRun) takeOver(ctx context.Context, orphan *claim.Attempt) (request.Answer, bool) {
	up, ok := r.coord.Registry.Get(orphan.Engine)
	if !ok {
		return request.Answer{}, false
	}
	r.recomputeCause = causeTakeover
	r.sent = true
	r.flight.SetLocation(orphan.Engine, orphan.Stream)
	cands := r.coord.Registry.Candidates(r.completion.Model, nil)
	slot := engineSlot{release: func() {}}
	slot.Name, slot.Addr = up.Name, up.Addr
	for _, c := range cands {
		if c.Name == up.Name {
			slot.Candidate = c
		}
	}
	err := r.readStream(ctx, slot, orphan.Stream, r.resumeFunc(slot, orphan.Stream))
	_, delivered := r.flight.Delivered()
	if err == nil || delivered >= r.completion.MaxTokens {
		return r.completedAnswer(delivered), true
	}
	// Stop the engine from computing tokens that nobody reads.
	r.cancelStream(up.Addr, orphan.Stream)
	return request.Answer{}, false
}
