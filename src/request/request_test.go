package request

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The chosen move always fits in the notice, and a stream that can finish is not moved.
func TestChosenMoveFitsTheNotice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := LeavingStream{
			Notice:          time.Duration(rapid.IntRange(0, 30000).Draw(t, "notice")) * time.Millisecond,
			RemainingTokens: rapid.IntRange(0, 2000).Draw(t, "left"), TokenInterval: 20 * time.Millisecond,
			ContextTokens: rapid.IntRange(1, 50000).Draw(t, "context"), CacheMoveRate: rapid.SampledFrom([]float64{0, 10000}).Draw(t, "rate"),
			TokensAhead: rapid.IntRange(0, 100000).Draw(t, "ahead"),
		}
		finish := time.Duration(l.RemainingTokens) * l.TokenInterval
		move := ChooseMove(l)
		switch {
		case move == MoveFinish && finish > l.Notice:
			t.Fatal("the stream would finish after the engine is gone")
		case move != MoveFinish && finish < l.Notice/2:
			t.Fatal("moved a stream that could have finished")
		case move == MoveCache && float64(l.TokensAhead+l.ContextTokens)/l.CacheMoveRate > l.Notice.Seconds():
			t.Fatal("the cache transfer does not fit in the notice")
		}
	})
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	at := time.UnixMilli(1_900_000_000_123)
	key := IssueKey(at)
	is.NoErr(CheckKey(key))
	got, ok := IssuedAt(key)
	is.True(ok)
	is.Equal(got, at)
	_, ok = IssuedAt("booking-42")
	is.True(!ok)
	for _, bad := range []string{"", "a b", "a/b", "a\n", string(make([]byte, 200))} {
		is.True(CheckKey(bad) != nil)
	}
	is.True(FullKey("a", "b/c") != FullKey("a/b", "c") || CheckKey("b/c") != nil) // no key can refer to another customer's request
}

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(0.1, 5)
		requests := rapid.IntRange(0, 500).Draw(t, "requests")
		spent := 0
		for range requests {
			b.Earn()
			if b.Spend() {
				spent++
			}
		}
		if float64(spent) > 5+0.1*float64(requests) {
			t.Fatalf("%d retries for %d requests", spent, requests)
		}
	})
}

func TestFlightFinishesOnce(t *testing.T) {
	is := is.New(t)
	f := NewFlight("c/k", nil, "a", true, time.Now(), func() {})
	f.Append("x")
	is.True(f.Finish(Answer{Status: 200}))
	is.True(!f.Finish(Answer{Status: 500})) // later answers are ignored
	f.Append("y")
	tokens, answer, _ := f.Since(0)
	is.Equal(tokens, []string{"x"})
	is.Equal(answer.Status, 200)
}
