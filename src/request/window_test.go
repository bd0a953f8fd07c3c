package request

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRepeatsStayWithinTheBudgetOfEveryWindow(t *testing.T) {
	const (
		ratio, extra = 0.2, 58.0
		window       = 10 * time.Second
		step         = 100 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		budgets := make([]*WindowBudget, nodes)
		for i := range budgets {
			budgets[i] = NewWindowBudget(ratio, extra, window)
		}
		steps := rapid.IntRange(50, 300).Draw(t, "steps")
		requests, repeats := make([]float64, steps), make([]float64, steps)
		for at := range steps {
			now := time.Duration(at) * step
			for range rapid.IntRange(0, 4).Draw(t, "requests") {
				budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")].Earn("s", now)
				requests[at]++
			}
			for range rapid.IntRange(0, 6).Draw(t, "repeats wanted") {
				if budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")].Spend("s", nodes, now).Granted {
					repeats[at]++
				}
			}
		}
		perWindow := int(window / step)
		for end := range steps {
			from := max(end-perWindow+1, 0)
			asked, again := 0.0, 0.0
			for i := from; i <= end; i++ {
				asked += requests[i]
				again += repeats[i]
			}
			// The budget may count by the window or by the one half a window before.
			earlier := 0.0
			for i := max(from-perWindow/2, 0); i < max(end-perWindow/2, 0); i++ {
				earlier += requests[i]
			}
			if again > ratio*max(asked, earlier)+extra {
				t.Fatalf("%g repeats of %g requests", again, asked)
			}
		}
	})
}
