package serve

import (
	"context"
	"fmt"
	"time"

	"github.com/crankridge/crankridge/src/claim"
	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/request"
)

// departure is how a stream goes on when its engine leaves: it stays to its
// end, or continues elsewhere, at the engine named when that holds its cache.
type moveDecision struct {
	stay   bool
	engine string
}

// leave decides what becomes of a stream whose engine is leaving, and moves
// its cache if that is the way.
func (r *completionRun) decideMove(ctx context.Context, g engineSlot, id string) moveDecision {
	_, deadline := r.coord.Registry.Leaving(g.Name)
	_, n := r.flight.Delivered()
	l := request.LeavingStream{
		Notice: deadline.Sub(r.coord.Now()), RemainingTokens: r.completion.MaxTokens - n, TokenInterval: time.Duration(g.StepMS * float64(time.Millisecond)),
		ContextTokens: len(r.completion.PromptText())/int(bytesPerToken) + n, CacheMoveRate: g.KVTransferTPS, TokensAhead: r.coord.tokensAhead(g.Name, r.flight),
	}
	move := request.ChooseMove(l)
	r.coord.Metrics.Move(string(move))
	r.coord.decisions.Add(r.flight.Key, "move "+string(move), fmt.Sprintf("engine %s leaves in %s, %d tokens at most to come", g.Name, l.Notice.Round(time.Millisecond), l.RemainingTokens))
	switch move {
	case request.MoveFinish:
		return moveDecision{stay: true}
	case request.MoveCache:
		return moveDecision{engine: r.moveCache(ctx, g, id, deadline)}
	}
	return moveDecision{}
}

// moveCache has another engine pull the stream's KV cache. It returns that
// engine's name, or "" when the cache could not be moved.
func (r *completionRun) moveCache(ctx context.Context, g engineSlot, id string, deadline time.Time) string {
	given, _ := r.flight.Delivered()
	text := r.completion.PromptText() + given
	w := &waiter{promptBytes: len(text), blocks: engine.Blocks(text)}
	r.coord.queues.mu.Lock()
	to, ok := r.coord.queues.reserve(r.completion.Model, w, map[string]bool{g.Name: true}, "")
	r.coord.queues.mu.Unlock()
	if !ok {
		return ""
	}
	defer to.release()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := r.coord.Engines.ImportKV(ctx, to.Addr, engine.Import{Source: g.Addr, Stream: id}); err != nil {
		r.coord.decisions.Add(r.flight.Key, "cache not moved", err.Error())
		return ""
	}
	return to.Name
}

// aheadAt is the size of the streams of higher priority at the same engine.
func (c *Coordinator) tokensAhead(name string, f *request.Flight) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := 0
	for _, o := range c.flights {
		if at, _ := o.Location(); at == name && o != f && o.Priority > f.Priority && o.Answer() == nil {
			_, n := o.Delivered()
			tokens += n
		}
	}
	return tokens
}

func (r *completionRun) cancelStream(addr, id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = r.coord.Engines.Cancel(ctx, addr, id)
	}()
}

func (r *completionRun) isLeaving(name string) bool {
	left, _ := r.coord.Registry.Leaving(name)
	select {
	case <-left:
		return true
	default:
		return false
	}
}

func (r *completionRun) cancelCurrentStream() {
	name, id := r.flight.Location()
	if p, ok := r.coord.Registry.Get(name); ok {
		r.cancelStream(p.Addr, id)
	}
}

// takeOver reads the stream that a lost coordinator left at its engine, from
// its beginning, so that nothing is computed again.
func (r *completionRun) takeOver(ctx context.Context, place *claim.Attempt) (request.Answer, bool) {
	p, ok := r.coord.Registry.Get(place.Engine)
	if !ok {
		return request.Answer{}, false
	}
	r.recomputeCause = causeTakeover
	r.sent = true
	r.flight.SetLocation(place.Engine, place.Stream)
	cands := r.coord.Registry.Candidates(r.completion.Model, nil)
	g := engineSlot{release: func() {}}
	g.Name, g.Addr = p.Name, p.Addr
	for _, c := range cands {
		if c.Name == p.Name {
			g.Candidate = c
		}
	}
	err := r.readStream(ctx, g, place.Stream, r.resumeFunc(g, place.Stream))
	_, n := r.flight.Delivered()
	if err == nil || n >= r.completion.MaxTokens {
		return r.completedAnswer(n), true
	}
	// What cannot be read must not go on being computed.
	r.cancelStream(p.Addr, place.Stream)
	return request.Answer{}, false
}
