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
func (r *completionRun) runStream(ctx context.Context, g engineSlot) error {
	given, n := r.flight.Delivered()
	r.baseTokens = n
	r.tokensAtResume = 0
	id := fmt.Sprintf("%s-%d", r.flight.Attempt, r.tries)
	body := r.completion.EngineBody(given, n, r.req.Target.Priority, seedOf(r.flight.Key))
	began := r.coord.Now()
	r.flight.SetLocation(g.Name, id)
	r.coord.decisions.Add(r.flight.Key, "routed", fmt.Sprintf("engine %s in %s, first token estimated in %s, %.1f of %.0f slots busy, %d prefix blocks believed held",
		g.Name, g.FailureDomain, g.Choice.TTFT.Round(time.Millisecond), g.Busy, g.Slots, g.CachedBlocks))
	if n == 0 {
		r.coord.Metrics.AddedLatency(began.Sub(r.flight.StartedAt))
	}
	err := r.readStream(ctx, g, id, func(ctx context.Context) error {
		return r.coord.Engines.Open(ctx, g.Addr, id, r.completion.Chat, body, r.metaHandler(g.Name), r.handleToken)
	})
	r.coord.queues.recordHoldTime(r.completion.Model, r.coord.Now().Sub(began))
	r.recordUsage(g, n)
	return err
}

// read reads a stream as open begins it, and takes it up again where it broke
// as long as that brings something.
func (r *completionRun) readStream(ctx context.Context, g engineSlot, id string, open func(context.Context) error) error {
	err := r.superviseRead(ctx, g, id, open)
	for errors.Is(err, engine.ErrBroken) && r.canResume(g.Name) {
		err = r.superviseRead(ctx, g, id, r.resumeFunc(g, id))
	}
	return err
}

func (r *completionRun) resumeFunc(g engineSlot, id string) func(context.Context) error {
	return func(ctx context.Context) error {
		_, now := r.flight.Delivered()
		return r.coord.Engines.Resume(ctx, g.Addr, id, int64(now-r.baseTokens), r.metaHandler(g.Name), r.handleToken)
	}
}

// seedOf makes a request's answer the same wherever it is computed.
func seedOf(key string) int64 { return int64(xxhash.Sum64String(key) >> 1) }

// resumable tells whether a broken stream is worth asking for again.
func (r *completionRun) canResume(name string) bool {
	if r.isLeaving(name) {
		return false
	}
	_, now := r.flight.Delivered()
	// Each resumption must bring something, or the engine is given up.
	progress := now-r.baseTokens > r.tokensAtResume
	r.tokensAtResume = now - r.baseTokens
	return progress
}

// watch reads a stream in the background and meanwhile looks out for the
// engine's leaving and for a stall.
func (r *completionRun) superviseRead(ctx context.Context, g engineSlot, id string, read func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan error, 1)
	go func() { done <- read(ctx) }()
	left, _ := r.coord.Registry.Leaving(g.Name)
	r.preempt = make(chan struct{})
	defer r.coord.queues.registerPreemptible(r)()
	stall := time.NewTimer(r.firstTokenTimeout(g))
	defer stall.Stop()
	_, seen := r.flight.Delivered()
	moved := make(chan moveDecision, 1)
	for {
		select {
		case err := <-done:
			if cause := context.Cause(ctx); cause != nil && err != nil {
				return cause
			}
			return err
		case <-left:
			left = nil
			go func() { moved <- r.decideMove(ctx, g, id) }()
		case <-r.preempt:
			r.recomputeCause, r.preempted = causeYield, true
			cancel(errMoved)
			<-done
			r.cancelStream(g.Addr, id)
			return errMoved
		case d := <-moved:
			if d.stay {
				continue
			}
			r.recomputeCause, r.preferredEngine = causeReclaim, d.engine
			r.avoid[g.Name] = true
			cancel(errMoved)
			<-done
			r.cancelStream(g.Addr, id)
			return errMoved
		case <-stall.C:
			if _, now := r.flight.Delivered(); now > seen {
				seen = now
				stall.Reset(r.coord.Settings.Routing.Stall)
				continue
			}
			cancel(engine.ErrStalled)
			<-done
			r.cancelStream(g.Addr, id)
			return engine.ErrStalled
		}
	}
}

// firstWait is how long the first token may take before the engine counts as
// stalled: what was estimated, several times over, and the common bound.
func (r *completionRun) firstTokenTimeout(g engineSlot) time.Duration {
	return r.coord.Settings.Routing.Stall + 4*g.TTFT
}

// meta takes in what an answer's head says of its engine.
func (r *completionRun) metaHandler(name string) func(engine.Meta) {
	return func(m engine.Meta) {
		if m.LeavingMS > 0 {
			r.coord.Registry.MarkLeaving(name, time.UnixMilli(m.LeavingMS))
		}
		if m.Load != nil {
			n := m.Load.Named
			r.coord.Registry.UpdateLoad(name, time.UnixMilli(int64(n.AtMS)), n.Running, n.Waiting, n.QueuedTokens, n.StepMS)
		}
		if m.Started {
			r.sent = true
			r.coord.publishStreamLocation(r.flight, r.req, name, r.baseTokens)
		}
	}
}

// notePlace lets the keepers know where the stream runs, so that another node
// can take it up. A stream that continues an earlier one could not be read
// from its beginning and is not noted.
func (c *Coordinator) publishStreamLocation(f *request.Flight, req Request, engine string, base int) {
	_, id := f.Location()
	switch {
	case base > 0:
	case req.FirstUse && !req.KeyProvided && req.Repeatable:
		// Nobody can have used the key, so its claim is for later readers only.
		go c.requestVotes(context.Background(), c.Shards(), f, req, nil)
	default:
		c.broadcastSettle(f, &peer.SettleRequest{Engine: engine, Stream: id})
	}
}

// token takes in one token of the present stream. Those already delivered are dropped.
func (r *completionRun) handleToken(t engine.Token) error {
	if t.Usage != nil {
		r.usage = t.Usage
		return nil
	}
	_, n := r.flight.Delivered()
	at := r.baseTokens + int(t.ID)
	switch {
	case at <= n:
		r.coord.Metrics.Dropped("token")
		return nil
	case at > n+1:
		return fmt.Errorf("%w: token %d after %d", engine.ErrBroken, at, n)
	}
	now := r.coord.Now()
	if n == 0 {
		r.coord.Metrics.FirstToken(now.Sub(r.flight.StartedAt))
	} else if !r.lastTokenAt.IsZero() {
		r.coord.Metrics.TokenInterval(now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	r.flight.Append(t.Text)
	r.finishReason = t.Finish
	if r.flight.Size() > r.coord.Settings.Limits.AnswerBytes {
		return errAnswerLimit
	}
	return nil
}

// learn corrects what is believed of the engine by what the stream showed.
func (r *completionRun) recordUsage(g engineSlot, given int) {
	u := r.usage
	if u == nil {
		return
	}
	cached := int(float64(u.PromptDetails.CachedTokens) / blockTokens)
	text := r.completion.PromptText()
	r.coord.Registry.RecordCacheUsage(g.Name, engine.Blocks(text), cached)
	if given > 0 {
		r.coord.Metrics.Recomputed(r.recomputeCause, u.PromptTokens, u.PromptTokens-u.PromptDetails.CachedTokens)
	}
}
