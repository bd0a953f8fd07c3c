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
type departure struct {
	stay bool
	to   string
}

// leave decides what becomes of a stream whose engine is leaving, and moves
// its cache if that is the way.
func (r *run) leave(ctx context.Context, g granted, id string) departure {
	_, deadline := r.c.Registry.Leaving(g.Name)
	_, n := r.f.Delivered()
	l := request.LeavingStream{
		Notice: deadline.Sub(r.c.Now()), RemainingTokens: r.req.MaxTokens - n, TokenInterval: time.Duration(g.StepMS * float64(time.Millisecond)),
		ContextTokens: len(r.req.PromptText())/int(bytesPerTok) + n, CacheMoveRate: g.KVTransferTPS, TokensAhead: r.c.aheadAt(g.Name, r.f),
	}
	move := request.ChooseMove(l)
	r.c.Metrics.Move(string(move))
	r.c.explain.Add(r.f.Key, "move "+string(move), fmt.Sprintf("engine %s leaves in %s, %d tokens at most to come", g.Name, l.Notice.Round(time.Millisecond), l.RemainingTokens))
	switch move {
	case request.MoveFinish:
		return departure{stay: true}
	case request.MoveCache:
		return departure{to: r.moveCache(ctx, g, id, deadline)}
	}
	return departure{}
}

// moveCache has another engine pull the stream's KV cache. It returns that
// engine's name, or "" when the cache could not be moved.
func (r *run) moveCache(ctx context.Context, g granted, id string, deadline time.Time) string {
	given, _ := r.f.Delivered()
	text := r.req.PromptText() + given
	w := &waiter{text: len(text), blocks: engine.Blocks(text)}
	r.c.lanes.mu.Lock()
	to, ok := r.c.lanes.place(r.req.Model, w, map[string]bool{g.Name: true}, "")
	r.c.lanes.mu.Unlock()
	if !ok {
		return ""
	}
	defer to.end()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := r.c.Engines.ImportKV(ctx, to.Addr, engine.Import{Source: g.Addr, Stream: id}); err != nil {
		r.c.explain.Add(r.f.Key, "cache not moved", err.Error())
		return ""
	}
	return to.Name
}

// aheadAt is the size of the streams of higher priority at the same engine.
func (c *Coordinator) aheadAt(name string, f *request.Flight) int {
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

func (r *run) cancelAt(addr, id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = r.c.Engines.Cancel(ctx, addr, id)
	}()
}

func (r *run) wasLeaving(name string) bool {
	left, _ := r.c.Registry.Leaving(name)
	select {
	case <-left:
		return true
	default:
		return false
	}
}

func (r *run) cancelEverywhere() {
	name, id := r.f.Location()
	if p, ok := r.c.Registry.Get(name); ok {
		r.cancelAt(p.Addr, id)
	}
}

// takeOver reads the stream that a lost coordinator left at its engine, from
// its beginning, so that nothing is computed again.
func (r *run) takeOver(ctx context.Context, place *claim.Attempt) (request.Answer, bool) {
	p, ok := r.c.Registry.Get(place.Engine)
	if !ok {
		return request.Answer{}, false
	}
	r.cause = causeTakeover
	r.sent = true
	r.f.SetLocation(place.Engine, place.Stream)
	cands := r.c.Registry.Candidates(r.req.Model, nil)
	g := granted{end: func() {}}
	g.Name, g.Addr = p.Name, p.Addr
	for _, c := range cands {
		if c.Name == p.Name {
			g.Candidate = c
		}
	}
	err := r.read(ctx, g, place.Stream, r.resume(g, place.Stream))
	_, n := r.f.Delivered()
	if err == nil || n >= r.req.MaxTokens {
		return r.done(n), true
	}
	// What cannot be read must not go on being computed.
	r.cancelAt(p.Addr, place.Stream)
	return request.Answer{}, false
}
