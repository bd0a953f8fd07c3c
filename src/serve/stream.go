package serve

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/peer"
	"github.com/crankridge/crankridge/src/request"
)

// stream runs one stream at one engine until it ends, breaks or moves.
func (r *run) stream(ctx context.Context, g granted) error {
	given, n := r.f.Delivered()
	r.base = n
	r.resumed = 0
	id := fmt.Sprintf("%s-%d", r.f.Attempt, r.tries)
	body := r.req.EngineBody(given, n, r.a.Target.Priority, seedOf(r.f.Key))
	began := r.c.Now()
	r.f.SetLocation(g.Name, id)
	r.c.explain.Add(r.f.Key, "routed", fmt.Sprintf("engine %s in %s, first token estimated in %s, %.1f of %.0f slots busy, %d prefix blocks believed held",
		g.Name, g.FailureDomain, g.Choice.TTFT.Round(time.Millisecond), g.Busy, g.Slots, g.CachedBlocks))
	if n == 0 {
		r.c.Metrics.AddedLatency(began.Sub(r.f.StartedAt))
	}
	err := r.read(ctx, g, id, func(ctx context.Context) error {
		return r.c.Engines.Open(ctx, g.Addr, id, r.req.Chat, body, r.meta(g.Name), r.token)
	})
	r.c.lanes.held(r.req.Model, r.c.Now().Sub(began))
	r.learn(g, n)
	return err
}

// read reads a stream as open begins it, and takes it up again where it broke
// as long as that brings something.
func (r *run) read(ctx context.Context, g granted, id string, open func(context.Context) error) error {
	err := r.watch(ctx, g, id, open)
	for errors.Is(err, engine.ErrBroken) && r.resumable(g.Name) {
		err = r.watch(ctx, g, id, r.resume(g, id))
	}
	return err
}

func (r *run) resume(g granted, id string) func(context.Context) error {
	return func(ctx context.Context) error {
		_, now := r.f.Delivered()
		return r.c.Engines.Resume(ctx, g.Addr, id, int64(now-r.base), r.meta(g.Name), r.token)
	}
}

// seedOf makes a request's answer the same wherever it is computed.
func seedOf(key string) int64 { return int64(xxhash.Sum64String(key) >> 1) }

// resumable tells whether a broken stream is worth asking for again.
func (r *run) resumable(name string) bool {
	if r.wasLeaving(name) {
		return false
	}
	_, now := r.f.Delivered()
	// Each resumption must bring something, or the engine is given up.
	progress := now-r.base > r.resumed
	r.resumed = now - r.base
	return progress
}

// watch reads a stream in the background and meanwhile looks out for the
// engine's leaving and for a stall.
func (r *run) watch(ctx context.Context, g granted, id string, read func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan error, 1)
	go func() { done <- read(ctx) }()
	left, _ := r.c.Registry.Leaving(g.Name)
	r.pause = make(chan struct{})
	defer r.c.lanes.running(r)()
	stall := time.NewTimer(r.firstWait(g))
	defer stall.Stop()
	_, seen := r.f.Delivered()
	moved := make(chan departure, 1)
	for {
		select {
		case err := <-done:
			if cause := context.Cause(ctx); cause != nil && err != nil {
				return cause
			}
			return err
		case <-left:
			left = nil
			go func() { moved <- r.leave(ctx, g, id) }()
		case <-r.pause:
			r.cause, r.paused = causeYield, true
			cancel(errMoved)
			<-done
			r.cancelAt(g.Addr, id)
			return errMoved
		case d := <-moved:
			if d.stay {
				continue
			}
			r.cause, r.prefer = causeReclaim, d.to
			r.avoid[g.Name] = true
			cancel(errMoved)
			<-done
			r.cancelAt(g.Addr, id)
			return errMoved
		case <-stall.C:
			if _, now := r.f.Delivered(); now > seen {
				seen = now
				stall.Reset(r.c.Settings.Routing.Stall)
				continue
			}
			cancel(engine.ErrStalled)
			<-done
			r.cancelAt(g.Addr, id)
			return engine.ErrStalled
		}
	}
}

// firstWait is how long the first token may take before the engine counts as
// stalled: what was estimated, several times over, and the common bound.
func (r *run) firstWait(g granted) time.Duration {
	return r.c.Settings.Routing.Stall + 4*g.TTFT
}

// meta takes in what an answer's head says of its engine.
func (r *run) meta(name string) func(engine.Meta) {
	return func(m engine.Meta) {
		if m.LeavingMS > 0 {
			r.c.Registry.MarkLeaving(name, time.UnixMilli(m.LeavingMS))
		}
		if m.Load != nil {
			n := m.Load.Named
			r.c.Registry.UpdateLoad(name, time.UnixMilli(int64(n.AtMS)), n.Running, n.Waiting, n.QueuedTokens, n.StepMS)
		}
		if m.Started {
			r.sent = true
			r.c.notePlace(r.f, r.a, name, r.base)
		}
	}
}

// notePlace lets the keepers know where the stream runs, so that another node
// can take it up. A stream that continues an earlier one could not be read
// from its beginning and is not noted.
func (c *Coordinator) notePlace(f *request.Flight, a Request, engine string, base int) {
	_, id := f.Location()
	switch {
	case base > 0:
	case a.FirstUse && !a.KeyProvided && a.Repeatable:
		// Nobody can have used the key, so its claim is for later readers only.
		go c.askKeepers(context.Background(), c.Shards(), f, a, nil)
	default:
		c.tellKeepers(f, &peer.SettleRequest{Engine: engine, Stream: id})
	}
}

// token takes in one token of the present stream. Those already delivered are dropped.
func (r *run) token(t engine.Token) error {
	if t.Usage != nil {
		r.usage = t.Usage
		return nil
	}
	_, n := r.f.Delivered()
	at := r.base + int(t.ID)
	switch {
	case at <= n:
		r.c.Metrics.Dropped("token")
		return nil
	case at > n+1:
		return fmt.Errorf("%w: token %d after %d", engine.ErrBroken, at, n)
	}
	now := r.c.Now()
	if n == 0 {
		r.c.Metrics.FirstToken(now.Sub(r.f.StartedAt))
	} else if !r.last.IsZero() {
		r.c.Metrics.TokenInterval(now.Sub(r.last))
	}
	r.last = now
	r.f.Append(t.Text)
	r.finish = t.Finish
	if r.f.Size() > r.c.Settings.Limits.AnswerBytes {
		return errLong
	}
	return nil
}

// learn corrects what is believed of the engine by what the stream showed.
func (r *run) learn(g granted, given int) {
	u := r.usage
	if u == nil {
		return
	}
	cached := int(float64(u.PromptDetails.CachedTokens) / blockTokens)
	text := r.req.PromptText()
	r.c.Registry.RecordCacheUsage(g.Name, engine.Blocks(text), cached)
	if given > 0 {
		r.c.Metrics.Recomputed(r.cause, u.PromptTokens, u.PromptTokens-u.PromptDetails.CachedTokens)
	}
}
