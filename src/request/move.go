package request

import "time"

// Move is what to do with a stream whose engine is leaving.
type Move string

// The moves, from the one that recomputes least.
const (
	MoveFinish   Move = "finish"   // let it end where it is
	MoveCache    Move = "cache"    // take its KV cache along
	MoveContinue Move = "continue" // elsewhere, from prompt and tokens delivered
)

// moveSafety is the part of the notice that is planned with; the rest covers
// what the estimates miss.
const moveSafety = 0.7

// Leaving describes a stream at the time its engine's leaving is learnt.
type LeavingStream struct {
	Notice          time.Duration // until the engine is gone; 0 when it is gone
	RemainingTokens int           // most tokens still to come
	TokenInterval   time.Duration // between two tokens
	ContextTokens   int           // tokens of prompt and answer so far
	CacheMoveRate   float64       // tokens of KV cache moved a second; 0 when the engine cannot
	TokensAhead     int           // tokens of streams of higher priority that move first
}

// ChooseMove picks the move that recomputes least and fits in the notice.
func ChooseMove(l LeavingStream) Move {
	usable := time.Duration(float64(l.Notice) * moveSafety)
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
