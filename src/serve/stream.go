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

// runStream runs one stream on one engine until it ends, fails or moves.
func (r *completionRun) runStream(ctx context.Context, slot engineSlot) error {
	prefix, delivered := r.flight.Delivered()
	r.baseTokens = delivered
	r.tokensAtResume = 0
	streamID := fmt.Sprintf("%s-%d", r.flight.Attempt, r.tries)
	body := r.completion.EngineBody(prefix, delivered, r.req.Target.Priority, seedOf(r.flight.Key))
	startedAt := r.coord.Now()
	r.flight.SetLocation(slot.Name, streamID)
	r.coord.decisions.Add(r.flight.Key, "routed", fmt.Sprintf("engine %s in %s, first token estimated in %s, %.1f of %.0f slots busy, %d prefix blocks believed held",
		slot.Name, slot.FailureDomain, slot.Choice.TTFT.Round(time.Millisecond), slot.Busy, slot.Slots, slot.CachedBlocks))
	if delivered == 0 {
		r.coord.Metrics.AddedLatency(startedAt.Sub(r.flight.StartedAt))
	}
	err := r.readStream(ctx, slot, streamID, func(ctx context.Context) error {
		return r.coord.Engines.Open(ctx, slot.Addr, streamID, r.completion.Chat, body, r.metaHandler(slot.Name), r.handleToken)
	})
	r.coord.queues.recordHoldTime(r.completion.Model, r.coord.Now().Sub(startedAt))
	r.recordUsage(slot, delivered)
	return err
}

// readStream opens and reads a stream. It resumes the stream after a disconnect as
// long as that produces new tokens.
func (r *completionRun) readStream(ctx context.Context, slot engineSlot, streamID string, open func(context.Context) error) error {
	err := r.superviseRead(ctx, slot, streamID, open)
	for errors.Is(err, engine.ErrBroken) && r.canResume(slot.Name) {
		err = r.superviseRead(ctx, slot, streamID, r.resumeFunc(slot, streamID))
	}
	return err
}

func (r *completionRun) resumeFunc(slot engineSlot, streamID string) func(context.Context) error {
	return func(ctx context.Context) error {
		_, delivered := r.flight.Delivered()
		return r.coord.Engines.Resume(ctx, slot.Addr, streamID, int64(delivered-r.baseTokens), r.metaHandler(slot.Name), r.handleToken)
	}
}

// seedOf derives the sampling seed from the key, so that the answer does not depend
// on the engine.
func seedOf(key string) int64 { return int64(xxhash.Sum64String(key) >> 1) }

// canResume reports whether a disconnected stream should be resumed: its engine is
// not leaving, and it produced tokens since it was last resumed.
func (r *completionRun) canResume(engineName string) bool {
	if r.isLeaving(engineName) {
		return false
	}
	_, delivered := r.flight.Delivered()
	progress := delivered-r.baseTokens > r.tokensAtResume
	r.tokensAtResume = delivered - r.baseTokens
	return progress
}

// superviseRead runs read in the background and cancels it if the stream stalls, is
// preempted, or moves because its engine leaves.
func (r *completionRun) superviseRead(ctx context.Context, slot engineSlot, streamID string, read func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan error, 1)
	go func() { done <- read(ctx) }()
	leaving, _ := r.coord.Registry.Leaving(slot.Name)
	r.preempt = make(chan struct{})
	defer r.coord.queues.registerPreemptible(r)()
	stall := time.NewTimer(r.firstTokenTimeout(slot))
	defer stall.Stop()
	_, lastSeen := r.flight.Delivered()
	moves := make(chan moveDecision, 1)
	for {
		select {
		case err := <-done:
			if cause := context.Cause(ctx); cause != nil && err != nil {
				return cause
			}
			return err
		case <-leaving:
			leaving = nil
			go func() { moves <- r.decideMove(ctx, slot, streamID) }()
		case <-r.preempt:
			r.recomputeCause, r.preempted = causeYield, true
			cancel(errMoved)
			<-done
			r.cancelStream(slot.Addr, streamID)
			return errMoved
		case move := <-moves:
			if move.stay {
				continue
			}
			r.recomputeCause, r.preferredEngine = causeReclaim, move.engine
			r.avoid[slot.Name] = true
			cancel(errMoved)
			<-done
			r.cancelStream(slot.Addr, streamID)
			return errMoved
		case <-stall.C:
			if _, delivered := r.flight.Delivered(); delivered > lastSeen {
				lastSeen = delivered
				stall.Reset(r.coord.Settings.Routing.Stall)
				continue
			}
			cancel(engine.ErrStalled)
			<-done
			r.cancelStream(slot.Addr, streamID)
			return engine.ErrStalled
		}
	}
}

// firstTokenTimeout returns the stall timeout for the first token, which adds four
// times its estimated latency.
func (r *completionRun) firstTokenTimeout(slot engineSlot) time.Duration {
	return r.coord.Settings.Routing.Stall + 4*slot.TTFT
}

// metaHandler returns a function that processes the engine state reported in the
// headers of an answer.
func (r *completionRun) metaHandler(engineName string) func(engine.Meta) {
	return func(meta engine.Meta) {
		if meta.LeavingMS > 0 {
			r.coord.Registry.MarkLeaving(engineName, time.UnixMilli(meta.LeavingMS))
		}
		if meta.Rest > 0 {
			r.coord.Registry.Rest(engineName, meta.Rest)
		}
		if meta.Load != nil {
			load := meta.Load.Named
			r.coord.Registry.UpdateLoad(engineName, time.UnixMilli(int64(load.AtMS)), load.Running, load.Waiting, load.QueuedTokens, load.StepMS)
		}
		if meta.Started {
			r.sent = true
			r.coord.publishStreamLocation(r.flight, r.req, engineName, r.baseTokens)
		}
	}
}

// publishStreamLocation tells the keepers where the stream runs, so that another
// node can take it over. A stream that continues an earlier one does not contain
// the whole answer and is not published.
func (c *Coordinator) publishStreamLocation(f *request.Flight, req Request, engineName string, baseTokens int) {
	_, streamID := f.Location()
	switch {
	case baseTokens > 0:
	case req.FirstUse && !req.KeyProvided && req.Repeatable:
		// An issued key is sent without a claim, since no other attempt can use
		// it. Claim it now so that later readers find the request.
		go c.requestVotes(context.Background(), c.Shards(), f, req, nil)
	default:
		c.broadcastSettle(f, &peer.SettleRequest{Engine: engineName, Stream: streamID})
	}
}

// handleToken appends a token of the current stream, or drops it if it was already
// delivered.
func (r *completionRun) handleToken(t engine.Token) error {
	if t.Usage != nil {
		r.usage = t.Usage
		return nil
	}
	_, delivered := r.flight.Delivered()
	position := r.baseTokens + int(t.ID)
	switch {
	case position <= delivered:
		r.coord.Metrics.Dropped("token")
		return nil
	case position > delivered+1:
		return fmt.Errorf("%w: token %d after %d", engine.ErrBroken, position, delivered)
	}
	now := r.coord.Now()
	if delivered == 0 {
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

// recordUsage updates the estimate of the engine's prefix cache from the reported
// usage.
func (r *completionRun) recordUsage(slot engineSlot, delivered int) {
	usage := r.usage
	if usage == nil {
		return
	}
	cached := int(float64(usage.PromptDetails.CachedTokens) / blockTokens)
	text := r.completion.PromptText()
	r.coord.Registry.RecordCacheUsage(slot.Name, engine.Blocks(text), cached)
	if delivered > 0 {
		r.coord.Metrics.MovedTokens(r.recomputeCause, usage.PromptTokens, usage.PromptTokens-usage.PromptDetails.CachedTokens)
	}
}
