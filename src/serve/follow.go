package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/crankridge/crankridge/src/claim"
	"github.com/crankridge/crankridge/src/peer"
	"github.com/crankridge/crankridge/src/request"
)

const (
	readLongPoll     = 2 * time.Second
	readTimeoutSlack = 2 * time.Second
	maxReadFailures  = 3
	readBackoff      = 50 * time.Millisecond
)

// follow copies the tokens and the answer of holder, the attempt that has claimed
// the request's key. If its coordinator is lost, a repeatable request is taken over
// and any other gets an indeterminate answer.
func (c *Coordinator) follow(ctx context.Context, f *request.Flight, req Request, holder claim.Attempt) request.Answer {
	failures := 0
	for ctx.Err() == nil {
		_, delivered := f.Delivered()
		resp, err := c.readFlight(ctx, holder, f.Key, delivered)
		if err != nil || !resp.Found {
			failures++
			if failures >= maxReadFailures {
				return c.recoverOrphan(ctx, f, req, holder)
			}
			sleep(ctx, request.Jitter(readBackoff<<failures))
			continue
		}
		failures = 0
		for _, ev := range resp.Events {
			if _, delivered := f.Delivered(); int(ev.Id) == delivered+1 {
				f.Append(ev.Text)
			}
		}
		if resp.Done {
			r, err := request.DecodeAnswer(resp.Answer)
			if err == nil && r.Code != codeNodeStopped {
				return r
			}
			return c.recoverOrphan(ctx, f, req, holder)
		}
	}
	return c.interruptedAnswer(f, req)
}

func (c *Coordinator) readFlight(ctx context.Context, holder claim.Attempt, key string, after int) (*peer.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, readLongPoll+readTimeoutSlack)
	defer cancel()
	return c.Pool.Client(holder.Addr).Read(ctx, &peer.ReadRequest{Key: key, After: int64(after), WaitMs: int32(readLongPoll.Milliseconds())})
}

// recoverOrphan answers an orphan: a request whose coordinator is lost. If the
// keepers have no answer, a repeatable request is claimed and sent again. The
// setting limits.orphan is about other requests, those that nobody reads.
func (c *Coordinator) recoverOrphan(ctx context.Context, f *request.Flight, req Request, holder claim.Attempt) request.Answer {
	rec := c.queryKeepers(ctx, f.Key)
	if rec != nil && len(rec.Answer) > 0 {
		if r, err := request.DecodeAnswer(rec.Answer); err == nil {
			c.replayTokens(f, &r)
			return r
		}
	}
	if !req.Repeatable || rec != nil && !rec.Repeatable {
		return c.coordinatorLost(f, holder)
	}
	c.decisions.Add(f.Key, "taken over", "its coordinator "+holder.Node+" is lost")
	var resumeFrom *claim.Attempt
	if rec != nil && len(rec.Attempts) == 1 && rec.Attempts[0].Engine != "" {
		resumeFrom = &rec.Attempts[0]
	}
	// This flight released its attempt when it began to follow the lost one.
	f.Attempt = uuid.NewString()
	c.Attempts.Begin(f.Attempt, c.Now())
	// The claim lets later tries by the key find this attempt. A repeatable request
	// is sent whatever the vote.
	c.requestVotes(ctx, c.Shards(), f, req, []string{holder.ID})
	return c.send(ctx, f, req, resumeFrom)
}

// LookupRecord returns the keepers' record of the request with a full key
// (customer/key), or nil.
func (c *Coordinator) LookupRecord(ctx context.Context, fullKey string) *claim.Record {
	return c.queryKeepers(ctx, fullKey)
}

// queryKeepers asks all keepers of a key for its record and prefers one with an answer.
func (c *Coordinator) queryKeepers(ctx context.Context, key string) *claim.Record {
	m := c.Shards()
	if m == nil {
		return nil
	}
	shard := claim.ShardOf(key, len(m.Shards))
	keepers := m.Shards[shard].Keepers
	ctx, cancel := context.WithTimeout(ctx, c.Settings.Claims.Timeout)
	defer cancel()
	found := make(chan *claim.Record, len(keepers))
	for _, k := range keepers {
		go func() {
			if k.Name == c.Self.Name {
				found <- c.Ledger.Lookup(shard, key)
				return
			}
			resp, err := c.Pool.Client(k.Addr).Lookup(ctx, &peer.LookupRequest{Shard: int32(shard), Key: key})
			if err != nil {
				found <- nil
				return
			}
			found <- peer.RecordFromProto(resp.Record)
		}()
	}
	var best *claim.Record
	for range keepers {
		if r := <-found; r != nil && (best == nil || len(best.Answer) == 0) {
			best = r
		}
	}
	return best
}

// interruptedAnswer is the answer to a flight that passed its deadline or was
// cancelled: by its caller, because it was abandoned, or by the node's shutdown.
func (c *Coordinator) interruptedAnswer(f *request.Flight, req Request) request.Answer {
	// Release succeeds only if the request has not been sent, and prevents it from
	// being sent later.
	if c.Attempts.Release(f.Attempt, c.Now()) {
		return request.Refused(http.StatusGatewayTimeout, codeDeadline, "the request's time was up before it was sent", request.Jitter(time.Second))
	}
	if c.baseCtx.Err() != nil {
		return request.Indeterminate(codeNodeStopped, "this node stops; ask at another address by the same key", request.Jitter(time.Second))
	}
	if c.Now().Before(req.Deadline) {
		return request.Answer{Outcome: request.Cancelled, Status: statusClientClosedRequest, Code: codeCancelled, Message: "the request was cancelled"}
	}
	return request.Answer{Outcome: request.MayHaveRun, Status: http.StatusGatewayTimeout, Code: codeDeadline, Message: "the request's time was up while it ran"}
}
