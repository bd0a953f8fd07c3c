package peer

import "github.com/crankridge/crankridge/src/claim"

// AttemptToProto converts an attempt to its protobuf message.
func AttemptToProto(a claim.Attempt) *Attempt {
	return &Attempt{Id: a.ID, Node: a.Node, Incarnation: a.Incarnation, PeerAddr: a.Addr, Engine: a.Engine, Stream: a.Stream}
}

// AttemptFromProto converts an attempt from its protobuf message.
func AttemptFromProto(a *Attempt) claim.Attempt {
	return claim.Attempt{ID: a.GetId(), Node: a.GetNode(), Incarnation: a.GetIncarnation(), Addr: a.GetPeerAddr(), Engine: a.GetEngine(), Stream: a.GetStream()}
}

// RecordToProto converts a record to its protobuf message. It returns nil for nil.
func RecordToProto(r *claim.Record) *Record {
	if r == nil {
		return nil
	}
	out := &Record{Key: r.Key, Digest: r.Digest, Repeatable: r.Repeatable, Answer: r.Answer, CreatedMs: r.CreatedMS}
	for _, a := range r.Attempts {
		out.Attempts = append(out.Attempts, AttemptToProto(a))
	}
	return out
}

// RecordFromProto converts a record from its protobuf message. It returns nil for nil.
func RecordFromProto(r *Record) *claim.Record {
	if r == nil {
		return nil
	}
	out := &claim.Record{Key: r.Key, Digest: r.Digest, Repeatable: r.Repeatable, Answer: r.Answer, CreatedMS: r.CreatedMs}
	for _, a := range r.Attempts {
		out.Attempts = append(out.Attempts, AttemptFromProto(a))
	}
	return out
}

// ClaimToProto converts a claim to its protobuf message.
func ClaimToProto(c claim.Claim) *ClaimRequest {
	return &ClaimRequest{
		Shard: int32(c.Shard), Epoch: c.Epoch, Key: c.Key, Digest: c.Digest,
		Attempt: AttemptToProto(c.Attempt), Repeatable: c.Repeatable, Superseded: c.Superseded,
	}
}

// ClaimFromProto converts a claim from its protobuf message.
func ClaimFromProto(c *ClaimRequest) claim.Claim {
	return claim.Claim{
		Shard: int(c.Shard), Epoch: c.Epoch, Key: c.Key, Digest: c.Digest,
		Attempt: AttemptFromProto(c.Attempt), Repeatable: c.Repeatable, Superseded: c.Superseded,
	}
}

var verdictToProto = map[claim.Verdict]Verdict{
	claim.Stored: Verdict_VERDICT_STORED, claim.Held: Verdict_VERDICT_HELD, claim.StaleEpoch: Verdict_VERDICT_STALE_EPOCH,
	claim.NotReady: Verdict_VERDICT_NOT_READY, claim.Full: Verdict_VERDICT_FULL,
}

// ReplyToProto converts a keeper's reply to its protobuf message.
func ReplyToProto(r claim.Reply) *ClaimResponse {
	return &ClaimResponse{Verdict: verdictToProto[r.Verdict], Epoch: r.Epoch, Held: RecordToProto(r.Held)}
}

// ReplyFromProto converts a keeper's reply from its protobuf message. An unknown
// verdict becomes NotReady, so that it grants nothing.
func ReplyFromProto(r *ClaimResponse) claim.Reply {
	out := claim.Reply{Verdict: claim.NotReady, Epoch: r.Epoch, Held: RecordFromProto(r.Held)}
	for v, msg := range verdictToProto {
		if msg == r.Verdict {
			out.Verdict = v
		}
	}
	return out
}
