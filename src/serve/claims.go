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
	claimRounds  = 6
	claimBackoff = 10 * time.Millisecond
	retryShard   = 2 * time.Second
	retryFate    = 2 * time.Second
)

// claimResult is what became of a claim: granted, an answer, or a holder to follow.
type claimResult struct {
	granted bool
	first   bool // no earlier attempt can have been sent
	answer  *request.Answer
	holder  claim.Attempt
	place   *claim.Attempt // a lost coordinator's stream that may live on
}

// rival is another attempt that held the key and no longer does.
type rival struct {
	claim.Attempt
	released bool // its coordinator said that it was not sent
}

// claimKey makes this flight's attempt the holder of its key, or finds out who is.
func (c *Coordinator) claimKey(ctx context.Context, f *request.Flight, a Request) claimResult {
	var superseded []string
	first := true
	var place *claim.Attempt
	for round := range claimRounds {
		if round > 0 {
			pause(ctx, request.Jitter(claimBackoff<<round))
		}
		if ctx.Err() != nil {
			break
		}
		// Looked at anew each round: the shard may have lost its records since.
		m := c.Shards()
		if r := c.tooOld(a, m); r != nil {
			return claimResult{answer: r}
		}
		tally := c.askKeepers(ctx, m, f, a, superseded)
		switch tally.Decide() {
		case claim.Granted:
			c.Metrics.Claim("granted")
			return claimResult{granted: true, first: first, place: place}
		case claim.Contested:
			res, lost := c.meetRivals(ctx, f, a, tally)
			if res != nil {
				return *res
			}
			for _, l := range lost {
				first = first && l.released
				superseded = append(superseded, l.ID)
				if l.Engine != "" {
					place = &l.Attempt
				}
			}
		case claim.Outdated:
			c.Metrics.Claim("outdated")
			c.waitNewer(ctx, m)
		default:
			if a.Repeatable {
				c.Metrics.Claim("unavailable")
				return claimResult{granted: true, place: place}
			}
		}
	}
	c.Metrics.Claim("unavailable")
	if a.Repeatable {
		return claimResult{granted: true, place: place}
	}
	return claimResult{answer: c.noKeepers(f)}
}

// noKeepers refuses a request whose shard cannot grant claims now.
func (c *Coordinator) noKeepers(f *request.Flight) *request.Answer {
	c.explain.Add(f.Key, "refused", "no two keepers of its shard answered")
	r := request.Refused(http.StatusServiceUnavailable, codeNoKeepers,
		"requests not repeatable cannot be taken for this key just now; nothing was sent", request.Jitter(retryShard))
	return &r
}

// tooOld refuses keys whose records are gone, or may be: older than the
// window, or possibly used before the shard lost its records.
func (c *Coordinator) tooOld(a Request, m *claim.Map) *request.Answer {
	if a.Repeatable {
		return nil
	}
	now := c.Now()
	issued, ok := request.IssuedAt(a.Key)
	if ok && now.Sub(issued) > c.Settings.Claims.Window {
		r := request.Indeterminate(codeKeyExpired, "this key is older than the time for which records are kept; use a new key once you know the request's fate", 0)
		return &r
	}
	if m == nil || a.FirstUse {
		return nil
	}
	floor := time.UnixMilli(m.Shards[claim.ShardOf(request.FullKey(a.Customer, a.Key), len(m.Shards))].RecordsLostMS)
	if until := floor.Add(c.Settings.Claims.Window); now.Before(until) {
		r := request.Indeterminate(codeRecordsLost, "the records of this key's shard were lost with two of their keepers; an earlier try may have run", request.Jitter(until.Sub(now)))
		return &r
	}
	return nil
}

// askKeepers sends one round of claims and returns as soon as it is decided.
func (c *Coordinator) askKeepers(ctx context.Context, m *claim.Map, f *request.Flight, a Request, superseded []string) *claim.Tally {
	if m == nil {
		return &claim.Tally{Required: claim.Majority}
	}
	shard := claim.ShardOf(f.Key, len(m.Shards))
	def := m.Shards[shard]
	msg := claim.Claim{
		Shard: shard, Epoch: def.Epoch, Key: f.Key, Digest: f.Digest, Attempt: c.attempt(f), Repeatable: a.Repeatable, Superseded: superseded,
	}
	t := &claim.Tally{Asked: len(def.Keepers), Required: c.need(def)}
	// The last keeper's copy still matters when the request has ended, so the
	// calls are not called off with it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Settings.Claims.Timeout)
	replies := make(chan *claim.Reply, len(def.Keepers))
	for _, k := range def.Keepers {
		go func() { replies <- c.askKeeper(ctx, k, msg) }()
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

func (c *Coordinator) need(def claim.Shard) int {
	if c.Settings.Claims.SingleNode {
		return min(claim.Majority, len(def.Keepers))
	}
	return claim.Majority
}

func (c *Coordinator) attempt(f *request.Flight) claim.Attempt {
	engine, stream := f.Location()
	return claim.Attempt{ID: f.Attempt, Node: c.Self.Name, Incarnation: c.Self.Incarnation, Addr: c.Self.Addr, Engine: engine, Stream: stream}
}

// askKeeper sends one claim; nil stands for no answer.
func (c *Coordinator) askKeeper(ctx context.Context, k claim.Node, msg claim.Claim) *claim.Reply {
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

// meetRivals asks the coordinators of the attempts that hold the key. It
// returns a result, or the attempts that the next round supersedes.
func (c *Coordinator) meetRivals(ctx context.Context, f *request.Flight, a Request, t *claim.Tally) (*claimResult, []rival) {
	repeatable := a.Repeatable
	for _, h := range t.Holders {
		if string(h.Digest) != string(f.Digest) {
			return &claimResult{answer: keyReused()}, nil
		}
		repeatable = repeatable && h.Repeatable
		if len(h.Answer) > 0 {
			if r, err := request.DecodeAnswer(h.Answer); err == nil {
				c.Metrics.Claim("answered")
				c.replay(f, &r)
				return &claimResult{answer: &r}, nil
			}
		}
	}
	var lost []rival
	for _, r := range t.Rivals(f.Attempt) {
		switch state := c.inquire(ctx, r, f.Attempt); {
		case state == claim.Released:
			lost = append(lost, rival{r, true})
		case state == claim.Claiming || state == claim.Sent || state == claim.Done:
			c.Metrics.Claim("attached")
			// This attempt will never be sent; the rival may count on it.
			c.Attempts.Release(f.Attempt, c.Now())
			return &claimResult{holder: r}, nil
		case repeatable:
			lost = append(lost, rival{r, false})
		default:
			c.Metrics.Claim("unsure")
			c.Attempts.Release(f.Attempt, c.Now())
			u := c.unsure(f, r)
			return &claimResult{answer: &u}, nil
		}
	}
	return nil, lost
}

func (c *Coordinator) unsure(f *request.Flight, rival claim.Attempt) request.Answer {
	c.explain.Add(f.Key, "may-have-run", "its coordinator "+rival.Node+" is silent")
	return request.Indeterminate(codeCoordinatorLost, fmt.Sprintf("an earlier try was taken by node %s, which does not answer; ask again by the same key for its fate", rival.Node), request.Jitter(retryFate))
}

// replay puts a kept answer's tokens into the flight.
func (c *Coordinator) replay(f *request.Flight, r *request.Answer) {
	_, have := f.Delivered()
	for i, tok := range r.Tokens {
		if i >= have {
			f.Append(tok)
		}
	}
	r.Tokens = nil
}

// inquire asks what became of an attempt. Unknown means that nobody can tell.
func (c *Coordinator) inquire(ctx context.Context, rival claim.Attempt, own string) claim.State {
	if rival.Node == c.Self.Name && rival.Incarnation == c.Self.Incarnation {
		// One node has one flight a key, so an earlier attempt of its own has
		// ended; only that it was never sent is worth knowing.
		if state := c.Attempts.Yield(rival.ID, own, c.Now()); state == claim.Released {
			return state
		}
		return claim.Unknown
	}
	ctx, cancel := context.WithTimeout(ctx, c.Settings.Claims.Timeout)
	defer cancel()
	resp, err := c.Pool.Client(rival.Addr).Inquire(ctx, &peer.InquireRequest{Attempt: rival.ID, Incarnation: rival.Incarnation, Asker: own})
	c.Fleet.RecordCall(rival.Addr, err == nil)
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

// tellKeepers sends a settlement to all keepers; the channel closes once one has it.
func (c *Coordinator) tellKeepers(f *request.Flight, s *peer.SettleRequest) <-chan struct{} {
	told := make(chan struct{})
	m := c.Shards()
	if m == nil {
		return told
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
			once.Do(func() { close(told) })
		}()
	}
	return told
}

func (c *Coordinator) applySettle(s *peer.SettleRequest) {
	if s.Engine != "" {
		c.Ledger.SetStream(int(s.Shard), s.Key, s.Attempt, s.Engine, s.Stream)
		return
	}
	c.Ledger.Settle(int(s.Shard), s.Key, s.Attempt, s.Released, s.Answer)
}

// waitNewer waits a moment for a shard map newer than m.
func (c *Coordinator) waitNewer(ctx context.Context, m *claim.Map) {
	deadline := time.Now().Add(c.Settings.Claims.Timeout)
	for c.Shards() == m && time.Now().Before(deadline) && ctx.Err() == nil {
		pause(ctx, claimBackoff)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
