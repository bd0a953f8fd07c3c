package serve

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/claim"
	"github.com/crankridge/crankridge/src/peer"
	"github.com/crankridge/crankridge/src/request"
)

const (
	maxClaimRounds    = 6
	claimBackoff      = 10 * time.Millisecond
	defaultRetryAfter = 2 * time.Second
	outcomeRetryAfter = 2 * time.Second
)

// claimResult is a granted claim, an answer, or the holder to follow.
type claimResult struct {
	granted    bool
	neverSent  bool // no earlier attempt can have been sent
	answer     *request.Answer
	holder     claim.Attempt
	resumeFrom *claim.Attempt // stream of a lost coordinator that may still run
}

// lostAttempt is an earlier attempt that the next claim round supersedes.
type lostAttempt struct {
	claim.Attempt
	released bool // its coordinator confirmed that it was not sent
}

// claimKey claims the flight's key for its attempt, or finds the attempt that holds it.
func (c *Coordinator) claimKey(ctx context.Context, f *request.Flight, req Request) claimResult {
	var superseded []string
	neverSent := true
	var resumeFrom *claim.Attempt
	for round := range maxClaimRounds {
		if round > 0 {
			sleep(ctx, request.Jitter(claimBackoff<<round))
		}
		if ctx.Err() != nil {
			break
		}
		// Checked every round: the shard may have lost its records since the last one.
		m := c.Shards()
		if r := c.refuseUnknownHistory(req, m); r != nil {
			return claimResult{answer: r}
		}
		tally := c.requestVotes(ctx, m, f, req, superseded)
		switch tally.Decide() {
		case claim.Granted:
			c.Metrics.Claim("granted")
			return claimResult{granted: true, neverSent: neverSent, resumeFrom: resumeFrom}
		case claim.Contested:
			res, lost := c.resolveHolders(ctx, f, req, tally)
			if res != nil {
				return *res
			}
			for _, l := range lost {
				neverSent = neverSent && l.released
				superseded = append(superseded, l.ID)
				if l.Engine != "" {
					resumeFrom = &l.Attempt
				}
			}
		case claim.Outdated:
			c.Metrics.Claim("outdated")
			c.waitForNewerMap(ctx, m)
		default:
			if req.Repeatable {
				c.Metrics.Claim("unavailable")
				return claimResult{granted: true, resumeFrom: resumeFrom}
			}
		}
	}
	c.Metrics.Claim("unavailable")
	if req.Repeatable {
		return claimResult{granted: true, resumeFrom: resumeFrom}
	}
	return claimResult{answer: c.keepersUnavailable(f)}
}

// keepersUnavailable refuses a request whose shard cannot grant claims.
func (c *Coordinator) keepersUnavailable(f *request.Flight) *request.Answer {
	c.decisions.Add(f.Key, "refused", "no two keepers of its shard answered")
	r := request.Refused(http.StatusServiceUnavailable, codeNoKeepers,
		"requests not repeatable cannot be taken for this key just now; nothing was sent", request.Jitter(defaultRetryAfter))
	return &r
}

// refuseUnknownHistory refuses a non-repeatable request whose records may be
// missing: its key is older than the claim window, or may have been used before
// its shard lost its records.
func (c *Coordinator) refuseUnknownHistory(req Request, m *claim.Map) *request.Answer {
	if req.Repeatable {
		return nil
	}
	now := c.Now()
	issued, ok := request.IssuedAt(req.Key)
	if ok && now.Sub(issued) > c.Settings.Claims.Window {
		r := request.Indeterminate(codeKeyExpired, "this key is older than the time for which records are kept; use a new key once you know the request's fate", 0)
		return &r
	}
	if m == nil || req.FirstUse {
		return nil
	}
	lostAt := time.UnixMilli(m.Shards[claim.ShardOf(request.FullKey(req.Customer, req.Key), len(m.Shards))].RecordsLostMS)
	if expires := lostAt.Add(c.Settings.Claims.Window); now.Before(expires) {
		r := request.Indeterminate(codeRecordsLost, "the records of this key's shard were lost with two of their keepers; an earlier try may have run", request.Jitter(expires.Sub(now)))
		return &r
	}
	return nil
}

// requestVotes sends the claim to all keepers of its shard and returns once the
// vote is decided.
func (c *Coordinator) requestVotes(ctx context.Context, m *claim.Map, f *request.Flight, req Request, superseded []string) *claim.Tally {
	if m == nil {
		return &claim.Tally{Required: claim.Majority}
	}
	shard := claim.ShardOf(f.Key, len(m.Shards))
	def := m.Shards[shard]
	msg := claim.Claim{
		Shard: shard, Epoch: def.Epoch, Key: f.Key, Digest: f.Digest, Attempt: c.claimAttempt(f), Repeatable: req.Repeatable, Superseded: superseded,
	}
	t := &claim.Tally{Asked: len(def.Keepers), Required: c.requiredVotes(def)}
	// Not cancelled with the request: the remaining keepers should still store
	// the claim.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Settings.Claims.Timeout)
	replies := make(chan *claim.Reply, len(def.Keepers))
	for _, k := range def.Keepers {
		go func() { replies <- c.requestVote(ctx, k, msg) }()
	}
	for range def.Keepers {
		t.Add(<-replies)
		if d := t.Decide(); d != claim.Wait {
			break
		}
	}
	time.AfterFunc(c.Settings.Claims.Timeout, cancel)
	return t
}

func (c *Coordinator) requiredVotes(def claim.Shard) int {
	if c.Settings.Claims.SingleNode {
		return min(claim.Majority, len(def.Keepers))
	}
	return claim.Majority
}

func (c *Coordinator) claimAttempt(f *request.Flight) claim.Attempt {
	engine, stream := f.Location()
	return claim.Attempt{ID: f.Attempt, Node: c.Self.Name, Incarnation: c.Self.Incarnation, Addr: c.Self.Addr, Engine: engine, Stream: stream}
}

// requestVote sends the claim to one keeper. It returns nil if the call fails.
func (c *Coordinator) requestVote(ctx context.Context, k claim.Node, msg claim.Claim) *claim.Reply {
	if k.Name == c.Self.Name && k.Incarnation == c.Self.Incarnation {
		r := c.Ledger.Vote(msg, c.Now())
		return &r
	}
	resp, err := c.Pool.Client(k.Addr).Claim(ctx, peer.ClaimToProto(msg))
	c.Fleet.RecordCall(k.Addr, err == nil)
	if err != nil {
		return nil
	}
	r := peer.ReplyFromProto(resp)
	return &r
}

// resolveHolders resolves a contested claim from the holders' records and by
// asking their coordinators. It returns a result, or the attempts that the next
// round supersedes.
func (c *Coordinator) resolveHolders(ctx context.Context, f *request.Flight, req Request, t *claim.Tally) (*claimResult, []lostAttempt) {
	repeatable := req.Repeatable
	for _, h := range t.HeldRecords {
		if string(h.Digest) != string(f.Digest) {
			return &claimResult{answer: keyReused()}, nil
		}
		repeatable = repeatable && h.Repeatable
		if len(h.Answer) > 0 {
			if r, err := request.DecodeAnswer(h.Answer); err == nil {
				c.Metrics.Claim("answered")
				c.replayTokens(f, &r)
				return &claimResult{answer: &r}, nil
			}
		}
	}
	var lost []lostAttempt
	for _, r := range t.Rivals(f.Attempt) {
		switch state := c.attemptState(ctx, r, f.Attempt); {
		case state == claim.Released:
			lost = append(lost, lostAttempt{r, true})
		case state == claim.Claiming || state == claim.Sent || state == claim.Done:
			c.Metrics.Claim("attached")
			// The holder may rely on this attempt never being sent.
			c.Attempts.Release(f.Attempt, c.Now())
			return &claimResult{holder: r}, nil
		case repeatable:
			lost = append(lost, lostAttempt{r, false})
		default:
			c.Metrics.Claim("unsure")
			c.Attempts.Release(f.Attempt, c.Now())
			u := c.coordinatorLost(f, r)
			return &claimResult{answer: &u}, nil
		}
	}
	return nil, lost
}

func (c *Coordinator) coordinatorLost(f *request.Flight, holder claim.Attempt) request.Answer {
	c.decisions.Add(f.Key, "may-have-run", "its coordinator "+holder.Node+" is silent")
	return request.Indeterminate(codeCoordinatorLost, fmt.Sprintf("an earlier try was taken by node %s, which does not answer; ask again by the same key for its fate", holder.Node), request.Jitter(outcomeRetryAfter))
}

// replayTokens appends the tokens of a stored answer that the flight lacks and
// clears them in the answer.
func (c *Coordinator) replayTokens(f *request.Flight, r *request.Answer) {
	_, delivered := f.Delivered()
	for i, tok := range r.Tokens {
		if i >= delivered {
			f.Append(tok)
		}
	}
	r.Tokens = nil
}

// attemptState asks the coordinator of another attempt for its state. It returns
// claim.Unknown if the state cannot be determined.
func (c *Coordinator) attemptState(ctx context.Context, other claim.Attempt, own string) claim.State {
	if other.Node == c.Self.Name && other.Incarnation == c.Self.Incarnation {
		// A node has at most one flight per key, so its earlier attempt has
		// ended. All that matters is whether it was released unsent.
		if state := c.Attempts.Yield(other.ID, own, c.Now()); state == claim.Released {
			return state
		}
		return claim.Unknown
	}
	ctx, cancel := context.WithTimeout(ctx, c.Settings.Claims.Timeout)
	defer cancel()
	resp, err := c.Pool.Client(other.Addr).Inquire(ctx, &peer.InquireRequest{Attempt: other.ID, Incarnation: other.Incarnation, Asker: own})
	c.Fleet.RecordCall(other.Addr, err == nil)
	if err != nil {
		return claim.Unknown
	}
	switch resp.State {
	case peer.AttemptState_ATTEMPT_RELEASED:
		return claim.Released
	case peer.AttemptState_ATTEMPT_RUNNING:
		return claim.Sent
	case peer.AttemptState_ATTEMPT_DONE:
		return claim.Done
	}
	return claim.Unknown
}

// broadcastSettle sends a settlement to all keepers of the key. The returned
// channel is closed when the first of them has applied it.
func (c *Coordinator) broadcastSettle(f *request.Flight, s *peer.SettleRequest) <-chan struct{} {
	applied := make(chan struct{})
	m := c.Shards()
	if m == nil {
		return applied
	}
	shard := claim.ShardOf(f.Key, len(m.Shards))
	s.Shard, s.Key, s.Attempt = int32(shard), f.Key, f.Attempt
	var once sync.Once
	for _, k := range m.Shards[shard].Keepers {
		go func() {
			if k.Name == c.Self.Name {
				c.applySettle(s)
			} else {
				ctx, cancel := context.WithTimeout(context.Background(), c.Settings.Claims.Timeout)
				defer cancel()
				if _, err := c.Pool.Client(k.Addr).Settle(ctx, s); err != nil {
					return
				}
			}
			once.Do(func() { close(applied) })
		}()
	}
	return applied
}

func (c *Coordinator) applySettle(s *peer.SettleRequest) {
	if s.Engine != "" {
		c.Ledger.SetStream(int(s.Shard), s.Key, s.Attempt, s.Engine, s.Stream)
		return
	}
	c.Ledger.Settle(int(s.Shard), s.Key, s.Attempt, s.Released, s.Answer)
}

// waitForNewerMap waits for the shard map m to be replaced, up to the claim timeout.
func (c *Coordinator) waitForNewerMap(ctx context.Context, m *claim.Map) {
	deadline := time.Now().Add(c.Settings.Claims.Timeout)
	for c.Shards() == m && time.Now().Before(deadline) && ctx.Err() == nil {
		sleep(ctx, claimBackoff)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
