package serve

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/crankridge/crankridge/src/claim"
	"github.com/crankridge/crankridge/src/peer"
)

const maxReadTokens = 512

// Claim handles a coordinator's claim as a keeper.
func (c *Coordinator) Claim(_ context.Context, m *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	if m.Attempt == nil || m.Key == "" {
		return nil, twirp.RequiredArgumentError("attempt and key")
	}
	return peer.ReplyToProto(c.Ledger.Vote(peer.ClaimFromProto(m), c.Now())), nil
}

// Settle stores the end of an attempt, or the stream it runs on.
func (c *Coordinator) Settle(_ context.Context, m *peer.SettleRequest) (*peer.Empty, error) {
	c.applySettle(m)
	return &peer.Empty{}, nil
}

// Lookup returns the record that this keeper holds for a key.
func (c *Coordinator) Lookup(_ context.Context, m *peer.LookupRequest) (*peer.LookupResponse, error) {
	return &peer.LookupResponse{Record: peer.RecordToProto(c.Ledger.Lookup(int(m.Shard), m.Key))}, nil
}

// Seal ends earlier epochs of a shard on this keeper and returns its records.
func (c *Coordinator) Seal(_ context.Context, m *peer.SealRequest) (*peer.SealResponse, error) {
	ready, records := c.Ledger.Seal(int(m.Shard), m.Epoch)
	out := &peer.SealResponse{ReadyEpoch: ready}
	for i := range records {
		out.Records = append(out.Records, peer.RecordToProto(&records[i]))
	}
	return out, nil
}

// Inquire returns the state of an attempt of this node, which may yield to the
// asker's. The state of an attempt of an earlier incarnation is unknown.
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

// Read returns the tokens of a flight after an offset, and its answer once it has
// ended. If there is nothing to return yet, it waits up to the requested time.
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

// SyncShard makes this node ready to keep a shard: it copies the records of a keeper
// that is ready, or seals and merges those of the previous keepers. It returns
// false if too few of them could be read, and the caller retries.
func (c *Coordinator) SyncShard(ctx context.Context, shard int) bool {
	m := c.Shards()
	if m == nil || shard >= len(m.Shards) {
		return true
	}
	def := m.Shards[shard]
	if ready, keeping := c.Ledger.Ready()[shard]; !keeping || ready == def.Epoch {
		return true
	}
	if records, ok := c.copyFromReadyKeeper(ctx, shard, def); ok {
		return c.Ledger.Adopt(shard, def.Epoch, records)
	}
	var sources [][]claim.Record
	for _, source := range def.Source {
		ready, records, ok := c.sealAt(ctx, source, shard, def.Epoch)
		if ok && ready >= def.SourceEpoch {
			sources = append(sources, records)
		}
	}
	if len(def.Source) == 0 || len(sources) < claim.ReadQuorum(len(def.Source)) {
		return false
	}
	return c.Ledger.Adopt(shard, def.Epoch, sources...)
}

// copyFromReadyKeeper returns the records of another keeper that is ready for the
// shard's epoch.
func (c *Coordinator) copyFromReadyKeeper(ctx context.Context, shard int, def claim.Shard) ([]claim.Record, bool) {
	for _, k := range def.Keepers {
		if k.Name == c.Self.Name {
			continue
		}
		if ready, records, ok := c.sealAt(ctx, k, shard, def.Epoch); ok && ready == def.Epoch {
			return records, true
		}
	}
	return nil, false
}

func (c *Coordinator) sealAt(ctx context.Context, k claim.Node, shard int, epoch int64) (int64, []claim.Record, bool) {
	if k.Name == c.Self.Name && k.Incarnation == c.Self.Incarnation {
		ready, records := c.Ledger.Seal(shard, epoch)
		return ready, records, true
	}
	ctx, cancel := context.WithTimeout(ctx, c.Settings.Claims.Timeout)
	defer cancel()
	resp, err := c.Pool.Client(k.Addr).Seal(ctx, &peer.SealRequest{Shard: int32(shard), Epoch: epoch})
	c.Fleet.RecordCall(k.Addr, err == nil)
	if err != nil {
		return 0, nil, false
	}
	var records []claim.Record
	for _, r := range resp.Records {
		records = append(records, *peer.RecordFromProto(r))
	}
	return resp.ReadyEpoch, records, true
}
