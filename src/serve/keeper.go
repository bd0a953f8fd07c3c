package serve

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/crankridge/crankridge/src/claim"
	"github.com/crankridge/crankridge/src/peer"
)

const maxReadTokens = 512

// Claim answers a coordinator as a keeper.
func (c *Coordinator) Claim(_ context.Context, m *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	if m.Attempt == nil || m.Key == "" {
		return nil, twirp.RequiredArgumentError("attempt and key")
	}
	return peer.ReplyToProto(c.Ledger.Vote(peer.ClaimFromProto(m), c.Now())), nil
}

// Settle takes in the end of an attempt, or its place.
func (c *Coordinator) Settle(_ context.Context, m *peer.SettleRequest) (*peer.Empty, error) {
	c.applySettle(m)
	return &peer.Empty{}, nil
}

// Lookup returns the record held for a key.
func (c *Coordinator) Lookup(_ context.Context, m *peer.LookupRequest) (*peer.LookupResponse, error) {
	return &peer.LookupResponse{Record: peer.RecordToProto(c.Ledger.Lookup(int(m.Shard), m.Key))}, nil
}

// Seal ends earlier epochs of a shard here and hands over its records.
func (c *Coordinator) Seal(_ context.Context, m *peer.SealRequest) (*peer.SealResponse, error) {
	ready, records := c.Ledger.Seal(int(m.Shard), m.Epoch)
	out := &peer.SealResponse{ReadyEpoch: ready}
	for i := range records {
		out.Records = append(out.Records, peer.RecordToProto(&records[i]))
	}
	return out, nil
}

// Inquire answers what became of an attempt of this node. One of an earlier
// incarnation is not known.
func (c *Coordinator) Inquire(_ context.Context, m *peer.InquireRequest) (*peer.InquireResponse, error) {
	if m.Incarnation != c.Self.Incarnation {
		return &peer.InquireResponse{}, nil
	}
	states := map[claim.State]peer.AttemptState{
		claim.Released: peer.AttemptState_ATTEMPT_RELEASED, claim.Done: peer.AttemptState_ATTEMPT_DONE,
		claim.Claiming: peer.AttemptState_ATTEMPT_RUNNING, claim.Sent: peer.AttemptState_ATTEMPT_RUNNING,
	}
	return &peer.InquireResponse{State: states[c.Attempts.Yield(m.Attempt, m.Asker, c.Now())]}, nil
}

// Read returns the tokens of a flight after an offset, and its answer once it
// has ended; it waits a bounded time for the first news.
func (c *Coordinator) Read(ctx context.Context, m *peer.ReadRequest) (*peer.ReadResponse, error) {
	f := c.FindFlight(m.Key)
	if f == nil {
		return &peer.ReadResponse{}, nil
	}
	f.Touch(c.Now())
	timeout := time.After(time.Duration(m.WaitMs) * time.Millisecond)
	for {
		tokens, answer, changed := f.Since(int(m.After))
		if len(tokens) > 0 || answer != nil {
			return newReadResponse(m.After, tokens, answer), nil
		}
		select {
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "caller left")
		case <-timeout:
			return &peer.ReadResponse{Found: true}, nil
		case <-changed:
		}
	}
}

// Gather makes this node ready to keep a shard: it seals and reads the
// source's keepers, or copies from a keeper that is ready already. It returns
// false when too few could be read; the caller tries again.
func (c *Coordinator) SyncShard(ctx context.Context, shard int) bool {
	m := c.Shards()
	if m == nil || shard >= len(m.Shards) {
		return true
	}
	def := m.Shards[shard]
	if ready, mine := c.Ledger.Ready()[shard]; !mine || ready == def.Epoch {
		return true
	}
	if recs, ok := c.copyFromReadyKeeper(ctx, shard, def); ok {
		return c.Ledger.Adopt(shard, def.Epoch, recs)
	}
	var sources [][]claim.Record
	for _, k := range def.Source {
		ready, recs, ok := c.sealAt(ctx, k, shard, def.Epoch)
		if ok && ready >= def.SourceEpoch {
			sources = append(sources, recs)
		}
	}
	if len(def.Source) == 0 || len(sources) < claim.ReadQuorum(len(def.Source)) {
		return false
	}
	return c.Ledger.Adopt(shard, def.Epoch, sources...)
}

// copyReady reads a fellow keeper that holds all records of this epoch.
func (c *Coordinator) copyFromReadyKeeper(ctx context.Context, shard int, def claim.Shard) ([]claim.Record, bool) {
	for _, k := range def.Keepers {
		if k.Name == c.Self.Name {
			continue
		}
		if ready, recs, ok := c.sealAt(ctx, k, shard, def.Epoch); ok && ready == def.Epoch {
			return recs, true
		}
	}
	return nil, false
}

func (c *Coordinator) sealAt(ctx context.Context, k claim.Node, shard int, epoch int64) (int64, []claim.Record, bool) {
	if k.Name == c.Self.Name && k.Incarnation == c.Self.Incarnation {
		ready, recs := c.Ledger.Seal(shard, epoch)
		return ready, recs, true
	}
	ctx, cancel := context.WithTimeout(ctx, c.Settings.Claims.Timeout)
	defer cancel()
	resp, err := c.Pool.Client(k.Addr).Seal(ctx, &peer.SealRequest{Shard: int32(shard), Epoch: epoch})
	c.Fleet.RecordCall(k.Addr, err == nil)
	if err != nil {
		return 0, nil, false
	}
	var recs []claim.Record
	for _, r := range resp.Records {
		recs = append(recs, *peer.RecordFromProto(r))
	}
	return resp.ReadyEpoch, recs, true
}
