package request

import "time"

// Move is the way in which a stream is handled when its engine is leaving.
type Move string

// Moves, in increasing order of recomputation.
const (
	MoveFinish   Move = "finish"   // let the stream finish on its engine
	MoveCache    Move = "cache"    // transfer the KV cache to another engine
	MoveContinue Move = "continue" // recompute prompt and delivered tokens on another engine
)

// usableNotice is the part of the notice used for planning. The rest is a
// margin for estimation errors.
const usableNotice = 0.7

// LeavingStream describes a stream whose engine is leaving.
type LeavingStream struct {
	Notice          time.Duration // time until the engine is gone; 0 or less if there is none
	RemainingTokens int           // upper bound on the tokens still to come
	TokenInterval   time.Duration // time between two tokens
	ContextTokens   int           // tokens of the prompt and the answer so far
	CacheMoveRate   float64       // KV cache tokens transferred per second, or 0 if unsupported
	TokensAhead     int           // KV cache tokens of higher-priority streams, which move first
}

// ChooseMove returns the move that recomputes least and fits in the notice.
func ChooseMove(l LeavingStream) Move {
	usable := time.Duration(float64(l.Notice) * usableNotice)
	if usable <= 0 {
		return MoveContinue
	}
	if time.Duration(l.RemainingTokens)*l.TokenInterval <= usable {
		return MoveFinish
	}
	if l.CacheMoveRate > 0 {
		need := float64(l.TokensAhead+l.ContextTokens) / l.CacheMoveRate
		if time.Duration(need*float64(time.Second)) <= usable {
			return MoveCache
		}
	}
	return MoveContinue
}
